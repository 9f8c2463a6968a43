"""Feature levels of the instances that a replica knows, and raising of the group's."""

from collections.abc import Callable

from gevent import spawn
from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import ReplicationError
from bergamotwood_core.gateway.levels import (
    ENTRY_MEMORY_SECONDS,
    STATEMENT_SECONDS,
    FeatureLevel,
    StatementTable,
    find_supported_level,
)
from bergamotwood_core.gateway.state_machine import (
    GatewayStateMachine,
    RaiseLevel,
    encode_command,
)
from bergamotwood_core.ids import Incarnation, InstanceId, Term
from bergamotwood_core.progress import NEVER
from bergamotwood_daemon.gateway.entries import EntryTable
from bergamotwood_daemon.gateway.peermessages import EntryStatus, ReplicaSummary
from bergamotwood_daemon.group import LogGroup
from bergamotwood_daemon.levellog import log_too_old
from bergamotwood_daemon.log import log_event

RAISE_TIMEOUT_SECONDS = 2.0
# Refused runs of entries that are remembered, so that each is logged once.
MAX_REFUSED_ENTRIES = 1_024
NO_TERM = Term(-1)


class LevelController:
    """Collects the levels that instances state; raises the group's while it leads.

    Parameters
    ----------
    instance : InstanceId
        This replica.
    group : LogGroup
        The replica's part of the control group.
    machine : GatewayStateMachine
        The replica's state machine.
    entries : EntryTable
        The replica's table of entries.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        instance: InstanceId,
        group: LogGroup,
        machine: GatewayStateMachine,
        entries: EntryTable,
        clock: Callable[[], Seconds],
    ) -> None:
        self._instance = instance
        self._group = group
        self._machine = machine
        self._entries = entries
        self._clock = clock
        self._statements = StatementTable()
        self._applied_level = FeatureLevel.BASE
        self._led_term = NO_TERM
        self._led_since = NEVER
        self._proposed_term = NO_TERM
        self._is_raising = False
        self._logged_hold: tuple[list[InstanceId], int] | None = None
        self._refused_entries: dict[InstanceId, Incarnation] = {}

    def start(self) -> None:
        """Begin to collect the levels of entries, after the group has started."""
        now = self._clock()
        self._entries.levels.complete_from = Seconds(now + ENTRY_MEMORY_SECONDS)
        self._applied_level = self._machine.state.level
        self._group.level = self._machine.state.level

    def complete_summary(self, summary: ReplicaSummary) -> ReplicaSummary:
        """Return a summary of this replica with the levels that it states."""
        return replace(
            summary,
            level=self._machine.own_level,
            lowest_level=self._find_lowest_own_entry(),
        )

    def record_summary(self, summary: ReplicaSummary) -> None:
        """Store the level that another replica states."""
        self._statements.record(
            summary.replica, summary.boot, summary.level, self._clock()
        )

    def refuses_entry(self, status: EntryStatus) -> bool:
        """Whether the build of an entry is below the group's level; logs it once."""
        group_level = self._machine.state.level
        if status.level >= group_level:
            return False
        instance = status.entry.instance
        if self._refused_entries.get(instance) != status.incarnation:
            if len(self._refused_entries) >= MAX_REFUSED_ENTRIES:
                self._refused_entries.clear()
            self._refused_entries[instance] = status.incarnation
            reason = "the entry gets no state"
            log_too_old("control", instance, status.level, group_level, reason)
        return True

    def handle_applied(self) -> None:
        """Note the group's level after entries or a snapshot were applied."""
        level = self._machine.state.level
        self._group.level = level
        if level > self._applied_level:
            log_event(
                "control",
                "Level raised.",
                level=level,
                previous=int(self._applied_level),
                index=self._group.applied,
            )
            self._applied_level = level

    def observe(self) -> None:
        """Raise the level if this replica leads and all support a higher one."""
        if self._group.has_formed_group:
            # No entry was served before this run, so none can be unknown.
            self._entries.levels.complete_from = NEVER
        if not self._group.is_leader:
            return
        if self._group.term != self._led_term:
            # Statements from before the election may have been delayed.
            self._statements.clear()
            self._led_term = self._group.term
            self._led_since = self._clock()
        if self._machine.own_level <= self._machine.state.level:
            return
        if self._can_raise_to(self._find_supported()):
            if not self._is_raising:
                self._is_raising = True
                spawn(self._raise_level)
        elif self._clock() - self._led_since > STATEMENT_SECONDS:
            self._log_hold()

    def list_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges for metrics."""
        members = [self._machine.own_level, *self._find_members().values()]
        return {
            "own_level": int(self._machine.own_level),
            "group_level": int(self._machine.state.level),
            "lowest_member_level": int(min(level or 0 for level in members)),
            "lowest_entry_level": int(min(self._list_entries())),
        }

    def _can_raise_to(self, level: int) -> bool:
        is_higher = level > self._machine.state.level
        return is_higher and self._group.holds_lease(self._clock())

    def _raise_level(self) -> None:
        try:
            level = self._find_supported()
            self._group.reserve_level(level)
            # A member or an entry may have come meanwhile.
            if not self._can_raise_to(level) or self._find_supported() < level:
                if self._proposed_term != self._group.term:
                    self._group.reserve_level(FeatureLevel.BASE)
                return
            self._proposed_term = self._group.term
            command = encode_command(RaiseLevel(int(level)))
            self._group.propose(command, RAISE_TIMEOUT_SECONDS)
        except ReplicationError as error:
            # The next observation decides the same again.
            log_event("control", "Level not raised.", reason=error.detail)
        finally:
            self._is_raising = False

    def _find_supported(self) -> int:
        return find_supported_level(
            self._machine.own_level,
            self._find_members().values(),
            self._list_entries(),
        )

    def _find_members(self) -> dict[InstanceId, int | None]:
        """Return what the other members of the group have recently stated."""
        now = self._clock()
        return {
            member.instance: self._statements.find_level(member.instance, now)
            for member in self._group.membership.members
            if member.instance != self._instance
        }

    def _list_entries(self) -> list[int]:
        """Return the lowest level of the entries of each replica."""
        return [self._find_lowest_own_entry(), *self._entries.list_relayed_levels()]

    def _find_lowest_own_entry(self) -> int:
        return self._entries.levels.find_lowest(self._machine.own_level, self._clock())

    def _log_hold(self) -> None:
        """Log which instances hold the level back, when they change."""
        wanted = self._machine.own_level
        replicas = [
            instance
            for instance, level in self._find_members().items()
            if (level or 0) < wanted
        ]
        lowest_entry = int(min(self._list_entries()))
        if self._logged_hold == (replicas, lowest_entry):
            return
        self._logged_hold = (replicas, lowest_entry)
        log_event(
            "control",
            "Level held back.",
            level=int(self._machine.state.level),
            wanted=int(wanted),
            replicas=replicas,
            lowest_entry_level=lowest_entry,
        )
