"""Thread that writes a log group's files, and retries while the disk fails."""

from collections.abc import Callable

from gevent import sleep
from gevent.threadpool import ThreadPool

from bergamotwood_core.clock import Seconds
from bergamotwood_daemon.log import log_event

# Pause between attempts to write to a failing disk, for instance a full one. Far
# shorter than an election timeout, so that the replica resumes soon after recovery.
DISK_RETRY_SECONDS = 0.1


class DiskThread:
    """Runs disk operations of one log group, one at a time.

    Parameters
    ----------
    name : str
        Name of the group, for log lines.
    clock : callable
        Returns the current time.
    is_running : callable
        Whether the group still runs; a failed write is not repeated after it stops.
    """

    def __init__(
        self,
        name: str,
        clock: Callable[[], Seconds],
        is_running: Callable[[], bool],
    ) -> None:
        self._name = name
        self._clock = clock
        self._is_running = is_running
        # Its own thread, since calls to unresponsive peers can exhaust the hub's pool.
        self._pool = ThreadPool(1)

    def stop(self) -> None:
        """Stop the thread."""
        self._pool.kill()

    def run(self, function: Callable, *arguments: object) -> object:
        """Run a function on the thread and return its result."""
        return self._pool.apply(function, arguments)

    def retry(self, function: Callable, *arguments: object) -> None:
        """Repeat a disk write until it succeeds, as if the disk were only slow.

        Meanwhile the replica sends nothing, so that the others continue without it.
        """
        failed_at: Seconds | None = None
        while True:
            try:
                self.run(function, *arguments)
                break
            except OSError as error:
                if not self._is_running():
                    raise
                if failed_at is None:
                    failed_at = self._clock()
                    log_event(
                        self._name, "Disk write failed; retrying.", reason=str(error)
                    )
                sleep(DISK_RETRY_SECONDS)
        if failed_at is not None:
            seconds = round(self._clock() - failed_at, 2)
            log_event(self._name, "Disk writes succeed again.", seconds=seconds)
