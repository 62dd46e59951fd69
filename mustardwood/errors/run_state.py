"""Whether a request ran."""

import enum


class RunState(enum.StrEnum):
    """What is known about the execution of a request that failed."""

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
