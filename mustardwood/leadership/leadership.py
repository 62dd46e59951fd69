"""The interface by which duties learn whether this VM carries them out."""

import typing

from mustardwood.leadership import term


class Leadership(typing.Protocol):
    """Tells which VM carries out the duties."""

    @property
    def holder(self) -> str:
        """VM that holds the term as far as is known; empty if none is known."""

    def find_term(self) -> term.Term | None:
        """Returns this VM's own term; None if it must not act now.

        The term is looked up before each call that acts on it, since it may
        have ended in the meantime.
        """

    def end_term(self, reason: str) -> None:
        """Ends this VM's own term at once; does nothing if it has none.

        Args:
            reason: Reason for the log and the metrics, in snake case, such as
                ``token_refused`` after a call was refused for a higher token.
        """
