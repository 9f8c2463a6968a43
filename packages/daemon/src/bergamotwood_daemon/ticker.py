"""Runs the periodic tasks of a daemon in one loop."""

from gevent import sleep, spawn

from bergamotwood_core.clock import Seconds
from bergamotwood_core.control import RecordProgress, encode_command
from bergamotwood_core.directory import expire_endpoints, expire_entries
from bergamotwood_core.errors import ReplicationError
from bergamotwood_core.ledger import Tick
from bergamotwood_core.ledger import encode_command as encode_ledger_command
from bergamotwood_core.rollout import advance_rollouts
from bergamotwood_core.states import RolloutState
from bergamotwood_core.tables import ConfigurationTables
from bergamotwood_daemon.admissiongate import AdmissionGate
from bergamotwood_daemon.controlreplica import ControlReplica
from bergamotwood_daemon.encryption import ServerEncryption
from bergamotwood_daemon.entry import Entry
from bergamotwood_daemon.group import LogGroup
from bergamotwood_daemon.log import log_event, log_failure
from bergamotwood_daemon.orderdispatcher import OrderDispatcher

TICK_INTERVAL_SECONDS = 0.1
COMMIT_TIMEOUT_SECONDS = 2.0
LEDGER_TICK_INTERVAL_SECONDS = 10.0
SLOW_TASK_INTERVAL_SECONDS = 0.5
ACTIVE_ROLLOUT_STATES = (RolloutState.RUNNING, RolloutState.PAUSED)


class Ticker:
    """Runs the periodic tasks of one daemon.

    Parameters
    ----------
    entry : Entry
        The entry, with its tables.
    admission_gate : AdmissionGate
        Admission of requests, including those that wait.
    control_replica : ControlReplica or None
        The control role, if the instance has it.
    order_dispatcher : OrderDispatcher or None
        Sends orders to endpoints, if the instance has the control role.
    tls : ServerEncryption or None
        TLS of the HTTP server, whose files are checked for changes.
    """

    def __init__(
        self,
        entry: Entry,
        admission_gate: AdmissionGate,
        control_replica: ControlReplica | None,
        order_dispatcher: OrderDispatcher | None,
        tls: ServerEncryption | None,
    ) -> None:
        self._order_dispatcher = order_dispatcher
        self._tls = tls
        self._entry = entry
        self._admission_gate = admission_gate
        self._control_replica = control_replica
        self._greenlet = None
        self._ledger_ticked_at = entry.clock()
        self._slow_tasks_ran_at = entry.clock()

    def start(self) -> None:
        """Start the loop."""
        self._greenlet = spawn(self._run)

    def stop(self) -> None:
        """Stop the loop."""
        self._greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            sleep(TICK_INTERVAL_SECONDS)
            try:
                self._tick(self._entry.clock())
            except Exception:
                log_failure("tick", "Periodic task failed.")

    def _tick(self, now: Seconds) -> None:
        directory = self._entry.tables.directory
        expire_endpoints(directory, now)
        expire_entries(directory, now)
        self._admission_gate.expire(now)
        self._track_rollout_outcomes(self._entry.tables.configuration)
        self._run_slow_tasks(now)
        if self._control_replica is None:
            return
        self._control_replica.expire(now)
        if self._control_replica.control_group.is_leader:
            self._advance_rollouts(now)
        self._advance_ledger_clock(now)

    def _run_slow_tasks(self, now: Seconds) -> None:
        """Run the tasks that need not run on every tick."""
        if now - self._slow_tasks_ran_at < SLOW_TASK_INTERVAL_SECONDS:
            return
        self._slow_tasks_ran_at = now
        self._admission_gate.set_limits(self._entry.tables.directory, now)
        if self._tls is not None:
            self._tls.reload_if_changed()
        if self._order_dispatcher is not None:
            self._order_dispatcher.tick(now)

    def _track_rollout_outcomes(self, tables: ConfigurationTables) -> None:
        """Count outcomes for active roll-outs and forget those of ended ones."""
        outcomes = self._entry.outcomes
        for id, rollout in tables.rollouts.items():
            progress = tables.progress.get(id)
            model = tables.models.get(rollout.model)
            if progress is None or model is None:
                continue
            if progress.state not in ACTIVE_ROLLOUT_STATES:
                outcomes.stop_counting(id)
                continue
            outcomes.start_counting(
                id, progress.ticket, rollout.candidate, model.current
            )

    def _advance_ledger_clock(self, now: Seconds) -> None:
        """Advance the clock of the ledger's state machine, if this replica leads it."""
        elapsed = now - self._ledger_ticked_at
        if elapsed < LEDGER_TICK_INTERVAL_SECONDS:
            return
        self._ledger_ticked_at = now
        if self._control_replica.ledger_group.is_leader:
            tick = encode_ledger_command(Tick(elapsed))
            spawn(_commit, self._control_replica.ledger_group, tick)

    def _advance_rollouts(self, now: Seconds) -> None:
        control_replica = self._control_replica
        changes = advance_rollouts(
            control_replica.control_machine.tables,
            control_replica.directory.tables,
            control_replica.rollout_monitors,
            now,
            self._entry.settings.rating_address is not None,
        )
        for change in changes:
            progress = change.progress
            command = RecordProgress(
                change.rollout,
                progress.ticket,
                progress.stage,
                progress.state,
                progress.exposed,
                progress.reason,
            )
            log_event(
                "rollout",
                "Step decided.",
                rollout=change.rollout,
                stage=progress.stage,
                state=str(progress.state),
                exposed=progress.exposed,
                reason=progress.reason,
            )
            _commit(control_replica.control_group, encode_command(command))


def _commit(group: LogGroup, command: bytes) -> None:
    try:
        group.propose(command, COMMIT_TIMEOUT_SECONDS)
    except ReplicationError as error:
        log_event(
            "tick", "Command not committed.", group=group.name, detail=error.detail
        )
