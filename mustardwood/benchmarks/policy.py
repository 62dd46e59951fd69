"""The interface of a policy that is measured."""

import typing

from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import environment as environment_module


class Policy(typing.Protocol):
    """Decides where and when requests run.

    Attributes:
        name: Name for tables.
        control_bytes: Bytes of messages between the policy's processes.
    """

    name: str
    control_bytes: int

    def start(self, environment: environment_module.Environment) -> None:
        """Prepares for a run in a world."""

    def handle_request(self, request: bench_request.BenchRequest) -> None:
        """Takes a request; its end must be noted in the world's recorder."""

    def kill_owner(self) -> None:
        """Loses the VM or process that decides, if there is one."""
