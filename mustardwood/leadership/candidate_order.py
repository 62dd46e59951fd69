"""The order in which VMs become candidates."""

import collections.abc
import hashlib

Position = tuple[int, int]
"""Era and revision of the write of a VM's registration."""


class CandidateOrder:
    """Orders VMs, the same way on all VMs that know the same registrations.

    The older half of the registrations comes first, by a hash of the names;
    the newer half follows by age. Load: in a rolling restart, the oldest VM is
    the next one to stop. Ordered by age alone, the term would move with each
    restart; by a hash among the older half, it moves about as often as that
    half can be halved again.

    Examples:
        >>> order = CandidateOrder()
        >>> order.set_registrations({"a": (1, 9), "b": (1, 2), "c": (1, 7)})
        >>> order.list_candidates()[-1]
        'a'
    """

    def __init__(self) -> None:
        self._registrations: dict[str, Position] = {}
        self._order: tuple[str, ...] | None = None

    def set_registrations(
            self, registrations: collections.abc.Mapping[str,
                                                         Position]) -> None:
        """Replaces all registrations.

        Args:
            registrations: Position of each VM's registration, by its name.
        """
        self._registrations = dict(registrations)
        self._order = None

    def set_registration(self, vm: str, position: Position | None) -> None:
        """Handles a change of a registration.

        Args:
            vm: Name of the VM.
            position: Position of its registration; None if it was removed.
        """
        if position is None:
            self._registrations.pop(vm, None)
        else:
            self._registrations[vm] = position
        self._order = None

    def list_candidates(self) -> tuple[str, ...]:
        """Returns the names of the registered VMs, the first candidate first.
        """
        if self._order is None:
            by_age = sorted(self._registrations,
                            key=lambda vm: (self._registrations[vm], vm))
            half = (len(by_age) + 1) // 2
            self._order = (*sorted(by_age[:half], key=_hash_name),
                           *by_age[half:])
        return self._order

    def find_rank(self, vm: str, last_holder: str) -> int:
        """Returns the number of VMs that are candidates before a VM.

        Args:
            vm: Name of the VM; one that is not registered comes last.
            last_holder: Name of the VM that held the last term. It comes last,
                since it was probably lost.
        """
        order = [each for each in self.list_candidates() if each != last_holder]
        return order.index(vm) if vm in order else len(order)


def _hash_name(vm: str) -> bytes:
    return hashlib.blake2b(vm.encode(), digest_size=8).digest()
