"""Runs the model checks."""

import sys

from spec import check
from spec import claim_protocol

SPECIFICATIONS = (check.Specification(name="claim",
                                      make=claim_protocol.make_protocol,
                                      guards=tuple(claim_protocol.Guard)),)
"""All specifications."""


def main() -> int:
    """Checks all specifications; returns the exit code."""
    outcomes = [check.check(one) for one in SPECIFICATIONS]
    return 0 if all(outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
