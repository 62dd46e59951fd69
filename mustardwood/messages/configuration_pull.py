"""A request for a newer configuration."""

import msgspec


class ConfigurationPull(msgspec.Struct, frozen=True, tag="configuration_pull"):
    """Asks an agent for its configuration if it is newer.

    An agent whose own is older asks the sender for its configuration instead.
    So an agent that has adopted a version tells of it by this message.

    Attributes:
        version: Version in force at the sender.
    """

    version: int
