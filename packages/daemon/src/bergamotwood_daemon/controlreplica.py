"""The control role: log groups, change feeds and handlers for calls of peers."""

from collections.abc import Callable
from random import Random

from gevent.event import Event
from msgspec import json

from bergamotwood_core.clock import Seconds
from bergamotwood_core.control import ControlMachine
from bergamotwood_core.errors import NotLeaderError, ReplicationError
from bergamotwood_core.ids import InstanceId, RolloutId, TicketNumber
from bergamotwood_core.ledger import LedgerMachine
from bergamotwood_core.rollout import RolloutMonitor, merge_reports
from bergamotwood_core.states import Run
from bergamotwood_daemon.controlfeed import ControlFeed
from bergamotwood_daemon.directoryfeed import DirectoryFeed
from bergamotwood_daemon.group import LogGroup
from bergamotwood_daemon.peer import PeerChannel
from bergamotwood_daemon.relay import Relay
from bergamotwood_daemon.wire import (
    ENCODER,
    POLL_REQUEST,
    PROPOSE_REQUEST,
    QUERY_REQUEST,
    REPLICATE_BATCH,
    Committed,
    FindBill,
    FindClaim,
    FindTicket,
    ListBills,
    ListTickets,
    ListTotals,
    NotLeader,
    PollReply,
    PollRequest,
    Query,
    Unknown,
)

CONTROL_GROUP = "control"
LEDGER_GROUP = "ledger-0"
# Longest time that a poll waits for changes before it is answered.
MAX_HOLD_SECONDS = 1.0


class ControlReplica:
    """The control role of one instance.

    Parameters
    ----------
    control_group, ledger_group : LogGroup
        This instance's replicas of the two log groups.
    feed : ControlFeed
        State machine of the control group.
    ledger_machine : LedgerMachine
        State machine of the ledger group.
    directory : DirectoryFeed
        Soft state: endpoints, entry instances and ratings.
    peers : dict of InstanceId to PeerChannel
        Channels to the other control replicas.
    clock : callable
        Returns the current time.
    rng : Random
        Source of jitter.
    """

    def __init__(
        self,
        control_group: LogGroup,
        ledger_group: LogGroup,
        feed: ControlFeed,
        ledger_machine: LedgerMachine,
        directory: DirectoryFeed,
        peers: dict[InstanceId, PeerChannel],
        clock: Callable[[], Seconds],
        rng: Random,
    ) -> None:
        self.control_group = control_group
        self.ledger_group = ledger_group
        self.directory = directory
        self.rollout_monitors: dict[RolloutId, RolloutMonitor] = {}
        self._feed = feed
        self._ledger_machine = ledger_machine
        self._relays = [
            Relay(channel, lambda: feed.applied, rng) for channel in peers.values()
        ]
        self._clock = clock
        self._groups = {CONTROL_GROUP: control_group, LEDGER_GROUP: ledger_group}
        self._changed = Event()
        control_group.add_apply_callback(self._notify_pollers)

    @property
    def is_voting(self) -> bool:
        """Whether this replica is a voting member of every group."""
        return all(group.is_voter for group in self._groups.values())

    @property
    def control_machine(self) -> ControlMachine:
        """State machine of the control group at this replica."""
        return self._feed.machine

    def start(self) -> None:
        """Start the log groups and the relays of soft state."""
        for group in self._groups.values():
            group.start()
        for relay in self._relays:
            relay.start()

    def stop(self) -> None:
        """Transfer leadership and stop."""
        for group in self._groups.values():
            group.stop(handover=True)
        for relay in self._relays:
            relay.stop()

    def handle_replicate(self, body: bytes) -> bytes:
        """Pass replication messages to their groups."""
        for envelope in REPLICATE_BATCH.decode(body).envelopes:
            group = self._groups.get(envelope.group)
            if group is not None:
                group.receive(envelope.body)
        return b""

    def handle_propose(self, body: bytes) -> bytes:
        """Propose a command to a group, if this replica leads it."""
        request = PROPOSE_REQUEST.decode(body)
        group = self._groups[request.group]
        return ENCODER.encode(
            _run_and_reply(
                lambda: group.propose(request.command, request.timeout_seconds)
            )
        )

    def handle_query(self, body: bytes) -> bytes:
        """Answer a query from confirmed state, if this replica leads the group."""
        request = QUERY_REQUEST.decode(body)
        group = self._groups[request.group]

        def read() -> bytes:
            group.read_barrier(request.timeout_seconds)
            return json.encode(self._run_query(request.query))

        return ENCODER.encode(_run_and_reply(read))

    def handle_poll(self, body: bytes) -> bytes:
        """Record an entry's reports; return changes, after a short wait if needed."""
        request = POLL_REQUEST.decode(body)
        self._record_reports(request)
        self._wait_for_changes(request)
        return ENCODER.encode(self._build_reply(request))

    def expire(self, now: Seconds) -> None:
        """Remove expired endpoints and entry instances from the directory."""
        self.directory.expire(now)

    def _run_query(self, query: Query) -> object:
        match query:
            case FindBill(request):
                return self._ledger_machine.find_bill(request)
            case ListBills(workspace, limit):
                return self._ledger_machine.list_bills(workspace, limit)
            case ListTotals():
                return self._ledger_machine.list_totals()
            case FindClaim(workspace, key):
                return self._ledger_machine.find_claim(workspace, key)
            case FindTicket(number):
                return self.control_machine.records.get(TicketNumber(number))
            case ListTickets(limit):
                return list(self.control_machine.records.values())[-limit:]

    def _record_reports(self, request: PollRequest) -> None:
        now = self._clock()
        previous_membership_cursor = self.directory.membership_cursor
        reports = request.reports
        if request.report is not None:
            reports = (*reports, request.report)
        updates = [
            *(
                a
                for a in request.announcements
                if self.directory.record_announcement(a, now)
            ),
            *(r for r in reports if self.directory.record_report(r, now)),
            *(e for e in request.ratings if self.directory.record_ratings(e)),
            *request.outcomes,
        ]
        merge_reports(self.rollout_monitors, request.outcomes)
        if self.directory.membership_cursor != previous_membership_cursor:
            self._notify_pollers()
        if request.relayed:
            return
        for relay in self._relays:
            for update in updates:
                relay.put(update)

    def _wait_for_changes(self, request: PollRequest) -> None:
        deadline = self._clock() + min(request.hold_seconds, MAX_HOLD_SECONDS)
        while not self._has_changes(request):
            remaining = deadline - self._clock()
            if remaining <= 0.0:
                return
            self._changed.wait(remaining)

    def _has_changes(self, request: PollRequest) -> bool:
        if self._feed.applied > request.applied:
            return True
        if request.boot != self.directory.boot:
            return True
        return self.directory.membership_cursor > request.cursor

    def _build_reply(self, request: PollRequest) -> PollReply:
        directory_changes = self.directory.list_changes(request.boot, request.cursor)
        changes = self._feed.list_changes(request.applied)
        snapshot = self._feed.snapshot() if changes is None else None
        return PollReply(
            age_seconds=self.control_group.measure_age(self._clock()),
            applied=self._feed.applied,
            snapshot=snapshot,
            changes=changes or (),
            boot=self.directory.boot,
            cursor=directory_changes.cursor,
            announcements=directory_changes.announcements,
            loads=directory_changes.loads,
            reports=directory_changes.reports,
            ratings=directory_changes.ratings,
            leader=self.control_group.leader,
        )

    def _notify_pollers(self) -> None:
        self._changed.set()
        self._changed.clear()


def _run_and_reply(action: Callable[[], bytes]) -> Committed | NotLeader | Unknown:
    try:
        return Committed(action())
    except NotLeaderError as error:
        return NotLeader(error.leader)
    except ReplicationError as error:
        if error.run is Run.NOT_RUN:
            return NotLeader(None)
        return Unknown(error.detail)
