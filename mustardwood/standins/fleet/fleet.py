"""Starts and stops the processes of a fleet."""

import collections.abc
import datetime
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
from mustardwood.standins.fleet import network_lock

_START_TIMEOUT_SECONDS = 120.0
"""Time within which a child process must answer after its start."""

_NETWORK_TIMEOUT = datetime.timedelta(minutes=5)
"""Time within which another fleet must release the network."""

_STOP_TIMEOUT_SECONDS = 10.0
"""Time for the graceful shutdown of each process of the fleet."""

_APPLY_TIMEOUT_SECONDS = 60.0
"""Timeout of the operators' command line."""

_PLATFORM_PORT = 7000
_ENGINE_PORT = 8000
_SERVICE_PORT = 8001

_PARTS = ("agent", "scheduler", "entry")
"""Processes of an entry VM, in the order in which they are started."""


class Fleet:
    """Runs stand-ins and the processes of entry VMs as child processes.

    It is a context manager that stops all child processes at the end of the
    block. Its methods block, so don't call them from a reactor's thread.
    Several threads may start child processes at the same time. Fleets with the
    same network run one after the other.

    Args:
        network: First three numbers of the addresses, in 127.0.0.0/8.

    Attributes:
        addresses: IP addresses of the processes.
        folder: Folder with the settings files and logs; deleted when the
            fleet is stopped.
        children: All child processes by name, for example ``platform``,
            ``engine-1``, ``service-1`` and ``vm-1/agent``.

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
        self._vm_records: dict[str, vmlist.VmRecord] = {}
        self._publish_lock = threading.Lock()
        self._network_lock = network_lock.NetworkLock(network)

    def __enter__(self) -> typing.Self:
        self._network_lock.acquire(_NETWORK_TIMEOUT)
        return self

    def __exit__(self, exception_type: type[BaseException] | None,
                 error: BaseException | None,
                 traceback: types.TracebackType | None) -> None:
        self.stop()

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://{self.addresses.platform}:{_PLATFORM_PORT}"

    def start_platform(self) -> child_process.ChildProcess:
        """Starts the platform stand-in and waits until it answers."""
        return self._start_standin("platform", "platform",
                                   self.addresses.platform, _PLATFORM_PORT, ())

    def start_engine(self, number: int, model: str, *options:
                     str) -> child_process.ChildProcess:
        """Starts an engine stand-in and waits until it answers.

        Args:
            number: Number of the engine, from 1.
            model: Name of the model that it serves.
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
        """Starts the processes of an entry VM and adds it to the VM list.

        Args:
            number: Number of the VM, from 1; the first is named ``vm-1``.
            zone: Availability zone.
            region: Region.
            parts: Processes to start, in this order: any of ``agent``,
                ``scheduler`` and ``entry``.
            **overrides: Further fields of the VM's settings.
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
        self._vm_records[vm] = vmlist.VmRecord(vm, ip, zone, region)
        self._publish_vm_list()
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
        """Sets the ``leaving`` field of a VM on the VM list."""
        vm = f"vm-{number}"
        self._vm_records[vm] = msgspec.structs.replace(self._vm_records[vm],
                                                       leaving=leaving)
        self._publish_vm_list()

    def find_callers_url(self, number: int) -> str:
        """Returns the base URL of a VM's HTTP interface for callers."""
        settings = self._settings[f"vm-{number}"]
        return f"http://{settings.ip}:{settings.callers_port}"

    def set_faults(self, name: str, **changes: typing.Any) -> None:
        """Sets faults, or other state, of a stand-in by ``POST /switch``.

        Args:
            name: Name of the stand-in, for example ``engine-1``.
            **changes: Fields of the request body: those of the stand-in's
                `Faults`, and others that its ``/switch`` accepts.
        """
        http_calls.fetch_json(f"{self.children[name].url}/switch", changes)

    def read_json(self, name: str, path: str) -> typing.Any:
        """Returns a JSON document that a child process serves at `path`."""
        return http_calls.fetch_json(self.children[name].url + path)

    def restart(self, name: str) -> None:
        """Restarts a child process that has ended; waits until it answers."""
        self.children[name].start()
        self.wait_until_healthy(name)

    def wait_until_healthy(self, name: str) -> None:
        """Waits until ``/healthz`` of a child process answers 200.

        Raises:
            FleetError: The process ended or did not answer 200 in time.
        """
        self._wait_for_ok(name, "/healthz")

    def wait_until_ready(self, name: str) -> None:
        """Waits until ``/readyz`` of a child process answers 200.

        Raises:
            FleetError: The process ended or did not answer 200 in time.
        """
        self._wait_for_ok(name, "/readyz")

    def apply(self, document: pathlib.Path, vm: int = 1) -> str:
        """Applies a configuration by the operators' command line.

        Returns once the configuration is in force on every VM.

        Args:
            document: The configuration document.
            vm: Number of the VM whose agent gets the request.

        Returns:
            The standard output of the command.

        Raises:
            FleetError: The command failed.
        """
        agent = self.children[f"vm-{vm}/agent"]
        command = [
            sys.executable, "-m", "mustardwood.cli.main", "apply",
            str(document), "--agent", agent.url, "--wait"
        ]
        result = subprocess.run(command,
                                capture_output=True,
                                text=True,
                                timeout=_APPLY_TIMEOUT_SECONDS,
                                check=False)
        if result.returncode:
            raise fleet_error.FleetError(
                f"mustardwood apply ended with code {result.returncode}: "
                f"{result.stdout}{result.stderr}",
                "Follow the remedy that it printed.")
        return result.stdout

    def stop(self) -> None:
        """Stops all child processes, the latest started first.

        All are sent SIGTERM before the first is waited for, so that they shut
        down at the same time.
        """
        for child in reversed(self.children.values()):
            if child.is_running:
                child.resume()
                child.terminate()
        for child in reversed(self.children.values()):
            child.stop(_STOP_TIMEOUT_SECONDS)
        self._network_lock.release()
        shutil.rmtree(self.folder)

    def _publish_vm_list(self) -> None:
        with self._publish_lock:
            records = msgspec.to_builtins(tuple(self._vm_records.values()))
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

    def _wait_for_ok(self, name: str, path: str) -> None:
        child = self.children[name]
        if http_calls.wait_for_status_ok(child.url + path,
                                         _START_TIMEOUT_SECONDS,
                                         lambda: child.is_running):
            return
        raise fleet_error.FleetError(
            f"{name} ended, or did not answer 200 to {path} in time; "
            f"its log ends with: {child.read_log_tail()}",
            "Correct the failure that the log shows.")
