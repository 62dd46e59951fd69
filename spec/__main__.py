"""Runs the model checker on all specifications."""

import functools
import sys

from spec import check
from spec import claim_protocol
from spec import configuration_protocol
from spec import leadership_protocol

SPECIFICATIONS = (
    check.Specification(name="claim",
                        make_protocol=claim_protocol.make_protocol,
                        guards=tuple(claim_protocol.Guard)),
    check.Specification(name="configuration, operators race",
                        make_protocol=functools.partial(
                            configuration_protocol.make_protocol,
                            configuration_protocol.RACE),
                        guards=configuration_protocol.RACE_GUARDS),
    check.Specification(name="configuration, VMs restart",
                        make_protocol=functools.partial(
                            configuration_protocol.make_protocol,
                            configuration_protocol.RESTART),
                        guards=configuration_protocol.RESTART_GUARDS),
    check.Specification(name="leadership",
                        make_protocol=leadership_protocol.make_protocol,
                        guards=tuple(leadership_protocol.Guard)),
)
"""The specifications to check."""


def main() -> int:
    """Checks all specifications and returns the exit code."""
    results = [
        check.check_specification(specification)
        for specification in SPECIFICATIONS
    ]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
