"""One process of a local fleet."""

from collections.abc import Callable
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM

from gevent.subprocess import Popen, TimeoutExpired
from msgspec import Struct, field

from bergamotwood_core.messages import Address
from bergamotwood_fakes.record import read_clock

STOP_TIMEOUT_SECONDS = 40.0


class ManagedProcess(Struct):
    """A process that can be started, stopped and hurt by its name.

    Parameters
    ----------
    name : str
        In the fleet.
    address : Address
        Where it listens.
    public : Address
        Where others reach it, which may lead through the proxy.
    start : callable
        Starts its process.
    records : Path or None
        Records of its runs.
    data_folder : Path or None
        Its disk.
    process : Popen or None
        The process that runs now.
    left_at : list of float
        When it was told to stop, each time.
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
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def launch(self) -> None:
        """Start the process unless it runs."""
        if not self.running:
            self.process = self.start()

    def kill(self) -> None:
        """End the process at once."""
        if self.running:
            self.process.send_signal(SIGKILL)
            self.process.wait()

    def terminate(self) -> None:
        """Send the process the signal of a graceful shutdown."""
        self.left_at.append(read_clock())
        self.process.send_signal(SIGTERM)

    def wait(self, seconds: float = STOP_TIMEOUT_SECONDS) -> int | None:
        """Wait for the end of the process.

        Returns
        -------
        int or None
            Its exit code, None when it has not ended in time.
        """
        try:
            return self.process.wait(timeout=seconds)
        except TimeoutExpired:
            return None

    def pause(self) -> None:
        """Stop the process where it stands."""
        self.process.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.process.send_signal(SIGCONT)
