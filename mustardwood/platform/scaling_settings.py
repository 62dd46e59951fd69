"""The operators' settings for the ordering of endpoints."""

import collections.abc
import dataclasses

ORDERS_VARIABLE = "MUSTARDWOOD_ORDER_ENDPOINTS"
"""Environment variable that switches the ordering off with the value 0."""
PINS_VARIABLE = "MUSTARDWOOD_PINNED_ENDPOINTS"
"""Environment variable that sets numbers of endpoints.

It holds the total by service, as in `chat=24,search=3`.
"""
_OFF = "0"


@dataclasses.dataclass(frozen=True)
class ScalingSettings:
    """Settings for the ordering of endpoints.

    Attributes:
        is_enabled: Whether endpoints are ordered.
        pinned_counts: Total numbers of endpoints that the operator has set, by
            service.
        problems: Entries that are ignored, each with the reason.
    """

    is_enabled: bool = True
    pinned_counts: collections.abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict)
    problems: tuple[str, ...] = ()

    @classmethod
    def from_environment(
            cls,
            environment: collections.abc.Mapping[str,
                                                 str]) -> "ScalingSettings":
        """Reads the settings.

        Args:
            environment: Environment variables of the process.

        Returns:
            The settings; an entry that can't be read is one of their problems.
        """
        counts: dict[str, int] = {}
        problems = []
        for entry in environment.get(PINS_VARIABLE, "").split(","):
            entry = entry.strip()
            if not entry:
                continue
            service, _, count = entry.rpartition("=")
            service, count = service.strip(), count.strip()
            if service and count.isdecimal():
                counts[service] = int(count)
            else:
                problems.append(f"{PINS_VARIABLE} has the entry {entry!r}, "
                                "which is not SERVICE=NUMBER.")
        value = environment.get(ORDERS_VARIABLE, "").strip()
        if value not in ("", _OFF, "1"):
            problems.append(f"{ORDERS_VARIABLE} is {value!r}, which is neither "
                            "0 nor 1; endpoints are ordered.")
        return cls(value != _OFF, counts, tuple(problems))
