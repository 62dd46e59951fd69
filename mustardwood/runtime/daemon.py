"""The interface of a long-running process."""

import typing


class Daemon(typing.Protocol):
    """A long-running process that `run_command` starts and stops."""

    async def start(self) -> None:
        """Starts listening and serving."""

    async def stop(self) -> None:
        """Shuts down gracefully; returns when no work is left."""
