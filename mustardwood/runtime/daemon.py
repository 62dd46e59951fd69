"""The interface of a long-running process."""

import typing


class Daemon(typing.Protocol):
    """What `run_daemon` starts and stops."""

    async def start(self) -> None:
        """Starts to listen and to work."""

    async def stop(self) -> None:
        """Stops as planned; returns when no work is left."""
