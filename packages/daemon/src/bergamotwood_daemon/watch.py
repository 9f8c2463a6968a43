"""Follows the control log: polls control replicas and applies their changes."""

from collections.abc import Callable
from random import Random

from gevent import sleep, spawn
from gevent.event import Event

from bergamotwood_core.cascade import CascadePolicy
from bergamotwood_core.clock import Seconds
from bergamotwood_core.control import ControlMachine
from bergamotwood_core.directory import merge_announcement, merge_load, merge_report
from bergamotwood_core.errors import ReplicationError
from bergamotwood_core.evidence import Evidence
from bergamotwood_core.ids import InstanceId, LogIndex
from bergamotwood_core.messages import Announcement, EntryReport
from bergamotwood_core.outcome import OutcomeCounter
from bergamotwood_core.tables import Tables
from bergamotwood_daemon.peer import POLL, PeerChannel
from bergamotwood_daemon.wire import ENCODER, POLL_REPLY, PollReply, PollRequest

# Longest time that a replica may wait for changes before it answers a poll.
HOLD_SECONDS = 0.5
POLL_TIMEOUT_SECONDS = 1.5
# Minimum time between two urgent reports.
MIN_REPORT_INTERVAL_SECONDS = 0.1
REPORT_TIMEOUT_SECONDS = 1.0
# If a replica's state may be older, the next poll goes to another replica.
MAX_USEFUL_AGE_SECONDS = 2.0
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
MAX_PENDING_ANNOUNCEMENTS = 4_096


class Watch:
    """Keeps an entry's copy of the control state current and bounds its age.

    Parameters
    ----------
    machine : ControlMachine
        The entry's own copy of the control state.
    tables : Tables
        The entry's tables, which receive the directory changes.
    channels : dict of InstanceId to PeerChannel
        Channels to the control replicas, in order of preference.
    make_report : callable
        Makes the entry's report on itself.
    policy : CascadePolicy
        Exchanges evidence from ratings with the other entries.
    outcomes : OutcomeCounter
        Outcomes counted during roll-outs.
    clock : callable
        Returns the current time.
    rng : Random
        Source of jitter.

    Attributes
    ----------
    machine : ControlMachine
        The entry's own copy of the control state.
    applied : LogIndex
        Highest index of the control log that the entry has applied.
    leader : InstanceId or None
        Leader of the control group, as last reported by a replica.
    """

    def __init__(
        self,
        machine: ControlMachine,
        tables: Tables,
        channels: dict[InstanceId, PeerChannel],
        make_report: Callable[[], EntryReport],
        policy: CascadePolicy,
        outcomes: OutcomeCounter,
        clock: Callable[[], Seconds],
        rng: Random,
    ) -> None:
        self.machine = machine
        self.applied = LogIndex(0)
        self.leader: InstanceId | None = None
        self._tables = tables
        self._channels = channels
        self._make_report = make_report
        self._policy = policy
        self._outcomes = outcomes
        self._clock = clock
        self._rng = rng
        self._replica_order = list(channels)
        self._boot = ""
        self._cursor = 0
        self._confirmed_at: Seconds | None = None
        self._pending_announcements: dict[str, Announcement] = {}
        self._urgent_report = Event()
        self._greenlets = []

    def start(self) -> None:
        """Start polling and sending urgent reports."""
        self._greenlets = [spawn(self._run_polls), spawn(self._run_reports)]

    def stop(self) -> None:
        """Stop polling and sending urgent reports."""
        for greenlet in self._greenlets:
            greenlet.kill(block=False)

    @property
    def sent_bytes(self) -> int:
        """Bytes sent to the control replicas."""
        return sum(channel.sent_bytes for channel in self._channels.values())

    @property
    def received_bytes(self) -> int:
        """Bytes received from the control replicas."""
        return sum(channel.received_bytes for channel in self._channels.values())

    def measure_age(self, now: Seconds) -> float:
        """Return seconds since the configuration was last confirmed as newest.

        `inf` before the first confirmation.
        """
        if self._confirmed_at is None:
            return float("inf")
        return now - self._confirmed_at

    def queue_announcement(self, announcement: Announcement, urgent: bool) -> None:
        """Queue an endpoint's announcement for the control replicas.

        The first one of an endpoint is dropped when the queue is full.

        Parameters
        ----------
        announcement : Announcement
            The endpoint's newest announcement.
        urgent : bool
            Whether it changes the membership, so that it is sent at once.
        """
        is_full = len(self._pending_announcements) >= MAX_PENDING_ANNOUNCEMENTS
        if is_full and announcement.id not in self._pending_announcements:
            return
        self._pending_announcements[announcement.id] = announcement
        if urgent:
            self._urgent_report.set()

    def report_now(self) -> bool:
        """Report at once to the replicas in turn, until one with recent state answers.

        Returns
        -------
        bool
            Whether one did.
        """
        return any(
            self._send_report(name, 0.0, REPORT_TIMEOUT_SECONDS)
            for name in list(self._replica_order)
        )

    def _run_reports(self) -> None:
        while True:
            self._urgent_report.wait()
            self._urgent_report.clear()
            self.report_now()
            sleep(MIN_REPORT_INTERVAL_SECONDS)

    def _run_polls(self) -> None:
        backoff = MIN_BACKOFF_SECONDS
        while True:
            if self._send_report(
                self._replica_order[0], HOLD_SECONDS, POLL_TIMEOUT_SECONDS
            ):
                backoff = MIN_BACKOFF_SECONDS
                continue
            self._replica_order.append(self._replica_order.pop(0))
            sleep(backoff * self._rng.uniform(0.5, 1.0))
            backoff = min(2.0 * backoff, MAX_BACKOFF_SECONDS)

    def _send_report(
        self, name: InstanceId, hold_seconds: float, timeout_seconds: float
    ) -> bool:
        """Report to one replica, which may wait for changes, and apply its reply.

        Return whether it answered with recent state.
        """
        announcements = tuple(self._pending_announcements.values())
        self._pending_announcements.clear()
        request = PollRequest(
            applied=self.applied,
            hold_seconds=hold_seconds,
            boot=self._boot,
            cursor=self._cursor,
            report=self._make_report(),
            announcements=announcements,
            ratings=self._collect_ratings(),
            outcomes=tuple(self._outcomes.list_reports()),
        )
        if self._poll(name, request, timeout_seconds):
            return True
        for announcement in announcements:
            self._pending_announcements.setdefault(announcement.id, announcement)
        return False

    def _collect_ratings(self) -> tuple[Evidence, ...]:
        evidence = self._policy.take_evidence()
        return (evidence,) if evidence.histograms else ()

    def _poll(
        self, name: InstanceId, request: PollRequest, timeout_seconds: float
    ) -> bool:
        sent_at = self._clock()
        try:
            body = self._channels[name].call(
                POLL, ENCODER.encode(request), timeout_seconds
            )
        except ReplicationError:
            return False
        reply = POLL_REPLY.decode(body)
        self._apply_reply(reply, sent_at)
        return reply.age_seconds <= MAX_USEFUL_AGE_SECONDS

    def _apply_reply(self, reply: PollReply, sent_at: Seconds) -> None:
        self._apply_directory_changes(reply)
        if reply.applied < self.applied:
            # A lagging replica cannot confirm that this newer configuration is current.
            return
        self._apply_changes(reply)
        confirmed_at = Seconds(sent_at - reply.age_seconds)
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at
            self.leader = reply.leader

    def _apply_changes(self, reply: PollReply) -> None:
        if reply.applied == self.applied:
            return
        if reply.snapshot is not None:
            self.machine.restore(reply.snapshot)
        for change in reply.changes:
            if change.index > self.applied:
                self.machine.apply(change.index, change.command)
        self.applied = reply.applied

    def _apply_directory_changes(self, reply: PollReply) -> None:
        now = self._clock()
        for announcement in reply.announcements:
            merge_announcement(self._tables.directory, announcement, now)
        for load in reply.loads:
            merge_load(self._tables.directory, load, now)
        for report in reply.reports:
            merge_report(self._tables.directory, report, now)
        for evidence in reply.ratings:
            self._policy.merge_evidence(evidence)
        self._boot = reply.boot
        self._cursor = reply.cursor
