"""The interface of a policy that is measured."""

import typing

from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import world as world_module


class Policy(typing.Protocol):
    """Decides where and when requests run.

    Attributes:
        name: Name for tables.
        control_bytes: Bytes of messages between the policy's processes.
    """

    name: str
    control_bytes: int

    def start(self, world: world_module.World) -> None:
        """Prepares for a run in a world."""

    def arrive(self, request: bench_request.BenchRequest) -> None:
        """Takes a request; its end must be noted in the world's recorder."""

    def lose_owner(self) -> None:
        """Loses the VM or process that decides, if there is one."""
