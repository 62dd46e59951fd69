"""Runs the model checks."""

import functools
import sys

from spec import check
from spec import claim_protocol
from spec import configuration_protocol

SPECIFICATIONS = (
    check.Specification(name="claim",
                        make=claim_protocol.make_protocol,
                        guards=tuple(claim_protocol.Guard)),
    check.Specification(name="configuration, operators race",
                        make=functools.partial(
                            configuration_protocol.make_protocol,
                            configuration_protocol.RACE),
                        guards=configuration_protocol.RACE_GUARDS),
    check.Specification(name="configuration, VMs restart",
                        make=functools.partial(
                            configuration_protocol.make_protocol,
                            configuration_protocol.RESTART),
                        guards=configuration_protocol.RESTART_GUARDS),
)
"""All specifications."""


def main() -> int:
    """Checks all specifications; returns the exit code."""
    outcomes = [check.check(one) for one in SPECIFICATIONS]
    return 0 if all(outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
