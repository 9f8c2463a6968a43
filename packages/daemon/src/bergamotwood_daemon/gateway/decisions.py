"""What a control replica decides on its own, and commits through the log.

The leader decides on roll-outs and suspensions.
"""

from gevent import spawn, spawn_later

from bergamotwood_core.errors import BergamotwoodError
from bergamotwood_core.gateway.state_machine import (
    GatewayCommand,
    SettleRollout,
)
from bergamotwood_daemon.gateway.entries import EntryTable
from bergamotwood_daemon.gateway.leaderaccess import LeaderAccess
from bergamotwood_daemon.gateway.rollouts import RolloutController
from bergamotwood_daemon.gateway.suspensions import SuspensionController
from bergamotwood_daemon.group import LogGroup
from bergamotwood_daemon.log import log_event

# Delay from a report of bad responses on a new version to the decision on its roll-out:
# reports in quick succession are evaluated once, which bounds the cost of evaluating
# those of hundreds of entries.
DECISION_DELAY_SECONDS = 0.1


class DecisionMaker:
    """Commits the decisions of one control replica.

    Parameters
    ----------
    group : LogGroup
        The replica's part of the control group.
    leader : LeaderAccess
        Commits commands.
    entries : EntryTable
        The replica's table of entries.
    rollouts : RolloutController
        Decides on roll-outs.
    suspensions : SuspensionController
        Decides on suspensions.
    """

    def __init__(
        self,
        group: LogGroup,
        leader: LeaderAccess,
        entries: EntryTable,
        rollouts: RolloutController,
        suspensions: SuspensionController,
    ) -> None:
        self._group = group
        self._leader = leader
        self._entries = entries
        self._rollouts = rollouts
        self._suspensions = suspensions
        self._settling: set[SettleRollout] = set()
        self._is_scheduled = False

    def decide(self) -> None:
        """Commit what is due, on the leader; to be called several times a second."""
        if not self._group.is_leader:
            return
        self._settle_rollouts()
        for command in self._suspensions.list_commands():
            spawn(self._commit, command)

    def decide_soon(self) -> None:
        """Decide on roll-outs soon if entries have reported more bad responses."""
        if not self._entries.has_new_failures:
            return
        self._entries.has_new_failures = False
        if self._group.is_leader and not self._is_scheduled:
            self._is_scheduled = True
            spawn_later(DECISION_DELAY_SECONDS, self._decide_scheduled)

    def _decide_scheduled(self) -> None:
        self._is_scheduled = False
        if self._group.is_leader:
            self._settle_rollouts()

    def _settle_rollouts(self) -> None:
        for command in self._rollouts.list_settlements():
            if command not in self._settling:
                self._settling.add(command)
                spawn(self._commit_settlement, command)

    def _commit_settlement(self, command: SettleRollout) -> None:
        try:
            self._commit(command)
        finally:
            self._settling.discard(command)

    def _commit(self, command: GatewayCommand) -> None:
        try:
            self._leader.commit(command)
        except BergamotwoodError as error:
            # The next run decides the same again.
            log_event(
                "control",
                "Decision not committed.",
                command=type(command).__name__,
                reason=error.detail,
            )
