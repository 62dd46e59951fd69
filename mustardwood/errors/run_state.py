"""Whether a failed request may have run."""

import enum


class RunState(enum.StrEnum):
    """What is known about the execution of a failed request.

    `NOT_RUN` means that no endpoint ran the request, `OUTCOME_UNKNOWN` that one
    may have run it.
    """

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
