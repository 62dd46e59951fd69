"""Reader and writer of configuration documents."""

import re

import msgspec
import pyjson5

from mustardwood import errors
from mustardwood.configuration import checks
from mustardwood.configuration import document as document_module
from mustardwood.configuration import locator

MAX_TEXT_BYTES = 8 * 1024 * 1024
"""Maximum size of a document; compressed, it must fit into a value of 1 MB."""

_KEY_PATH = re.compile(r" - at `([^`]+)`")
_DECODER = msgspec.json.Decoder(document_module.Document)


def load_document(text: str) -> document_module.Document:
    """Reads and validates a configuration document.

    Args:
        text: JSON with comments.

    Returns:
        The document.

    Raises:
        ConfigurationError: If the text is malformed, has an unknown key, or has
            an invalid value or reference. The first problem is raised.
    """
    parsed = parse_document(text)
    problems = checks.list_problems(parsed)
    if problems:
        raise _add_line(problems[0], text)
    return parsed


def list_document_problems(text: str) -> tuple[errors.ConfigurationError, ...]:
    """Lists the problems in the text of a document.

    If the text can't be parsed, only that problem is listed.
    """
    try:
        parsed = parse_document(text)
    except errors.ConfigurationError as error:
        return (error,)
    return tuple(_add_line(each, text) for each in checks.list_problems(parsed))


def parse_document(text: str) -> document_module.Document:
    """Reads a document and checks only its syntax, keys and types.

    Args:
        text: JSON with comments.

    Returns:
        The document.

    Raises:
        ConfigurationError: If the text is malformed or has an unknown key or a
            value of a wrong type.
    """
    if len(text) > MAX_TEXT_BYTES:
        raise errors.ConfigurationError(
            "the document is too large.",
            f"Keep it under {MAX_TEXT_BYTES} bytes.")
    try:
        # Text from `dump_document` has no comments and needs no JSON5 parser.
        return _DECODER.decode(text)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return _parse_with_comments(text)


def _parse_with_comments(text: str) -> document_module.Document:
    try:
        decoded = pyjson5.decode(text)
        return msgspec.convert(decoded, document_module.Document)
    except (pyjson5.Json5Exception, RecursionError) as error:
        raise _make_syntax_error(text, error) from error
    except msgspec.ValidationError as error:
        raise _make_type_error(text, error) from error


def dump_document(parsed: document_module.Document) -> str:
    """Encodes a document as compact JSON.

    Examples:
        >>> empty = document_module.Document((), "", (), (), ())
        >>> parse_document(dump_document(empty)) == empty
        True
    """
    return msgspec.json.encode(parsed).decode()


def _make_syntax_error(text: str,
                       error: Exception) -> errors.ConfigurationError:
    line = locator.find_syntax_line(text, str(error))
    return errors.ConfigurationError(f"the document is no JSON: {error}.",
                                     "Correct the syntax near that line.",
                                     line=line)


def _make_type_error(
        text: str, error: msgspec.ValidationError) -> errors.ConfigurationError:
    path_match = _KEY_PATH.search(str(error))
    key = path_match.group(1) if path_match else "$"
    message = _KEY_PATH.sub("", str(error))
    return errors.ConfigurationError(
        f"{key}: {message}.",
        "Correct that key; docs/CONFIGURATION.md lists all keys.",
        line=locator.find_line(text, key),
        key=key)


def _add_line(problem: errors.ConfigurationError,
              text: str) -> errors.ConfigurationError:
    return errors.ConfigurationError(problem.message,
                                     problem.remedy,
                                     line=locator.find_line(text, problem.key),
                                     key=problem.key)
