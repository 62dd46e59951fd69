"""A configuration passed between agents."""

import msgspec

from mustardwood import configuration


class ConfigurationPush(msgspec.Struct, frozen=True, tag="configuration_push"):
    """Passes a configuration on.

    Attributes:
        document: The configuration; its text is compressed and encoded by the
            sender as `packed`, and empty here.
        packed: The document's text, compressed with zlib.
    """

    document: configuration.VersionedDocument
    packed: bytes
