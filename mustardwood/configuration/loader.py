"""Reading and writing of configuration documents."""

import re

import msgspec
import pyjson5

from mustardwood import errors
from mustardwood.configuration import checks
from mustardwood.configuration import document as document_module
from mustardwood.configuration import locator

MAXIMUM_TEXT_BYTES = 8 * 1024 * 1024
"""Largest document, in bytes; the stored form must fit a megabyte packed."""

_PATH = re.compile(r" - at `([^`]+)`")
_DECODER = msgspec.json.Decoder(document_module.Document)


def load_document(text: str) -> document_module.Document:
    """Reads and checks a configuration document.

    Args:
        text: JSON with comments.

    Returns:
        The document.

    Raises:
        ConfigurationError: The text is malformed, has a wrong or unknown key,
            or contradicts itself; the first problem is raised.
    """
    parsed = parse_document(text)
    problems = checks.list_problems(parsed)
    if problems:
        raise _locate(problems[0], text)
    return parsed


def list_document_problems(text: str) -> tuple[errors.ConfigurationError, ...]:
    """Lists all that is wrong with a document's text."""
    try:
        parsed = parse_document(text)
    except errors.ConfigurationError as error:
        return (error,)
    return tuple(_locate(each, text) for each in checks.list_problems(parsed))


def parse_document(text: str) -> document_module.Document:
    """Reads a document without the checks across its parts.

    Args:
        text: JSON with comments.

    Returns:
        The document.

    Raises:
        ConfigurationError: The text is malformed or has a wrong type or key.
    """
    if len(text) > MAXIMUM_TEXT_BYTES:
        raise errors.ConfigurationError(
            "the document is too large.",
            f"Keep it under {MAXIMUM_TEXT_BYTES} bytes.")
    try:
        # The form that `dump_document` writes needs no parser of comments.
        return _DECODER.decode(text)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return _parse_with_comments(text)


def _parse_with_comments(text: str) -> document_module.Document:
    try:
        plain = pyjson5.decode(text)
        return msgspec.convert(plain, document_module.Document)
    except (pyjson5.Json5Exception, RecursionError) as error:
        raise _describe_syntax(text, error) from error
    except msgspec.ValidationError as error:
        raise _describe_type(text, error) from error


def dump_document(parsed: document_module.Document) -> str:
    """Writes a document as compact JSON.

    Examples:
        >>> empty = document_module.Document((), "", (), (), ())
        >>> parse_document(dump_document(empty)) == empty
        True
    """
    return msgspec.json.encode(parsed).decode()


def _describe_syntax(text: str, error: Exception) -> errors.ConfigurationError:
    line = locator.find_syntax_line(text, str(error))
    return errors.ConfigurationError(f"the document is no JSON: {error}.",
                                     "Correct the syntax near that line.",
                                     line=line)


def _describe_type(text: str,
                   error: msgspec.ValidationError) -> errors.ConfigurationError:
    path = _PATH.search(str(error))
    key = path.group(1) if path else "$"
    message = _PATH.sub("", str(error))
    return errors.ConfigurationError(
        f"{key}: {message}.",
        "Correct that key; docs/CONFIGURATION.md lists all keys.",
        line=locator.find_line(text, key),
        key=key)


def _locate(problem: errors.ConfigurationError,
            text: str) -> errors.ConfigurationError:
    return errors.ConfigurationError(problem.message,
                                     problem.remedy,
                                     line=locator.find_line(text, problem.key),
                                     key=problem.key)
