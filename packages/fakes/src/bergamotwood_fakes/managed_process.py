"""Control of one process of a local fleet."""

from collections.abc import Callable
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM

from gevent.subprocess import Popen, TimeoutExpired
from msgspec import Struct, field

from bergamotwood_core.messages import Address
from bergamotwood_fakes.record import read_clock

STOP_TIMEOUT_SECONDS = 40.0


class ManagedProcess(Struct):
    """A process of a fleet that can be started, paused, resumed and stopped.

    Parameters
    ----------
    name : str
        Name in the fleet.
    address : Address
        Address on which it listens.
    public : Address
        Address at which other processes reach it, possibly through the proxy.
    start : callable
        Starts the process.
    records : Path or None
        File with the records of its runs, for an endpoint.
    data_folder : Path or None
        Folder of its stored data, for a control replica.
    process : Popen or None
        The child process that was started last.
    left_at : list of float
        Times of its graceful shutdowns, in seconds since boot.
    """

    name: str
    address: Address
    public: Address
    start: Callable[[], Popen]
    records: Path | None = None
    data_folder: Path | None = None
    process: Popen | None = None
    left_at: list[float] = field(default_factory=list)

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def launch(self) -> None:
        """Start the process unless it is running."""
        if not self.running:
            self.process = self.start()

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self.running:
            self.process.send_signal(SIGKILL)
            self.process.wait()

    def terminate(self) -> None:
        """Send SIGTERM, which starts a graceful shutdown."""
        self.left_at.append(read_clock())
        self.process.send_signal(SIGTERM)

    def wait(self, seconds: float = STOP_TIMEOUT_SECONDS) -> int | None:
        """Wait until the process exits.

        Returns
        -------
        int or None
            Its exit code, None when it did not exit in time.
        """
        try:
            return self.process.wait(timeout=seconds)
        except TimeoutExpired:
            return None

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.process.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Resume the paused process with SIGCONT."""
        self.process.send_signal(SIGCONT)
