"""A request for a newer configuration."""

import msgspec


class ConfigurationPull(msgspec.Struct, frozen=True, tag="configuration_pull"):
    """Asks an agent for its configuration if that is newer than the sender's.

    An agent whose configuration is older sends a pull back. An agent that has
    adopted a new version therefore announces it with this message.

    Attributes:
        version: Version of the configuration in force at the sender.
    """

    version: int
