"""Checks that the platform's wire format is confined to the adapter."""

import pathlib
import re

import mustardwood

_ROOT = pathlib.Path(mustardwood.__file__).parent
_NAMES = re.compile(r"Mustardwood-[A-Z]|mustardwood-(attempt|deadline|replica|"
                    r"token|expect|prompt|tenant)|/kv-[a-z]+|itl_goal_ms|"
                    r"MUSTARDWOOD_BOOT|servers/")


def test_no_other_package_uses_names_of_the_wire_format():
    found = [
        str(path.relative_to(_ROOT))
        for path in sorted(_ROOT.rglob("*.py"))
        if path.relative_to(_ROOT).parts[0] != "platform" and "tests" not in
        path.relative_to(_ROOT).parts and _NAMES.search(path.read_text("utf-8"))
    ]
    assert not found
