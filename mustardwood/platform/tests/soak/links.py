"""Loopback links that delay, hold, silence and reset connections."""

import asyncio
import contextlib

from mustardwood.platform.tests.soak import endpoint

_READ_BYTES = 16 * 1024


class Link:
    """Passes on connections to a port.

    Attributes:
        port: Port of the link; 0 before `start`.
        delay_seconds: Time by which each part is delayed in both directions.
    """

    def __init__(self, target_port):
        """Creates a link; `start` opens it.

        Args:
            target_port: The port to which connections are passed on.
        """
        self.port = 0
        self.delay_seconds = 0.0
        self._target_port = target_port
        self._server = None
        self._is_open = {True: asyncio.Event(), False: asyncio.Event()}
        for each in self._is_open.values():
            each.set()
        self._silenced = set()
        self._writers = set()
        self._tasks = set()

    async def start(self):
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Closes the link and its connections."""
        self._server.close()
        for each in self._tasks:
            each.cancel()

    def cut(self, is_to_target):
        """Holds all parts in one direction until `mend`."""
        self._is_open[is_to_target].clear()

    def mend(self):
        """Passes on what was held."""
        for each in self._is_open.values():
            each.set()

    def silence(self):
        """Passes on nothing more, nor closes, on the open connections."""
        self._silenced |= self._writers

    def reset(self):
        """Resets the open connections."""
        for each in list(self._writers):
            endpoint.reset_connection(each)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        target = None
        try:
            target_reader, target = await asyncio.open_connection(
                "127.0.0.1", self._target_port)
            self._writers.add(target)
            await asyncio.gather(self._pass_on(reader, target, True),
                                 self._pass_on(target_reader, writer, False))
        except OSError:
            endpoint.reset_connection(writer)
        finally:
            for each in (writer, target):
                if each is not None:
                    self._writers.discard(each)
                    self._silenced.discard(each)
                    each.close()
            self._tasks.discard(asyncio.current_task())

    async def _pass_on(self, reader, writer, is_to_target):
        while True:
            data = await reader.read(_READ_BYTES)
            if self.delay_seconds:
                await asyncio.sleep(self.delay_seconds)
            await self._is_open[is_to_target].wait()
            if writer in self._silenced:
                await asyncio.Event().wait()
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
