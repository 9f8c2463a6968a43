"""One replica of a log group: its input queue, journal and state machine."""

from collections.abc import Callable
from random import Random
from secrets import randbits, token_hex

from gevent import Greenlet, Timeout, joinall, sleep, spawn
from gevent.event import AsyncResult, Event
from gevent.queue import Queue
from msgspec import MsgspecError

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import (
    BuildTooOldError,
    Code,
    NotLeaderError,
    ReplicationError,
)
from bergamotwood_core.fencing import FencingToken
from bergamotwood_core.ids import InstanceId, LogIndex, ReplicaId, Term
from bergamotwood_core.logentries import Entry, EntryKind, Record, Snapshot
from bergamotwood_core.logmessages import decode_message, encode_message
from bergamotwood_core.machine import StateMachine
from bergamotwood_core.membership import Membership, MembershipChange
from bergamotwood_core.progress import NEVER
from bergamotwood_core.replica import Replica
from bergamotwood_core.replicastate import Effects, Outgoing
from bergamotwood_core.states import Run
from bergamotwood_daemon.diskthread import DiskThread
from bergamotwood_daemon.groupinput import Call, Input, Proposal, Received, Stop, Tick
from bergamotwood_daemon.groupsettings import GroupSettings, Transport
from bergamotwood_daemon.journal import Journal
from bergamotwood_daemon.levellog import LevelLog, log_too_old
from bergamotwood_daemon.pendingproposals import PendingProposals

IDENTITY_BYTES = 8
SESSION_BITS = 48
# Longest time in which a stopping replica waits until another one has its vote.
LEAVE_SECONDS = 0.8


class LogGroup:
    """One replica of a log group, run by a greenlet.

    Parameters
    ----------
    name : str
        Name of the group and of its data folder.
    settings : GroupSettings
        Settings of the group.
    machine : StateMachine
        Applies the committed commands.
    transport : Transport
        Sends messages to the other replicas.
    clock : Callable
        Returns seconds of a clock that also advances while the host is suspended.
    rng : Random
        Randomizes election timeouts.
    """

    def __init__(
        self,
        name: str,
        settings: GroupSettings,
        machine: StateMachine,
        transport: Transport,
        clock: Callable[[], Seconds],
        rng: Random,
    ) -> None:
        self.name = name
        self.failure: BaseException | None = None
        self.applied = LogIndex(0)
        # Feature level of the group in the applied state, set by apply callbacks.
        self.level = 0
        self._settings = settings
        self._machine = machine
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._inbox: Queue = Queue()
        self._pending_proposals = PendingProposals()
        self._is_running = False
        self._callbacks: list[Callable[[], None]] = []
        self._progress = Event()
        self._confirmed_at = NEVER
        self._replica: Replica | None = None
        self._journal: Journal | None = None
        self._had_group = False
        self._level_log = LevelLog(name)
        self._greenlets: list[Greenlet] = []
        self._disk = DiskThread(name, clock, lambda: self._is_running)

    @property
    def leader(self) -> InstanceId | None:
        """Instance that leads the group, or None when unknown."""
        return self._replica.leader if self._replica else None

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader, as far as it knows."""
        if self._replica is None or self.failure is not None:
            return False
        return self._replica.is_leader

    @property
    def term(self) -> Term:
        """Newest term that this replica knows."""
        return self._replica.term if self._replica else Term(0)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voting member."""
        if self._replica is None or self.failure is not None:
            return False
        return self._replica.state.is_voter

    @property
    def has_formed_group(self) -> bool:
        """Whether this run of the process took part in forming the group."""
        if self._replica is None or self._had_group:
            return False
        genesis = self._replica.state.genesis
        replica = self._replica.state.replica
        return genesis is not None and genesis.membership.find(replica) is not None

    @property
    def membership(self) -> Membership:
        """Newest membership that this replica knows."""
        return self._replica.membership if self._replica else Membership(())

    @property
    def snapshot_index(self) -> LogIndex:
        """Index of the last entry that the newest snapshot contains."""
        return self._journal.snapshot_index if self._journal else LogIndex(0)

    @property
    def log_bytes(self) -> int:
        """Size of the log file in bytes."""
        return self._journal.size_bytes if self._journal else 0

    @property
    def queued_inputs(self) -> int:
        """Number of inputs in the queue."""
        return self._inbox.qsize()

    def start(self) -> None:
        """Load the data folder and start the replica.

        Raises
        ------
        LogCorruptError
            When the data folder is damaged.
        """
        folder = self._settings.folder / self.name
        new_identity = ReplicaId(token_hex(IDENTITY_BYTES))
        self._journal = self._disk.run(Journal, folder, new_identity)
        saved = self._journal.saved
        self._had_group = saved.genesis is not None
        self._is_running = True
        if saved.snapshot is not None:
            try:
                self._machine.restore(saved.snapshot.data)
            except BuildTooOldError as error:
                self._leave_work(error)
                return
            self.applied = saved.snapshot.index
        self._replica = Replica(
            self._settings.build_replica_settings(),
            saved,
            randbits(SESSION_BITS),
            self._rng,
            self._clock(),
        )
        self._greenlets = [spawn(self._run), spawn(self._run_timer)]

    def stop(self, handover: bool = True) -> None:
        """Stop the replica.

        Parameters
        ----------
        handover : bool
            Whether to hand over leadership and vote first.
        """
        if not self._is_running:
            return
        if handover:
            self.hand_over()
        self._is_running = False
        self._inbox.put(Stop())
        joinall(self._greenlets)
        self._fail_pending("stopped")
        self._journal.close()
        self._disk.stop()

    def hand_over(self) -> None:
        """Transfer leadership, and the vote if there is a replica without one."""
        if not self._is_running or self.failure is not None:
            return
        if self.is_leader:
            self._transfer_leadership()
        if not self.is_leader:
            self._leave()

    def propose(self, command: bytes, timeout: float) -> bytes:
        """Commit a command and return the state machine's answer.

        Parameters
        ----------
        command : bytes
            Command for the state machine.
        timeout : float
            Seconds to wait.

        Raises
        ------
        NotLeaderError
            When it is certain that the command will never be applied.
        ReplicationError
            When the command was rejected, or not confirmed in time. It may still
            be applied unless `run` is `NOT_RUN`.
        """
        self._check_command(command)
        proposal = Proposal(command)
        self._inbox.put(proposal)
        try:
            return proposal.result.get(timeout=timeout)
        except Timeout:
            proposal.abandoned = True
            run = Run.MAY_HAVE_RUN if proposal.appended else Run.NOT_RUN
            detail = f"{self.name}: no majority within {timeout} s"
            raise ReplicationError(detail, run=run)

    def receive(self, body: bytes) -> None:
        """Queue a message from another instance; never blocks.

        The message is dropped when the queue is full or the replica does not run.

        Raises
        ------
        ReplicationError
            When the message cannot be decoded.
        """
        full = self._inbox.qsize() >= self._settings.inbox_limit
        if full or not self._is_running or self.failure is not None:
            return
        try:
            message = decode_message(body)
        except MsgspecError as error:
            raise ReplicationError(
                f"{self.name}: {error}", Code.MALFORMED_REQUEST, Run.NOT_RUN
            )
        self._inbox.put(Received(message))

    def reserve_level(self, level: int) -> None:
        """Add no replica below a level, which this leader is about to propose.

        Raises
        ------
        ReplicationError
            When the replica does not run.
        """
        self._call_replica(lambda replica, now: replica.reserve_level(level))

    def change_members(self, change: MembershipChange) -> None:
        """Append a change of one member, requested by an operator.

        Raises
        ------
        NotLeaderError
            When this replica cannot change the membership now.
        ValueError
            When the change is not valid for the current membership.
        """
        self._call_replica(lambda replica, now: replica.change_members(change, now))

    def measure_age(self, now: Seconds) -> float:
        """Return how old the applied state may be, in seconds.

        Everything that was committed that long ago is applied here; `inf` before a
        majority first confirms the leader.
        """
        return now - self._confirmed_at

    def holds_lease(self, now: Seconds) -> bool:
        """Whether this replica leads and no other replica can lead at this time."""
        if self._replica is None or self.failure is not None:
            return False
        return self._replica.holds_lease(now)

    def build_fencing_token(self) -> FencingToken:
        """Return the token for orders sent now; valid only while the lease is held."""
        return FencingToken(self.term, self.applied)

    def add_apply_callback(self, callback: Callable[[], None]) -> None:
        """Add a function to call after entries or a snapshot were applied.

        The function must not block.
        """
        self._callbacks.append(callback)

    def read_barrier(self, timeout: float) -> None:
        """Wait until everything committed before this call is applied here.

        Raises
        ------
        NotLeaderError
            When this replica does not lead.
        ReplicationError
            When no majority confirms the leader in time, or the replica stops.
        """
        asked_at = self._clock()
        self._call_replica(lambda replica, now: replica.send_heartbeats(now))
        deadline = asked_at + timeout
        while self._confirmed_at < asked_at:
            self._check_running()
            if not self.is_leader:
                raise NotLeaderError(f"{self.name}: not the leader", self.leader)
            remaining = deadline - self._clock()
            if remaining <= 0.0:
                raise ReplicationError(f"{self.name}: no majority", run=Run.NOT_RUN)
            self._progress.wait(min(remaining, self._settings.tick_seconds))

    def _check_running(self) -> None:
        if isinstance(self.failure, BuildTooOldError):
            detail = f"{self.name}: {self.failure.detail}"
            raise ReplicationError(detail, Code.BUILD_TOO_OLD, Run.NOT_RUN)
        if self.failure is not None or not self._is_running:
            raise ReplicationError(f"{self.name}: not running", run=Run.NOT_RUN)

    def _check_command(self, command: bytes) -> None:
        self._check_running()
        if len(command) > self._settings.command_bytes:
            raise ReplicationError(
                f"{self.name}: command of {len(command)} bytes",
                Code.BODY_TOO_LARGE,
                Run.NOT_RUN,
            )
        if self._inbox.qsize() >= self._settings.inbox_limit:
            raise ReplicationError(
                f"{self.name}: too many commands wait", Code.OVERLOADED, Run.NOT_RUN
            )

    def _transfer_leadership(self) -> None:
        started = self._call_replica(
            lambda replica, now: replica.transfer_leadership(now)
        )
        deadline = self._clock() + self._settings.election_seconds
        while started and self.is_leader and self._clock() < deadline:
            self._progress.wait(self._settings.tick_seconds)

    def _leave(self) -> None:
        if not self._call_replica(lambda replica, now: replica.leave(now)):
            return
        deadline = self._clock() + LEAVE_SECONDS
        while self._clock() < deadline and self.failure is None:
            if self._replica.has_left(self._clock()):
                return
            self._progress.wait(self._settings.tick_seconds)

    def _call_replica(self, action: Callable[[Replica, Seconds], object]) -> object:
        self._check_running()
        call = Call(action, AsyncResult())
        self._inbox.put(call)
        return call.result.get()

    def _run_timer(self) -> None:
        while self._is_running and self.failure is None:
            self._inbox.put(Tick())
            sleep(self._settings.tick_seconds)

    def _run(self) -> None:
        batch: list[Input] = []
        try:
            while self._is_running:
                batch = self._collect_batch()
                self._process_batch(batch)
        except BuildTooOldError as error:
            self._leave_work(error)
            self._fail_inputs(batch, error.detail)
        except Exception as error:
            self.failure = error
            self._fail_inputs(batch, str(error))
            self._fail_pending(str(error))
            raise

    def _leave_work(self, error: BuildTooOldError) -> None:
        """Stop taking part in the group; what is on disk serves a newer build."""
        self.failure = error
        instance = self._settings.instance
        log_too_old(self.name, instance, error.level, error.group_level, error.detail)
        self._fail_pending(error.detail)

    def _collect_batch(self) -> list[Input]:
        batch = [self._inbox.get()]
        while self._inbox.qsize() > 0:
            batch.append(self._inbox.get_nowait())
        return batch

    def _process_batch(self, batch: list[Input]) -> None:
        replica = self._replica
        now = self._clock()
        proposals = []
        for item in batch:
            match item:
                case Received(message):
                    replica.step(message, now)
                case Proposal():
                    proposals.append(item)
                case Call():
                    item.run(replica, now)
        if any(isinstance(item, Tick) for item in batch):
            replica.tick(now)
        self._append_proposals(proposals, now)
        self._apply_effects(replica.take_effects())
        replica.mark_synced(self._clock())
        self._apply_effects(replica.take_effects())
        self._compact()
        self._level_log.log_refused(replica.state.refused_levels, self.level)
        self._notify_progress()

    def _append_proposals(self, proposals: list[Proposal], now: Seconds) -> None:
        pending = [proposal for proposal in proposals if not proposal.abandoned]
        if not pending:
            return
        commands = [proposal.command for proposal in pending]
        try:
            first = self._replica.propose(commands, now)
        except NotLeaderError as error:
            for proposal in pending:
                proposal.result.set_exception(error)
            return
        for offset, proposal in enumerate(pending):
            self._pending_proposals.add(
                LogIndex(first + offset), self._replica.term, proposal
            )

    def _apply_effects(self, effects: Effects) -> None:
        self._send_messages(effects.immediate)
        if effects.records:
            self._save_records(effects.records)
        self._send_messages(effects.messages)
        try:
            self._apply_outputs(effects.outputs)
            self._confirmed_at = max(self._confirmed_at, effects.confirmed_at)
        finally:
            # Entries before one that cannot be applied are in effect.
            if effects.outputs:
                for callback in self._callbacks:
                    callback()
        self._replica.mark_applied(self.applied, self.level)

    def _apply_outputs(self, outputs: list[Entry | Snapshot]) -> None:
        for output in outputs:
            match output:
                case Snapshot():
                    self._restore_snapshot(output)
                case Entry():
                    self._apply_entry(output)

    def _send_messages(self, messages: list[Outgoing]) -> None:
        for outgoing in messages:
            self._transport.send(outgoing.instance, encode_message(outgoing.message))

    def _apply_entry(self, entry: Entry) -> None:
        answer = b""
        if entry.kind is EntryKind.COMMAND:
            answer = self._machine.apply(entry.index, entry.command)
        self.applied = entry.index
        self._pending_proposals.resolve(entry, answer)

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self.applied = snapshot.index
        self._pending_proposals.fail_through(snapshot.index)

    def _compact(self) -> None:
        journal = self._journal
        written = self.applied - journal.snapshot_index
        if written < self._settings.snapshot_entries:
            return
        # Avoids rewriting a large snapshot after only a few changes.
        if journal.size_bytes < journal.snapshot_bytes:
            return
        data = self._machine.snapshot()
        snapshot = self._replica.compact(
            self.applied, data, self._settings.kept_entries
        )
        tail = self._replica.get_entries_after(self.applied)
        self._disk.retry(journal.compact, snapshot, tail)

    def _save_records(self, records: list[Record | Snapshot]) -> None:
        self._disk.retry(self._journal.save, records)

    def _notify_progress(self) -> None:
        self._progress.set()
        self._progress.clear()

    def _fail_pending(self, detail: str) -> None:
        self._pending_proposals.fail_all(f"{self.name}: {detail}")
        inputs = [self._inbox.get_nowait() for _ in range(self._inbox.qsize())]
        self._fail_inputs(inputs, detail)

    def _fail_inputs(self, inputs: list[Input], detail: str) -> None:
        error = ReplicationError(f"{self.name}: {detail}", run=Run.NOT_RUN)
        for item in inputs:
            if (
                isinstance(item, Proposal)
                and not item.appended
                or isinstance(item, Call)
                and not item.result.ready()
            ):
                item.result.set_exception(error)
