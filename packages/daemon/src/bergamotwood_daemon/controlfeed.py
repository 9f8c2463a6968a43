"""Feed of applied control commands, through which instances follow the log."""

from collections import deque

from bergamotwood_core.control import ControlMachine
from bergamotwood_core.ids import LogIndex
from bergamotwood_daemon.wire import LogChange

MAX_KEPT_CHANGES = 1_024


class ControlFeed:
    """A control state machine that keeps its newest commands for instances that poll.

    Attributes
    ----------
    machine : ControlMachine
        The state machine that the commands are applied to.
    applied : LogIndex
        Highest index applied; it never decreases.
    """

    def __init__(self, machine: ControlMachine) -> None:
        self.machine = machine
        self.applied = LogIndex(0)
        self._changes: deque[LogChange] = deque(maxlen=MAX_KEPT_CHANGES)
        self._compacted_index = LogIndex(0)

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply a command and keep it for instances that poll."""
        answer = self.machine.apply(index, command)
        if len(self._changes) == MAX_KEPT_CHANGES:
            self._compacted_index = self._changes[0].index
        self._changes.append(LogChange(index, command))
        self.applied = index
        return answer

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        return self.machine.snapshot()

    def restore(self, snapshot: bytes) -> None:
        """Replace the state and discard the commands kept so far."""
        self.machine.restore(snapshot)
        self._changes.clear()
        self.applied = self.machine.tables.index
        self._compacted_index = self.applied

    def list_changes(self, after: LogIndex) -> tuple[LogChange, ...] | None:
        """Return the commands after an index, or None if some are no longer kept."""
        if after < self._compacted_index:
            return None
        return tuple(change for change in self._changes if change.index > after)
