"""A child process that tests can stop, kill and suspend."""

import pathlib
import signal
import subprocess
import sys

_LOG_TAIL_CHARACTERS = 4000
"""Length of the end of a log that an error message shows."""


class ChildProcess:
    """Runs a Python module as a child process and sends signals to it.

    Args:
        name: Name of the process in its fleet.
        module: Module to run.
        arguments: Command-line arguments of the module.
        log_path: File to which its standard output and error are appended.
        url: Base URL of its HTTP interface.

    Attributes:
        name: Name of the process in its fleet.
        url: Base URL of its HTTP interface.
        log_path: File to which its output is appended.
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
        """Process id."""
        return self._started_process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def _started_process(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise RuntimeError(
                f"the child process {self.name} was not started; call start()")
        return self._process

    def start(self) -> None:
        """Starts the process, or starts it again after it has ended."""
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(  # pylint: disable=consider-using-with
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log)

    def kill(self) -> None:
        """Kills the process (SIGKILL) and waits until it has ended."""
        self._started_process.kill()
        self._started_process.wait()

    def freeze(self) -> None:
        """Suspends the process (SIGSTOP)."""
        self._started_process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes the suspended process (SIGCONT)."""
        self._started_process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Requests a graceful shutdown (SIGTERM) without waiting for it."""
        self._started_process.terminate()

    def wait(self, seconds: float) -> int:
        """Waits until the process has ended.

        Args:
            seconds: Timeout in seconds.

        Returns:
            The exit code; the negative signal number if a signal ended it.

        Raises:
            subprocess.TimeoutExpired: The process was still running at the
                timeout.
        """
        return self._started_process.wait(seconds)

    def stop(self, seconds: float) -> None:
        """Stops the process by SIGTERM, and by SIGKILL after a timeout.

        A suspended process is resumed first, because it can't handle SIGTERM.

        Args:
            seconds: Time for the graceful shutdown, in seconds.
        """
        if not self.is_running:
            return
        self.resume()
        self.terminate()
        try:
            self.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()

    def read_log(self) -> str:
        """Returns all output of the process so far."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def read_log_tail(self) -> str:
        """Returns the last part of the output, for an error message."""
        return self.read_log()[-_LOG_TAIL_CHARACTERS:]
