"""Interface of a scheduling policy under benchmark."""

import typing

from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import environment as environment_module


class Policy(typing.Protocol):
    """Decides where and when requests run.

    Attributes:
        name: Name in result tables.
        control_bytes: Total size of the messages between the policy's
            processes, in bytes.
    """

    name: str
    control_bytes: int

    def start(self, environment: environment_module.Environment) -> None:
        """Prepares for a run in a simulated environment."""

    def handle_request(self, request: bench_request.BenchRequest) -> None:
        """Handles a request; must report its end to the recorder."""

    def kill_owner(self) -> None:
        """Kills the scheduler of the owner VM, if the policy has one."""
