"""The present faults of a stand-in."""

import typing

import msgspec

_Faults = typing.TypeVar("_Faults", bound=msgspec.Struct)


class FaultInjector(typing.Generic[_Faults]):
    """Holds a struct of faults, changes fields, and counts faults down.

    Args:
        faults: The faults at the start, a frozen struct with defaults.

    Attributes:
        faults: The present faults.

    Examples:
        >>> class Faults(msgspec.Struct, frozen=True):
        ...     lost: int = 0
        >>> injector = FaultInjector(Faults())
        >>> injector.change({"lost": 1})
        >>> injector.take("lost"), switch.take("lost")
        (True, False)
    """

    def __init__(self, faults: _Faults) -> None:
        self.faults = faults

    def change(self, changes: dict[str, typing.Any]) -> None:
        """Sets the named fields; raises `msgspec.ValidationError`."""
        merged = {**msgspec.to_builtins(self.faults), **changes}
        self.faults = msgspec.convert(merged, type(self.faults))

    def take(self, name: str) -> bool:
        """Uses one of the counted faults `name`; returns whether any was left.
        """
        left = getattr(self.faults, name)
        if left <= 0:
            return False
        self.change({name: left - 1})
        return True
