"""The tick loop: systems over the tables, many times a second."""

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
from bergamotwood_daemon.admittance import Admittance
from bergamotwood_daemon.encryption import ServerEncryption
from bergamotwood_daemon.entry import Entry
from bergamotwood_daemon.group import LogGroup
from bergamotwood_daemon.log import log_event, log_failure
from bergamotwood_daemon.ordering import Ordering
from bergamotwood_daemon.replicas import Replicas

TICK_SECONDS = 0.1
COMMIT_SECONDS = 2.0
LEDGER_TICK_SECONDS = 10.0
SLOW_TICK_SECONDS = 0.5
ACTIVE_STATES = (RolloutState.RUNNING, RolloutState.PAUSED)


class Ticker:
    """Runs the systems of one daemon.

    Parameters
    ----------
    entry : Entry
        The entry's tables.
    admittance : Admittance
        Requests that wait.
    replicas : Replicas or None
        The control role, where the instance has it.
    ordering : Ordering or None
        Orders to endpoints, with the control role.
    tls : ServerEncryption or None
        Files to look at for changes.
    """

    def __init__(
        self,
        entry: Entry,
        admittance: Admittance,
        replicas: Replicas | None,
        ordering: Ordering | None,
        tls: ServerEncryption | None,
    ) -> None:
        self._ordering = ordering
        self._tls = tls
        self._entry = entry
        self._admittance = admittance
        self._replicas = replicas
        self._greenlet = None
        self._ledger_time = entry.clock()
        self._slow_at = entry.clock()

    def start(self) -> None:
        """Begin to tick."""
        self._greenlet = spawn(self._run)

    def stop(self) -> None:
        """Stop ticking."""
        self._greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            sleep(TICK_SECONDS)
            try:
                self._tick(self._entry.clock())
            except Exception:
                log_failure("tick", "A system failed.")

    def _tick(self, now: Seconds) -> None:
        directory = self._entry.tables.directory
        expire_endpoints(directory, now)
        expire_entries(directory, now)
        self._admittance.expire(now)
        self._watch_rollouts(self._entry.tables.configuration)
        self._run_slow_systems(now)
        if self._replicas is None:
            return
        self._replicas.expire(now)
        if self._replicas.control.is_leader:
            self._advance_rollouts(now)
        self._pass_ledger_time(now)

    def _run_slow_systems(self, now: Seconds) -> None:
        """Run what a tick in ten is enough for."""
        if now - self._slow_at < SLOW_TICK_SECONDS:
            return
        self._slow_at = now
        self._admittance.set_limits(self._entry.tables.directory, now)
        if self._tls is not None:
            self._tls.reload()
        if self._ordering is not None:
            self._ordering.tick(now)

    def _watch_rollouts(self, tables: ConfigurationTables) -> None:
        """Count outcomes under each roll-out that is under way."""
        outcomes = self._entry.outcomes
        for id, rollout in tables.rollouts.items():
            progress = tables.progress.get(id)
            model = tables.models.get(rollout.model)
            if progress is None or model is None:
                continue
            if progress.state not in ACTIVE_STATES:
                outcomes.stop_counting(id)
                continue
            outcomes.start_counting(
                id, progress.ticket, rollout.candidate, model.current
            )

    def _pass_ledger_time(self, now: Seconds) -> None:
        """Let the ledger's time pass, while this replica leads it."""
        elapsed = now - self._ledger_time
        if elapsed < LEDGER_TICK_SECONDS:
            return
        self._ledger_time = now
        if self._replicas.ledger.is_leader:
            tick = encode_ledger_command(Tick(elapsed))
            spawn(_commit, self._replicas.ledger, tick)

    def _advance_rollouts(self, now: Seconds) -> None:
        replicas = self._replicas
        changes = advance_rollouts(
            replicas.control_machine.tables,
            replicas.directory.tables,
            replicas.rollout_watches,
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
            _commit(replicas.control, encode_command(command))


def _commit(group: LogGroup, command: bytes) -> None:
    try:
        group.propose(command, COMMIT_SECONDS)
    except ReplicationError as error:
        log_event("tick", "Not committed.", group=group.name, detail=error.detail)
