"""One child process."""

import pathlib
import signal
import subprocess
import sys

_LOG_TAIL = 4000
"""Bytes of a log that a message shows."""


class ChildProcess:
    """Runs a Python module, and is signalled by its process id.

    Args:
        name: Name among the children.
        module: Module to run.
        arguments: Its command line.
        log_path: File that takes its output; appended to.
        url: Base URL of its HTTP.

    Attributes:
        name: Name among the children.
        url: Base URL of its HTTP.
        log_path: File that takes its output.
    """

    def __init__(self, name: str, module: str, arguments: tuple[str, ...],
                 log_path: pathlib.Path, url: str) -> None:
        self.name = name
        self.url = url
        self.log_path = log_path
        self._command = [sys.executable, "-m", module, *arguments]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._running.pid

    @property
    def is_running(self) -> bool:
        """Whether it was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def _running(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise RuntimeError(f"{self.name} was not started")
        return self._process

    def start(self) -> None:
        """Starts it, also again after its end."""
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(  # pylint: disable=consider-using-with
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log)

    def kill(self) -> None:
        """Ends it at once (SIGKILL)."""
        self._running.kill()
        self._running.wait()

    def freeze(self) -> None:
        """Stops its execution (SIGSTOP)."""
        self._running.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it go on (SIGCONT)."""
        self._running.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks for a planned stop (SIGTERM), and returns at once."""
        self._running.terminate()

    def wait(self, seconds: float) -> int:
        """Waits for its end.

        Args:
            seconds: Bound on the wait.

        Returns:
            The exit code; negative for a signal.

        Raises:
            subprocess.TimeoutExpired: It has not ended by then.
        """
        return self._running.wait(seconds)

    def stop(self, seconds: float) -> None:
        """Ends it: SIGTERM, and SIGKILL when it has not ended in time."""
        if not self.is_running:
            return
        self.resume()
        self.terminate()
        try:
            self.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()

    def read_log(self) -> str:
        """Returns what it has written."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def read_log_tail(self) -> str:
        """Returns the end of what it has written."""
        return self.read_log()[-_LOG_TAIL:]
