"""Changes of what is known of engines' speeds, for the log."""

import dataclasses
import enum

from mustardwood.profiles import engine_profile


class ChangeKind(enum.StrEnum):
    """What has changed."""

    SERVICE = "service"
    """The profile of a service differs much from that logged last."""
    SPEED = "speed"
    """An engine has become slower or faster by much at once."""
    RESTART = "restart"
    """Learning starts again, because an engine has other software."""


@dataclasses.dataclass(frozen=True)
class ProfileChange:
    """A change of a profile.

    Attributes:
        kind: What has changed.
        service: Name of the service.
        endpoint: Incarnation of the endpoint; empty for the service.
        profile: The profile after the change.
    """

    kind: ChangeKind
    service: str
    endpoint: str
    profile: engine_profile.EngineProfile
