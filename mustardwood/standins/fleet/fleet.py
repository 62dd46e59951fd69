"""Children that make up a fleet."""

import collections.abc
import pathlib
import shutil
import subprocess
import sys
import tempfile
import threading
import types
import typing

import msgspec

from mustardwood import settings as settings_module
from mustardwood import vmlist
from mustardwood.standins.fleet import address_plan
from mustardwood.standins.fleet import child_process
from mustardwood.standins.fleet import fleet_error
from mustardwood.standins.fleet import http_calls

_READY_SECONDS = 120.0
"""Bound on the start of a child."""

_END_SECONDS = 10.0
"""Time for a planned stop when the whole fleet ends."""

_APPLY_SECONDS = 60.0
"""Bound on the run of the operators' command line."""

_PLATFORM_PORT = 7000
_ENGINE_PORT = 8000
_SERVICE_PORT = 8001

_PARTS = ("agent", "scheduler", "entry")
"""Processes of an entry VM, in the order of their start."""


class Fleet:
    """Starts stand-ins and VMs' worth of processes, and ends them all.

    A context manager: everything that was started has ended after the block.
    Its methods block; don't call them from a reactor's thread. Several
    children may be started from threads at once.

    Args:
        network: First three numbers of its addresses in 127.0.0.0/8.

    Attributes:
        addresses: Its addresses.
        folder: Folder of its settings files and logs; deleted at the end.
        children: All children by name, as in ``platform``, ``engine-1``,
            ``service-1`` and ``vm-1/agent``.

    Examples:
        >>> with Fleet("127.90.7") as fleet:  # doctest: +SKIP
        ...     fleet.start_platform()
        ...     fleet.start_engine(1, "small")
        ...     fleet.start_vm(1, zone="zone-a")
        ...     fleet.apply(pathlib.Path("configuration.jsonc"))
        ...     fleet.children["vm-1/scheduler"].kill()
    """

    def __init__(self, network: str) -> None:
        self.addresses = address_plan.AddressPlan(network)
        self.children: dict[str, child_process.ChildProcess] = {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="mustardwood-"))
        self._settings: dict[str, settings_module.Settings] = {}
        self._records: dict[str, vmlist.VmRecord] = {}
        self._publishing = threading.Lock()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, kind: type[BaseException] | None,
                 error: BaseException | None,
                 traceback: types.TracebackType | None) -> None:
        self.stop()

    @property
    def platform_url(self) -> str:
        """Base URL of the platform."""
        return f"http://{self.addresses.platform}:{_PLATFORM_PORT}"

    def start_platform(self) -> child_process.ChildProcess:
        """Starts the platform stand-in and waits until it answers."""
        return self._start_standin("platform", "platform",
                                   self.addresses.platform, _PLATFORM_PORT, ())

    def start_engine(self, number: int, model: str, *options:
                     str) -> child_process.ChildProcess:
        """Starts an engine stand-in and waits until it answers.

        Args:
            number: Its number, from 1.
            model: Model that it serves.
            *options: Further command-line options of mustardwood-fake-engine.
        """
        return self._start_standin(f"engine-{number}", "engine",
                                   self.addresses.find_engine(number),
                                   _ENGINE_PORT, ("--model", model, *options))

    def start_service(self, number: int) -> child_process.ChildProcess:
        """Starts a service stand-in and waits until it answers."""
        return self._start_standin(f"service-{number}", "service",
                                   self.addresses.find_service(number),
                                   _SERVICE_PORT, ())

    def start_vm(self,
                 number: int,
                 zone: str,
                 region: str = "region-a",
                 parts: collections.abc.Sequence[str] = _PARTS,
                 **overrides: typing.Any) -> None:
        """Starts the processes of an entry VM and puts it on the VM list.

        Args:
            number: Its number, from 1; ``vm-1`` is the name of the first.
            zone: Availability zone.
            region: Region.
            parts: Which of its processes to start, in that order.
            **overrides: Further fields of its settings.
        """
        vm = f"vm-{number}"
        ip = self.addresses.find_vm(number)
        settings = settings_module.Settings(
            vm=vm,
            ip=ip,
            zone=zone,
            region=region,
            platform_url=self.platform_url,
            **overrides,
        )
        path = self.folder / f"{vm}.json"
        path.write_bytes(msgspec.json.encode(settings))
        self._settings[vm] = settings
        self._records[vm] = vmlist.VmRecord(vm, ip, zone, region)
        self._publish_vms()
        ports = {
            "agent": settings.agent_operators_port,
            "scheduler": settings.scheduler_operators_port,
            "entry": settings.entry_operators_port,
        }
        for part in parts:
            self._add_child(f"{vm}/{part}", f"mustardwood.{part}.main",
                            ("--settings", str(path)),
                            f"http://{ip}:{ports[part]}")
        for part in parts:
            self.wait_until_healthy(f"{vm}/{part}")

    def set_leaving(self, number: int, leaving: bool = True) -> None:
        """Marks a VM as leaving on the VM list, or takes the mark back."""
        vm = f"vm-{number}"
        self._records[vm] = msgspec.structs.replace(self._records[vm],
                                                    leaving=leaving)
        self._publish_vms()

    def find_callers_url(self, number: int) -> str:
        """Returns the base URL of the callers' HTTP of a VM."""
        settings = self._settings[f"vm-{number}"]
        return f"http://{settings.ip}:{settings.callers_port}"

    def set_faults(self, name: str, **changes: typing.Any) -> None:
        """Posts to ``/switch`` of a stand-in."""
        http_calls.fetch_json(f"{self.children[name].url}/switch", changes)

    def read_json(self, name: str, path: str) -> typing.Any:
        """Returns a JSON document of a child's HTTP, as ``/log``."""
        return http_calls.fetch_json(self.children[name].url + path)

    def restart(self, name: str) -> None:
        """Starts a child again that has ended, and waits until it answers."""
        self.children[name].start()
        self.wait_until_healthy(name)

    def wait_until_healthy(self, name: str) -> None:
        """Waits for ``/healthz`` of a child; raises `FleetError`."""
        self._wait(name, "/healthz")

    def wait_until_ready(self, name: str) -> None:
        """Waits for ``/readyz`` of a child; raises `FleetError`."""
        self._wait(name, "/readyz")

    def apply(self, document: pathlib.Path, vm: int = 1) -> str:
        """Applies a configuration by the operators' command line.

        Args:
            document: The configuration document.
            vm: Number of the VM whose agent takes it.

        Returns:
            What the command printed.

        Raises:
            FleetError: The command failed.
        """
        agent = self.children[f"vm-{vm}/agent"]
        command = [
            sys.executable, "-m", "mustardwood.cli.main", "apply",
            str(document), "--agent", agent.url, "--wait"
        ]
        done = subprocess.run(command,
                              capture_output=True,
                              text=True,
                              timeout=_APPLY_SECONDS,
                              check=False)
        if done.returncode:
            raise fleet_error.FleetError(
                f"mustardwood apply ended with code {done.returncode}: "
                f"{done.stdout}{done.stderr}", "Follow what it printed.")
        return done.stdout

    def stop(self) -> None:
        """Ends all children, those of the VMs first."""
        for child in reversed(self.children.values()):
            if child.is_running:
                child.resume()
                child.terminate()
        for child in reversed(self.children.values()):
            child.stop(_END_SECONDS)
        shutil.rmtree(self.folder)

    def _publish_vms(self) -> None:
        with self._publishing:
            records = msgspec.to_builtins(tuple(self._records.values()))
            self.set_faults("platform", vms=records)

    def _start_standin(self, name: str, kind: str, ip: str, port: int,
                       options: tuple[str, ...]) -> child_process.ChildProcess:
        arguments = ("--ip", ip, "--port", str(port), *options)
        child = self._add_child(name, f"mustardwood.standins.{kind}.main",
                                arguments, f"http://{ip}:{port}")
        self.wait_until_healthy(name)
        return child

    def _add_child(self, name: str, module: str, arguments: tuple[str, ...],
                   url: str) -> child_process.ChildProcess:
        log_path = self.folder / f"{name.replace('/', '-')}.log"
        child = child_process.ChildProcess(name, module, arguments, log_path,
                                           url)
        self.children[name] = child
        child.start()
        return child

    def _wait(self, name: str, path: str) -> None:
        child = self.children[name]
        if http_calls.wait_for_status_ok(child.url + path, _READY_SECONDS,
                                         lambda: child.is_running):
            return
        raise fleet_error.FleetError(
            f"{name} ended, or did not answer {path} in time; "
            f"its log ends: {child.read_log_tail()}",
            "Correct what the log shows.")
