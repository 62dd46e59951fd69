"""Holds and changes the faults of a stand-in."""

import typing

import msgspec

_Faults = typing.TypeVar("_Faults", bound=msgspec.Struct)


class FaultInjector(typing.Generic[_Faults]):
    """Holds the faults that are injected into a stand-in.

    Each fault is a field of a struct. A fault that is limited to a number of
    requests or events is a counter that `take` decrements.

    Args:
        faults: The initial faults, a frozen struct with defaults.

    Attributes:
        faults: The current faults.

    Examples:
        >>> class Faults(msgspec.Struct, frozen=True):
        ...     lost: int = 0
        >>> injector = FaultInjector(Faults())
        >>> injector.update({"lost": 1})
        >>> injector.take("lost"), injector.take("lost")
        (True, False)
    """

    def __init__(self, faults: _Faults) -> None:
        self.faults = faults

    def update(self, changes: dict[str, typing.Any]) -> None:
        """Sets the given fields and leaves the others as they are.

        Raises:
            msgspec.ValidationError: A field is unknown or its value is wrong.
        """
        merged = {**msgspec.to_builtins(self.faults), **changes}
        self.faults = msgspec.convert(merged, type(self.faults))

    def take(self, name: str) -> bool:
        """Decrements the counter `name`; returns False if it was 0 already."""
        remaining = getattr(self.faults, name)
        if remaining <= 0:
            return False
        self.update({name: remaining - 1})
        return True
