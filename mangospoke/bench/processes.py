"""Child processes of a local fleet's supervisor."""

import ctypes
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import trio

_PR_SET_PDEATHSIG = 1
_POLL_SECONDS = 0.01
_KILL_SECONDS = 5.0

_LIBC = ctypes.CDLL(None)


class ManagedProcess:
    """A Python program that ends with its supervisor at the latest.

    It must be started from the main thread: the kernel ends a child when the thread
    that started it ends.

    Attributes:
        name: Shown in errors and used for the log file.
        log_path: Where its output is appended, over all its lives.
    """

    def __init__(self, name: str, arguments: Sequence[str], directory: Path) -> None:
        self.name = name
        self.log_path = directory / f"{name}.log"
        self._arguments = [sys.executable, *arguments]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id of the current or last life."""
        return self._started().pid

    @property
    def is_running(self) -> bool:
        """Whether it has been started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Exit status of the last life; negative for a signal, None while it runs."""
        return self._started().poll()

    def start(self) -> None:
        """Starts a life."""
        if self.is_running:
            raise RuntimeError(f"{self.name} runs already")
        parent = os.getpid()

        def end_with_parent() -> None:
            _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
            if os.getppid() != parent:
                os._exit(1)

        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
                preexec_fn=end_with_parent,
            )

    def terminate(self) -> None:
        """Asks it to stop."""
        self._started().send_signal(signal.SIGTERM)

    def hang_up(self) -> None:
        """Sends it the signal of a closed terminal, which some take as a reload."""
        self._started().send_signal(signal.SIGHUP)

    def kill(self) -> None:
        """Ends it at once."""
        self._started().send_signal(signal.SIGKILL)

    def kill_and_reap(self) -> None:
        """Ends it at once, if it runs, and waits for its end without yielding."""
        if self.is_running:
            self.kill()
            self._started().wait(_KILL_SECONDS)

    def pause(self) -> None:
        """Stops it from running, without its knowledge."""
        self._started().send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it run again."""
        self._started().send_signal(signal.SIGCONT)

    async def wait(self) -> int:
        """Waits for its end and returns the exit status."""
        process = self._started()
        while process.poll() is None:  # noqa: ASYNC110 - a child sets no event.
            await trio.sleep(_POLL_SECONDS)
        return process.returncode

    async def stop(self, grace_seconds: float) -> None:
        """Asks it to stop, and ends it if it hasn't after some seconds."""
        if not self.is_running:
            return
        with trio.CancelScope(shield=True):
            self.resume()
            self.terminate()
            with trio.move_on_after(grace_seconds):
                await self.wait()
                return
            self.kill_and_reap()

    def log_tail(self, lines: int = 30) -> str:
        """Returns the last lines of its output."""
        if not self.log_path.exists():
            return ""
        content = self.log_path.read_text(errors="replace")
        return "\n".join(content.splitlines()[-lines:])

    def _started(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise RuntimeError(f"{self.name} has never been started")
        return self._process
