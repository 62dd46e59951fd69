"""A small fleet with one model, for tests with real processes."""

import collections.abc
import contextlib
import pathlib

import msgspec

from mustardwood import cells
from mustardwood import configuration
from mustardwood import messages
from mustardwood import vmlist
from mustardwood.standins import fleet as fleet_package
from mustardwood.tests import traffic

_KEY_HASH = ("19e9ece4e46623c9aa7870a35b5bf0529c00c8fcab6ca4331c49810d"
             "21975043")
_TOKEN_SECONDS = "0.01"
"""Time that an engine takes for each token."""


def make_document(
    network: str,
    engines: int,
    concurrency: int = 4,
    leaving: tuple[int, ...] = ()) -> configuration.Document:
    """Returns a configuration with one model.

    Engine 1 is the endpoint ``small-1`` on the VM ``endpoint-1``, and so on.

    Args:
        network: Network of the fleet.
        engines: Number of engines.
        concurrency: Maximum number of concurrent requests on each endpoint.
        leaving: Numbers of the engines whose endpoints are leaving.
    """
    state = configuration.EndpointState
    return configuration.Document(
        classes=(configuration.RequestClass("question",
                                            0,
                                            2.0,
                                            expected_output_tokens=32),
                 configuration.RequestClass("batch",
                                            5,
                                            30.0,
                                            expected_output_tokens=32)),
        default_class="question",
        organisations=(configuration.Organisation("tatra",
                                                  key_hashes=(_KEY_HASH,)),),
        models=(configuration.Model(traffic.MODEL),),
        endpoints=tuple(
            configuration.Endpoint(f"small-{number}",
                                   traffic.MODEL,
                                   f"http://{network}.{10 + number}:8000",
                                   "zone-a",
                                   "region-a",
                                   vm=f"endpoint-{number}",
                                   concurrency=concurrency,
                                   state=state.LEAVING if number in
                                   leaving else state.ACTIVE)
            for number in range(1, engines + 1)))


def apply_document(fleet: fleet_package.Fleet,
                   document: configuration.Document) -> None:
    """Applies a configuration to a fleet."""
    path = pathlib.Path(fleet.folder) / "configuration.json"
    path.write_bytes(msgspec.json.encode(document))
    fleet.apply(path)


@contextlib.contextmanager
def run_fleet(
        network: str,
        vms: int = 2,
        engines: int = 3,
        concurrency: int = 4) -> collections.abc.Iterator[fleet_package.Fleet]:
    """Runs a fleet with an applied configuration, with all VMs ready."""
    with fleet_package.Fleet(network) as fleet:
        fleet.start_platform()
        for number in range(1, engines + 1):
            fleet.start_engine(number, traffic.MODEL, "--base-step-seconds",
                               _TOKEN_SECONDS)
        for number in range(1, vms + 1):
            fleet.start_vm(number, "zone-a")
        apply_document(fleet, make_document(network, engines, concurrency))
        for name in fleet.children:
            if name.startswith("vm-"):
                fleet.wait_until_ready(name)
        yield fleet


def list_urls(fleet: fleet_package.Fleet, vms: int = 2) -> list[str]:
    """Returns the URLs for callers of the first VMs."""
    return [fleet.find_callers_url(number) for number in range(1, vms + 1)]


def read_log(fleet: fleet_package.Fleet,
             engines: int = 3) -> list[dict[str, str]]:
    """Returns the log entries of all engines, with the engine's name added."""
    return [{
        **entry, "engine": f"engine-{number}"
    }
            for number in range(1, engines + 1)
            for entry in fleet.read_json(f"engine-{number}", "/log")]


def find_cell_owner(vms: int = 2) -> int:
    """Returns the number of the VM that owns the cell."""
    members = tuple(
        messages.Member(f"vm-{number}", "", "zone-a", "region-a",
                        messages.MemberState.ALIVE)
        for number in range(1, vms + 1))
    first = cells.rank_owners(f"{traffic.MODEL}/region-a/0", "region-a",
                              members)[0]
    return int(first.vm.removeprefix("vm-"))


def mark_leaving(fleet: fleet_package.Fleet, number: int, vms: int) -> None:
    """Marks the VM of an engine as leaving in the platform's VM list only."""
    records = [
        vmlist.VmRecord(f"vm-{each}", fleet.addresses.find_vm(each), "zone-a",
                        "region-a") for each in range(1, vms + 1)
    ]
    records.append(
        vmlist.VmRecord(f"endpoint-{number}",
                        fleet.addresses.find_engine(number),
                        "zone-a",
                        "region-a",
                        kind="endpoint",
                        leaving=True))
    fleet.set_faults("platform", vms=msgspec.to_builtins(records))


def wait_for_other_owner(fleet: fleet_package.Fleet, owner: str) -> None:
    """Waits until the scheduler of another VM runs requests of the cell.

    Args:
        fleet: The fleet.
        owner: Name of the VM that owned the cell so far.
    """
    agent = next(name for name in fleet.children
                 if name.endswith("/agent") and not name.startswith(owner))

    def is_served() -> bool:
        status = fleet.read_json(agent, "/v1/status")
        return any(state["running"]
                   for cell in status["cells"]
                   for vm, state in cell["schedulers"].items()
                   if vm != owner)

    traffic.wait_until(is_served)
