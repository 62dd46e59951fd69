"""Tests that the decision cores import no package that does I/O."""

import ast
import pathlib

import pytest

import mustardwood

_ROOT = pathlib.Path(mustardwood.__file__).parent
_CORE_PACKAGES = frozenset({
    "cells", "claims", "configuration", "decoding", "dispatch", "errors",
    "forwarding", "hedging", "leadership", "membership", "messages", "profiles",
    "replication", "reports", "routing", "scaling", "scheduling", "usage"
})
_CORE_LIBRARIES = frozenset({
    "automat", "hdrh", "msgspec", "pyjson5", "sortedcontainers", "tree_sitter",
    "tree_sitter_json"
})
_STANDARD_LIBRARY = frozenset({
    "bisect", "base64", "collections", "dataclasses", "datetime", "enum",
    "functools", "hashlib", "heapq", "http", "itertools", "json", "math",
    "operator", "random", "re", "statistics", "string", "types", "typing",
    "urllib", "uuid", "zlib"
})
_INTERFACE_PACKAGES = frozenset(
    {"mustardwood.keyvalue", "mustardwood.timing", "mustardwood.vmlist"})
"""Packages whose public names are interfaces and data, not adapters."""


def _list_modules() -> list[pathlib.Path]:
    return [
        path for core in sorted(_CORE_PACKAGES)
        for path in sorted((_ROOT / core).rglob("*.py"))
        if "tests" not in path.parts
    ]


def _list_imports(path: pathlib.Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            module = node.module or ""
            if module == "mustardwood":
                names.update(f"mustardwood.{each.name}" for each in node.names)
            else:
                names.add(module)
    return names


def _is_allowed(name: str) -> bool:
    parts = name.split(".")
    if parts[0] == "mustardwood":
        return parts[1] in _CORE_PACKAGES or name in _INTERFACE_PACKAGES
    return parts[0] in _STANDARD_LIBRARY | _CORE_LIBRARIES


@pytest.mark.parametrize("path",
                         _list_modules(),
                         ids=lambda path: str(path.relative_to(_ROOT)))
def test_core_imports_no_adapter(path):
    forbidden = {name for name in _list_imports(path) if not _is_allowed(name)}
    assert not forbidden
