"""A configuration sent from one agent to another."""

import msgspec

from mustardwood import configuration


class ConfigurationPush(msgspec.Struct, frozen=True, tag="configuration_push"):
    """Sends a configuration to another agent.

    Attributes:
        document: The configuration. Its text is empty, because `packed` holds
            it.
        packed: Text of the document, encoded and compressed with zlib.
    """

    document: configuration.VersionedDocument
    packed: bytes
