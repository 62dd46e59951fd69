"""Endpoints as processes, which signals stop and end."""

import argparse
import asyncio
import collections.abc
import dataclasses
import json
import random
import signal
import subprocess
import sys
import time

from mustardwood.platform.tests import documents
from mustardwood.platform.tests.soak import endpoint

_START_SECONDS = 10.0


class EndpointProcess:
    """An endpoint in a process of its own, behind a link.

    Attributes:
        name: Id in its registration.
        service: Name of the service.
        link: The link to it; None before `start`.
    """

    def __init__(self, plan, store, service, folder, number):
        """Creates an endpoint; `start` starts its process.

        Args:
            plan: The plan of the run.
            store: The store for its registration.
            service: Name of the service.
            folder: Folder for the lines about its runs.
            number: Number of the endpoint.
        """
        self.service = service
        self.name = f"{service}-p{number}"
        self.link = None
        self._plan = plan
        self._store = store
        self._folder = folder
        self._number = number
        self._starts = []
        self._port = 0
        self._process = None

    async def start(self, make_link: collections.abc.Callable) -> None:
        """Starts the process and registers the endpoint behind a link.

        Args:
            make_link: Function that returns an open link to a port.
        """
        await self._spawn()
        self.link = await make_link(self._port)
        self.register()

    async def restart(self, pause_seconds: float, has_new_name: bool) -> None:
        """Kills the process and starts it again at the same address.

        Args:
            pause_seconds: Time between both.
            has_new_name: Whether it is another endpoint after that. The
                registration of the one before stays for the pause.
        """
        self.kill()
        old_name = self.name
        if has_new_name:
            self.name = f"{old_name.split('.')[0]}.{len(self._starts)}"
        await self._spawn()
        await asyncio.sleep(pause_seconds)
        if has_new_name:
            self._store.remove(f"servers/{old_name}")
        self.register()

    def suspend(self):
        """Stops the process."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Continues the process after `suspend`."""
        self._process.send_signal(signal.SIGCONT)

    def kill(self):
        """Kills the process; its runs have ended then."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._starts[-1][1] = time.monotonic()

    def read_runs(self):
        """Returns the runs of all its processes."""
        runs = []
        for path, ended_at in self._starts:
            by_number = {}
            for line in path.read_text(encoding="utf-8").splitlines():
                number, *fields = json.loads(line)
                if len(fields) > 1:
                    by_number[number] = endpoint.Run(*fields, ended_at, True)
                else:
                    by_number[number].ended_at, = fields
                    by_number[number].was_killed = False
            runs += by_number.values()
        return runs

    async def _spawn(self):
        path = self._folder / f"{self.name}-{len(self._starts)}.jsonl"
        path.write_text("", encoding="utf-8")
        self._starts.append([path, float("inf")])
        self._process = subprocess.Popen(  # pylint: disable=consider-using-with
            [
                sys.executable, "-m", __spec__.name, self.name, self.service,
                str(self._port),
                str(path),
                str(self._plan.seed * 1000 + self._number),
                str(self._plan.misbehavior),
                str(self._plan.close_seconds),
                str(self._plan.copied_refusals),
                str(self._plan.unframed)
            ],
            stdout=subprocess.PIPE)
        line = await asyncio.wait_for(
            asyncio.to_thread(self._process.stdout.readline), _START_SECONDS)
        self._port = int(line)

    def register(self):
        """Writes the registration, as after a start."""
        self._store.put(
            f"servers/{self.name}",
            documents.make_registration(service=self.service,
                                        address=f"127.0.0.1:{self.link.port}",
                                        slots=64,
                                        born=round(time.time() * 1000)))


class _RunWriter(list):
    """Writes each run to a file when it begins and when it ends."""

    def __init__(self, file):
        super().__init__()
        self._file = file

    def append(self, run):
        """Writes the begin of a run; its end is written by `end`."""
        super().append(run)
        *fields, _, _ = dataclasses.astuple(run)
        print(json.dumps([len(self) - 1, *fields]), file=self._file, flush=True)

    def end(self, run):
        """Writes the end of a run."""
        number = next(index for index, each in enumerate(self) if each is run)
        print(json.dumps([number, run.ended_at]), file=self._file, flush=True)


async def _serve(options):
    with open(options.runs, "a", encoding="utf-8") as file:
        runs = _RunWriter(file)
        served = endpoint.Endpoint(None,
                                   options.service,
                                   random.Random(options.seed),
                                   options.misbehavior,
                                   close_seconds=options.close,
                                   name=options.name,
                                   copied_refusals=options.copies,
                                   unframed=options.unframed)
        served.runs, served.on_end = runs, runs.end
        server = await served.listen(options.port)
        print(server.sockets[0].getsockname()[1], flush=True)
        await server.serve_forever()


def main():
    """Serves until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name")
    parser.add_argument("service")
    parser.add_argument("port", type=int)
    parser.add_argument("runs")
    parser.add_argument("seed", type=int)
    parser.add_argument("misbehavior", type=float)
    parser.add_argument("close", type=float)
    parser.add_argument("copies", type=float)
    parser.add_argument("unframed", type=float)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
