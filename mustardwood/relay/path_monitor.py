"""Whether this VM has lost its own path to the endpoints."""

import datetime

from mustardwood import timing

PROBE_INTERVAL = datetime.timedelta(milliseconds=500)
"""Minimum time between two series of probes."""
_MIN_FAILED_ADDRESSES = 2
"""Number of endpoints that can't be connected to when the path is lost.

A single one may have failed itself. If there is only one, it suffices.
"""
_FAILURE_LIFETIME = datetime.timedelta(seconds=3)
"""Time for which a failed connection counts, the longest avoid time."""
_SILENCE = datetime.timedelta(milliseconds=500)
"""Time without any data after which connections that are open may hang."""

Address = tuple[str, int]


class PathMonitor:
    """Tells the loss of a VM's own path from the failure of endpoints.

    An observer that sees only its own failures can't tell these apart, but it
    can compare targets: endpoints seldom fail all at once, and if they do, no
    path to them helps [1]_. So the path counts as lost while connections to
    several endpoints have failed and none has succeeded since. Open
    connections may live on meanwhile, so they are judged by the data that
    arrives on them.

    References:
        .. [1] P. Huang et al., "Gray failure: the Achilles' heel of cloud-scale
           systems", HotOS 2017.
    """

    def __init__(self, clock: timing.Clock) -> None:
        """Creates a monitor of a path that is not lost.

        Args:
            clock: Source of the monotonic time.
        """
        self._clock = clock
        self._failures: dict[Address, datetime.timedelta] = {}
        self._unanswered: dict[Address, datetime.timedelta] = {}
        self._data_at: datetime.timedelta | None = None
        self._probed_at: datetime.timedelta | None = None
        self._is_lost = False

    @property
    def is_lost(self) -> bool:
        """Whether new connections can't be opened directly."""
        return self._is_lost

    @property
    def is_silent(self) -> bool:
        """Whether open connections probably hang."""
        return (self._data_at is None or
                self._clock.monotonic() - self._data_at >= _SILENCE)

    def record_connection(self) -> None:
        """Records that a direct connection was opened."""
        self._failures.clear()
        self._unanswered.clear()
        self._is_lost = False

    def record_failure(self, address: Address, endpoint_count: int) -> None:
        """Records that a direct connection could not be opened.

        Args:
            address: Address of the endpoint.
            endpoint_count: Number of known endpoints, of all services.
        """
        now = self._clock.monotonic()
        self._failures[address] = now
        if not self._is_lost:
            oldest = now - _FAILURE_LIFETIME
            self._failures = {
                each: failed_at
                for each, failed_at in self._failures.items()
                if failed_at >= oldest
            }
            self._is_lost = len(self._failures) >= min(_MIN_FAILED_ADDRESSES,
                                                       max(1, endpoint_count))

    def record_write(self, address: Address) -> None:
        """Records that a request was written on a direct connection."""
        self._unanswered.setdefault(address, self._clock.monotonic())

    def record_data(self) -> None:
        """Records that data has arrived on a direct connection."""
        self._data_at = self._clock.monotonic()
        self._unanswered.clear()

    def take_probe(self) -> bool:
        """Returns whether to probe the path now.

        It is probed while it is lost, after a failed connection, and if
        several endpoints have not answered for a time.
        """
        now = self._clock.monotonic()
        if (self._probed_at is not None and
                now - self._probed_at < PROBE_INTERVAL):
            return False
        oldest = now - _SILENCE
        silent = sum(each <= oldest for each in self._unanswered.values())
        if (self._is_lost or self._failures or silent >= _MIN_FAILED_ADDRESSES):
            self._probed_at = now
            return True
        return False

    @property
    def needs_probes(self) -> bool:
        """Whether a probe may become due."""
        return bool(self._is_lost or self._failures or self._unanswered)
