"""A request for a newer configuration."""

import msgspec


class ConfigurationPull(msgspec.Struct, frozen=True, tag="configuration_pull"):
    """Asks an agent for its configuration if it is newer.

    Attributes:
        version: Version in force at the sender.
    """

    version: int
