"""Encoding of configuration documents for storage and for messages."""

import zlib

import msgspec

from mustardwood import configuration
from mustardwood import errors
from mustardwood import messages

MAX_TEXT_BYTES = 1024 * 1024
"""Maximum size of a document's text, in bytes."""


def encode_stored(document: configuration.VersionedDocument) -> str:
    """Encodes a document as a value of the key-value service."""
    return msgspec.json.encode(document).decode()


def decode_stored(text: str) -> configuration.VersionedDocument:
    """Decodes a document from a value of the key-value service.

    Raises:
        ConfigurationError: The value is not a versioned document.
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
    """Returns the message that sends a document to another agent."""
    packed = zlib.compress(document.text.encode())
    without_text = msgspec.structs.replace(document, text="")
    return messages.ConfigurationPush(without_text, packed)


def unpack_document(
        push: messages.ConfigurationPush) -> configuration.VersionedDocument:
    """Decodes a document that another agent sent.

    Raises:
        LinkError: The text can't be decompressed or is larger than
                `MAX_TEXT_BYTES`.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(push.packed, MAX_TEXT_BYTES)
        if not decompressor.eof:
            raise ValueError("the text is truncated or too long")
        return msgspec.structs.replace(push.document, text=text.decode())
    except (zlib.error, ValueError) as error:
        raise errors.LinkError(
            f"a configuration message can't be decoded: {error}.",
            "Run the same release on all VMs; the message was dropped.",
        ) from error
