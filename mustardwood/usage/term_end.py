"""The action to end this VM's term."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class TermEnd:
    """Ends this VM's term, since a call was refused for a higher token.

    Attributes:
        reason: Reason for the log, in snake case.
    """

    reason: str
