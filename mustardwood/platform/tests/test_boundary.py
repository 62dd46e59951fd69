"""Names on the platform's wire stay in the adapter."""

import pathlib
import re

import mustardwood

_ROOT = pathlib.Path(mustardwood.__file__).parent
_NAMES = re.compile(r"Mustardwood-[A-Z]|mustardwood-(attempt|deadline|replica|"
                    r"token|expect|prompt|tenant)|/kv-[a-z]+|itl_goal_ms|"
                    r"MUSTARDWOOD_BOOT|servers/")


def test_no_other_package_knows_the_names_on_the_wire():
    found = [
        str(path.relative_to(_ROOT))
        for path in sorted(_ROOT.rglob("*.py"))
        if path.relative_to(_ROOT).parts[0] != "platform" and "tests" not in
        path.relative_to(_ROOT).parts and _NAMES.search(path.read_text("utf-8"))
    ]
    assert not found
