"""The key by which a VM holds the term."""

import dataclasses

_ERA_FACTOR = 2**40
"""Factor of the era in a token.

Revisions of an era stay below it: at 1,000 writes per second they would reach
it after 34 years.
"""


@dataclasses.dataclass(frozen=True)
class LeaderKey:
    """The contents of the key and the write that they come from.

    Attributes:
        holder: Name of the VM that wrote it.
        lease_id: Id of the lease under which it was written. It tells the
            writes of one VM apart, so that a late one under an older lease is
            not taken for one under the present lease.
        era: The store's era.
        revision: Revision of the write in that era.
    """

    holder: str
    lease_id: int
    era: int
    revision: int

    @property
    def token(self) -> int:
        """Fencing token of the term that the write began.

        A restored store gives revisions out again, so the era comes first.
        """
        return self.era * _ERA_FACTOR + self.revision
