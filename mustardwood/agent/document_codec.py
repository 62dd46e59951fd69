"""The stored and sent forms of configuration documents."""

import zlib

import msgspec

from mustardwood import configuration
from mustardwood import errors
from mustardwood import messages

MAX_TEXT_BYTES = 1024 * 1024
"""Largest text of a document, in bytes."""


def encode_stored(document: configuration.VersionedDocument) -> str:
    """Returns the value that the key-value service holds."""
    return msgspec.json.encode(document).decode()


def decode_stored(text: str) -> configuration.VersionedDocument:
    """Reads the value that the key-value service holds.

    Raises:
        ConfigurationError: The value is no versioned document.
    """
    try:
        return msgspec.json.decode(text, type=configuration.VersionedDocument)
    except msgspec.MsgspecError as error:
        raise errors.ConfigurationError(
            f"the platform's value is malformed: {error}.",
            "Find out what else writes that key; the value was ignored.",
        ) from error


def pack_document(
        document: configuration.VersionedDocument
) -> messages.ConfigurationPush:
    """Makes the message that passes a document on."""
    packed = zlib.compress(document.text.encode())
    without_text = msgspec.structs.replace(document, text="")
    return messages.ConfigurationPush(without_text, packed)


def unpack_document(
        push: messages.ConfigurationPush) -> configuration.VersionedDocument:
    """Reads a document that another agent passed on.

    Raises:
        LinkError: The message holds no document of a bounded size.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(push.packed, MAX_TEXT_BYTES)
        if not decompressor.eof:
            raise ValueError("the text is too long or cut")
        return msgspec.structs.replace(push.document, text=text.decode())
    except (zlib.error, ValueError) as error:
        raise errors.LinkError(
            f"a configuration can't be unpacked: {error}.",
            "Run the same release on all VMs; the message was dropped.",
        ) from error
