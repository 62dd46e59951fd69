"""Exclusive use of a loopback network by one fleet of this machine."""

import datetime
import fcntl
import pathlib
import tempfile
import time

from mustardwood.standins.fleet import fleet_error

_POLL_SECONDS = 0.1


class NetworkLock:
    """Locks a file that stands for a loopback network.

    The system releases the lock when the process ends, however it ends.

    Args:
        network: First three numbers of the addresses, in 127.0.0.0/8.
        folder: Folder of the file; the system's temporary folder by default.
    """

    def __init__(self,
                 network: str,
                 folder: pathlib.Path | None = None) -> None:
        self._network = network
        self._path = (folder or pathlib.Path(
            tempfile.gettempdir())) / f"mustardwood-{network}.lock"
        # The file is kept, since another process may wait for it.
        self._file = self._path.open("ab")

    def acquire(self, timeout: datetime.timedelta) -> None:
        """Waits until no other fleet uses the network.

        Args:
            timeout: Time after which to give up.

        Raises:
            FleetError: Another fleet still used the network at the timeout.
        """
        until = time.monotonic() + timeout.total_seconds()
        while not self._try_acquire():
            if time.monotonic() >= until:
                self._file.close()
                raise fleet_error.FleetError(
                    f"another fleet uses the network {self._network}.0/24",
                    "Stop that fleet, or choose another network.")
            time.sleep(_POLL_SECONDS)

    def release(self) -> None:
        """Lets other fleets use the network."""
        self._file.close()

    def _try_acquire(self) -> bool:
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True
