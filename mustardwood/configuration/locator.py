"""Finds the lines of values and syntax errors in JSON with comments."""
import re
import typing

if typing.TYPE_CHECKING:
    import tree_sitter

_POSITION = re.compile(r"near (\d+)")
_PATH_STEP = re.compile(r"\.([A-Za-z_][A-Za-z0-9_]*)|\[(\d+)\]")


def find_line(text: str, key: str) -> int | None:
    """Finds the line of the value at a key path.

    Args:
        text: A document in JSON with comments.
        key: Path of the value, as in ``$.endpoints[3].zone``.

    Returns:
        The line of the value, from 1, or that of its closest ancestor in the
        text if the value is missing; None if the text has no value at all.

    Examples:
        >>> find_line('{\\n  "models": [\\n    {"name": 1}]}', "$.models[0]")
        3
    """
    node = _find_root_value(_parse(text))
    if node is None:
        return None
    for name, index in _PATH_STEP.findall(key):
        child = _find_member(node, name) if name else _find_item(
            node, int(index))
        if child is None:
            break
        node = child
    return node.start_point.row + 1


def find_syntax_line(text: str, message: str) -> int | None:
    """Finds the line of a syntax error.

    Args:
        text: The malformed document.
        message: Error message of the parser, which contains a position.

    Returns:
        The line, from 1; None if the message contains no position.

    Examples:
        >>> find_syntax_line("{\\n]", "Expected b'string' near 3")
        2
    """
    position = _POSITION.search(message)
    if position is None:
        return None
    return text.count("\n", 0, int(position.group(1))) + 1


def _parse(text: str) -> "tree_sitter.Node":
    # Imported here because only processes that report an error need it.
    import tree_sitter
    import tree_sitter_json
    language = tree_sitter.Language(tree_sitter_json.language())
    return tree_sitter.Parser(language).parse(text.encode()).root_node


def _find_root_value(node: "tree_sitter.Node") -> "tree_sitter.Node | None":
    values = _list_values(node)
    return values[0] if values else None


def _list_values(node: "tree_sitter.Node") -> "list[tree_sitter.Node]":
    skipped = ("comment", "ERROR")
    return [each for each in node.named_children if each.type not in skipped]


def _find_member(node: "tree_sitter.Node",
                 name: str) -> "tree_sitter.Node | None":
    for pair in _list_values(node):
        key = pair.child_by_field_name("key")
        if key is not None and _read_name(key) == name:
            return pair.child_by_field_name("value")
    return None


def _read_name(key: "tree_sitter.Node") -> str:
    return (key.text or b"").decode().strip("\"'")


def _find_item(node: "tree_sitter.Node",
               index: int) -> "tree_sitter.Node | None":
    items = _list_values(node)
    return items[index] if index < len(items) else None
