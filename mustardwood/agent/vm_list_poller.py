"""Polling of the platform's list of VMs."""

import collections.abc
import datetime

from mustardwood import errors
from mustardwood import runtime
from mustardwood import timing
from mustardwood import vmlist
from mustardwood.agent import backoff as backoff_module
from mustardwood.agent import sleeper as sleeper_module

WATCHER_POLL_INTERVAL = datetime.timedelta(seconds=2)
"""Interval between polls on a watcher."""

FALLBACK_POLL_INTERVAL = datetime.timedelta(seconds=30)
"""Interval between polls on an agent that is not a watcher."""

_ROLE_CHECK_INTERVAL = datetime.timedelta(seconds=1)
_log = runtime.make_logger("vmlist")


class VmListPoller:
    """Polls the list frequently on a watcher and rarely on other agents.

    Args:
        vm_list: The platform's list of VMs.
        clock: Source of monotonic time.
        sleeper: Waits between polls.
        backoff: Delays between retries.
        is_watcher: Returns whether this agent watches the platform.
        on_list: Called with each list.
    """

    def __init__(
        self, vm_list: vmlist.VmList, clock: timing.Clock,
        sleeper: sleeper_module.Sleeper, backoff: backoff_module.Backoff,
        is_watcher: collections.abc.Callable[[], bool],
        on_list: collections.abc.Callable[[tuple[vmlist.VmRecord, ...]], None]
    ) -> None:
        self._vm_list = vm_list
        self._clock = clock
        self._sleeper = sleeper
        self._backoff = backoff
        self._is_watcher = is_watcher
        self._on_list = on_list
        self._stopped = False

    def stop(self) -> None:
        """Makes `run` return after its current wait."""
        self._stopped = True

    async def run(self) -> None:
        """Polls the list until `stop` is called."""
        while not self._stopped:
            started_at = self._clock.monotonic()
            try:
                self._on_list(await self._vm_list.fetch())
                self._backoff.reset()
            except errors.MustardwoodError as error:
                _log.warning("%s", error)
                await self._sleeper.sleep(self._backoff.next_delay())
                continue
            await self._wait_for_next_poll(started_at)

    async def _wait_for_next_poll(self, started_at: datetime.timedelta) -> None:
        while not self._stopped:
            period = (WATCHER_POLL_INTERVAL
                      if self._is_watcher() else FALLBACK_POLL_INTERVAL)
            remaining = started_at + period - self._clock.monotonic()
            if remaining <= datetime.timedelta():
                return
            await self._sleeper.sleep(min(remaining, _ROLE_CHECK_INTERVAL))
