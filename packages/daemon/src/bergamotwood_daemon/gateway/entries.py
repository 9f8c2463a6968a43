"""Table of the entries that report to the control group."""

from collections.abc import Callable

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.load import EndpointLoad, LoadSum
from bergamotwood_core.gateway.suspects import Crash, Success
from bergamotwood_core.ids import EndpointId, InstanceId, SessionId
from bergamotwood_daemon.gateway.peermessages import EntryAddress, EntryStatus

# Entries report at least every half second. One that has missed two reports is
# dropped, so that callers are no longer directed to it.
ENTRY_EXPIRY_SECONDS = 1.5


class EntryTable:
    """Newest status of each live entry.

    Attributes
    ----------
    version : int
        Increases when an entry joins, expires or changes its readiness.
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self.version = 0
        self._clock = clock
        self._statuses: dict[InstanceId, EntryStatus] = {}
        self._received_at: dict[InstanceId, Seconds] = {}
        self._loads = LoadSum()

    def update(self, status: EntryStatus) -> bool:
        """Store a status; return whether it is newer than the stored one."""
        instance = status.entry.instance
        previous = self._statuses.get(instance)
        if previous is not None and _make_order_key(previous) >= _make_order_key(
            status
        ):
            return False
        if previous is not None:
            self._loads.subtract(previous.loads)
        self._loads.add(status.loads)
        self._statuses[instance] = status
        self._received_at[instance] = self._clock()
        if previous is None or previous.entry.is_ready != status.entry.is_ready:
            self.version += 1
        return True

    def expire(self) -> None:
        """Remove entries that have stopped reporting."""
        cutoff = self._clock() - ENTRY_EXPIRY_SECONDS
        for instance in [
            key
            for key, received_at in self._received_at.items()
            if received_at < cutoff
        ]:
            self._loads.subtract(self._statuses.pop(instance).loads)
            del self._received_at[instance]
            self.version += 1

    def list_live(self) -> tuple[EntryStatus, ...]:
        """Return the newest status of each live entry."""
        return tuple(self._statuses.values())

    def list_addresses(self) -> tuple[EntryAddress, ...]:
        """Return the addresses of the live entries for callers."""
        return tuple(status.entry for status in self._statuses.values())

    def list_loads(self, instance: InstanceId) -> dict[EndpointId, EndpointLoad]:
        """Return the load that all entries except `instance` put on each endpoint."""
        own_status = self._statuses.get(instance)
        return self._loads.list_without(own_status.loads if own_status else {})

    def list_crashes(self, instance: InstanceId) -> tuple[Crash, ...]:
        """Return the crashes that all entries except `instance` report."""
        return tuple(
            crash
            for status in self._statuses.values()
            if status.entry.instance != instance
            for crash in status.crashes
        )

    def list_successes(self, instance: InstanceId) -> tuple[Success, ...]:
        """Return the successes that all entries except `instance` report."""
        return tuple(
            success
            for status in self._statuses.values()
            if status.entry.instance != instance
            for success in status.successes
        )

    def list_open_sessions(self) -> tuple[SessionId, ...]:
        """Return the open sessions of all entries without duplicates."""
        sessions = [
            session
            for status in self._statuses.values()
            for session in status.open_sessions
        ]
        return tuple(dict.fromkeys(sessions))


def _make_order_key(status: EntryStatus) -> tuple[int, int]:
    return status.incarnation, status.sequence
