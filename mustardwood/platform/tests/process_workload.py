"""A workload for real processes: callers, and changes that disturb them."""

import random
import threading
import time

from mustardwood.platform.tests import documents
from mustardwood.platform.tests import fake_servers
from mustardwood.platform.tests import process_fleet

_SERVICES = ("api", "engine")
_ENDPOINTS_PER_SERVICE = 3
_CALLERS = 18
_CALLER_PAUSE_SECONDS = 0.1
_MAX_CALLER_PAUSE_SECONDS = 0.5
_IDLE_TIMEOUTS_MS = (1000, 5000, 15000)
"""The shortest is twice the maximum pause of callers."""
_MAX_CALLS_PER_CONNECTION = 20
_REQUEST_KINDS = (("/post/{}", "key-1", 200), ("/open/{}", "key-1", 200),
                  ("/stream/12/{}", "key-3", 200), ("/stream/2/1200", "key-3",
                                                    200),
                  ("/post/0", "no key", 401), ("/none/0", "key-1", 404))


class Workload:
    """Callers use VMs while endpoints leave, VMs restart and watches are cut.

    The seed decides all draws; the interleaving of threads differs.

    Attributes:
        outcomes: The outcomes of all requests.
        unexpected: Outcomes with another status than expected.
        left_at: Each endpoint that has left, with the time of the store's
            acknowledgement.
    """

    def __init__(self, folder, seed, vm_count=3):
        self._rng = random.Random(seed)
        self.store = fake_servers.FakeStore()
        self._document = documents.make_document()
        self._document["routes"][1]["backends"] = [{
            "service": "api",
            "weight": 1
        }]
        self._is_stopped = threading.Event()
        self._endpoints = []
        self.outcomes = []
        self.unexpected = []
        self.left_at = []
        self._put_configuration(_IDLE_TIMEOUTS_MS[-1])
        for _ in range(_ENDPOINTS_PER_SERVICE):
            for service in _SERVICES:
                self._add_endpoint(service)
        self.vms = [
            process_fleet.Vm(folder, f"vm-{index}", self.store)
            for index in range(vm_count)
        ]

    def run(self, seconds):
        """Runs the workload."""
        tasks = [self._cut_watches, self._change_configuration]
        tasks += [lambda: self._replace_endpoints("api")]
        tasks += [lambda: self._replace_endpoints("engine")]
        tasks += [self._restart_vms, self._reload_settings]
        tasks += [
            lambda index=index: self._call(f"caller-{index}")
            for index in range(_CALLERS)
        ]
        errors = []
        threads = [
            threading.Thread(target=_run_task, args=(each, errors))
            for each in tasks
        ]
        try:
            for vm in self.vms:
                vm.start()
            for thread in threads:
                thread.start()
            time.sleep(seconds)
        finally:
            self._is_stopped.set()
            for thread in threads:
                if thread.ident is not None:
                    thread.join()
            for vm in self.vms:
                vm.kill()
        assert not errors

    def find_lost_requests(self):
        """See `process_fleet.find_lost_requests`."""
        return process_fleet.find_lost_requests(
            self.outcomes, [endpoint for _, endpoint in self._endpoints])

    def find_late_arrivals(self):
        """Returns the late arrivals at all endpoints that have left."""
        late = {}
        for endpoint, left_at in self.left_at:
            late.update(process_fleet.find_late_arrivals(endpoint, left_at))
        return late

    def _make_rng(self):
        return random.Random(self._rng.random())

    def _put_configuration(self, idle_timeout_ms):
        self._document["version"] += 1
        self._document["limits"]["idle_timeout_ms"] = idle_timeout_ms
        self.store.put("op/config", self._document)

    def _change_configuration(self):
        rng = self._make_rng()
        while not self._is_stopped.wait(rng.uniform(0.3, 1.5)):
            self._put_configuration(rng.choice(_IDLE_TIMEOUTS_MS))

    def _cut_watches(self):
        rng = self._make_rng()
        while not self._is_stopped.wait(rng.uniform(0.2, 2.0)):
            self.store.cut_watches()

    def _reload_settings(self):
        rng = self._make_rng()
        while not self._is_stopped.wait(rng.uniform(0.5, 2.0)):
            vm = rng.choice(self.vms)
            if vm.is_in_service:
                vm.reload()

    def _restart_vms(self):
        rng = self._make_rng()
        while not self._is_stopped.wait(rng.uniform(0.2, 1.0)):
            rng.choice(self.vms).restart()

    def _add_endpoint(self, service):
        endpoint = fake_servers.FakeEndpoint()
        name = f"i-{len(self._endpoints)}"
        self._endpoints.append((name, endpoint))
        self.store.put(
            f"servers/{name}",
            documents.make_registration(service=service,
                                        slots=64,
                                        address=endpoint.address))
        return name, endpoint

    def _replace_endpoints(self, service):
        rng = self._make_rng()
        name, endpoint = self._add_endpoint(service)
        while not self._is_stopped.wait(rng.uniform(0.5, 2.5)):
            successor = self._add_endpoint(service)
            if rng.random() < 0.5:
                left_at = time.monotonic()
                self.store.put(
                    f"servers/{name}",
                    documents.make_registration(service=service,
                                                slots=64,
                                                state="draining",
                                                address=endpoint.address))
                self._is_stopped.wait(process_fleet.DRAIN_SECONDS)
                self.store.remove(f"servers/{name}")
            else:
                left_at = self.store.remove(f"servers/{name}")
            self.left_at.append((endpoint, left_at))
            name, endpoint = successor

    def _call(self, name):
        rng = self._make_rng()
        count = 0
        while not self._is_stopped.is_set():
            vms = [each for each in self.vms if each.is_in_service]
            count += 1
            try:
                caller = process_fleet.Caller(rng.choice(vms),
                                              f"{name}-{count}")
            except OSError:
                continue
            for _ in range(rng.randrange(1, _MAX_CALLS_PER_CONNECTION)):
                pause_seconds = rng.expovariate(1 / _CALLER_PAUSE_SECONDS)
                self._is_stopped.wait(
                    min(pause_seconds, _MAX_CALLER_PAUSE_SECONDS))
                path, key, status = rng.choice(_REQUEST_KINDS)
                outcome = caller.call(path.format(rng.randrange(100)), key)
                self.outcomes.append(outcome)
                if outcome.status != status:
                    self.unexpected.append(outcome)
                if not caller.may_reuse:
                    break
            caller.close()


def _run_task(task, errors):
    try:
        task()
    except Exception as error:  # pylint: disable=broad-exception-caught
        errors.append(error)
