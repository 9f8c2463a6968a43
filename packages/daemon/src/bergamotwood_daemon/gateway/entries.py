"""Entries that report to the control group."""

from collections.abc import Callable

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import InstanceId
from bergamotwood_daemon.gateway.peering import EntryStatus

# An entry reports at least each half second; callers should not be sent to one
# that has missed two reports.
SILENCE_SECONDS = 1.5


class EntryTable:
    """Newest status of each entry.

    Attributes
    ----------
    version : int
        Rises when an entry comes, goes or changes its readiness.
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self.version = 0
        self._clock = clock
        self._statuses: dict[InstanceId, EntryStatus] = {}
        self._heard: dict[InstanceId, Seconds] = {}

    def take(self, status: EntryStatus) -> bool:
        """Take in a status; return whether it is the newest."""
        held = self._statuses.get(status.instance)
        if held is not None and _order(held) >= _order(status):
            return False
        self._statuses[status.instance] = status
        self._heard[status.instance] = self._clock()
        if held is None or held.is_ready != status.is_ready:
            self.version += 1
        return True

    def expire(self) -> None:
        """Forget entries that do not report."""
        limit = self._clock() - SILENCE_SECONDS
        for instance in [key for key, at in self._heard.items() if at < limit]:
            del self._statuses[instance]
            del self._heard[instance]
            self.version += 1

    def list_live(self) -> tuple[EntryStatus, ...]:
        """Return the newest status of each live entry."""
        return tuple(self._statuses.values())


def _order(status: EntryStatus) -> tuple[int, int]:
    return status.incarnation, status.sequence
