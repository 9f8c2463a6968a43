from random import Random

import pytest

from bergamotwood_core.cascade import CascadePolicy, CascadeSettings
from bergamotwood_core.clock import Seconds
from bergamotwood_core.control import ApplyTicket, ControlMachine, encode_command
from bergamotwood_core.errors import ReplicationError
from bergamotwood_core.ids import InstanceId
from bergamotwood_core.messages import Address, Announcement, EntryReport
from bergamotwood_core.outcome import OutcomeCounter
from bergamotwood_core.states import EndpointKind
from bergamotwood_core.tables import Tables
from bergamotwood_daemon import watch as watch_module
from bergamotwood_daemon.controlfeed import MAX_KEPT_CHANGES, ControlFeed
from bergamotwood_daemon.watch import Watch
from bergamotwood_daemon.wire import ENCODER, POLL_REQUEST, PollReply


class FakeClock:
    def __init__(self):
        self.now = Seconds(100.0)

    def __call__(self):
        return self.now

    def pass_time(self, seconds):
        self.now = Seconds(self.now + seconds)


class FakeReplica:
    """A control replica whose log, age and delay the test sets."""

    def __init__(self, clock):
        self.clock = clock
        self.feed = ControlFeed(ControlMachine())
        self.age = 0.1
        self.delay = 0.0
        self.is_unreachable = False
        self.requests = []

    def commit(self, count):
        for _ in range(count):
            number = self.feed.machine.tables.ticket + 1
            ticket = b'{"number": %d}' % number
            index = self.feed.applied + 1
            self.feed.apply(index, encode_command(ApplyTicket(ticket)))

    def call(self, method, body, timeout_seconds):
        if self.is_unreachable:
            raise ReplicationError("silent")
        request = POLL_REQUEST.decode(body)
        self.requests.append(request)
        changes = self.feed.list_changes(request.applied)
        reply = PollReply(
            age_seconds=self.age,
            applied=self.feed.applied,
            snapshot=self.feed.snapshot() if changes is None else None,
            changes=changes or (),
            boot="r",
            cursor=0,
            announcements=(),
            loads=(),
            reports=(),
        )
        self.clock.pass_time(self.delay)
        return ENCODER.encode(reply)


def make_watch(clock, replicas):
    report = EntryReport("e", 1, 1, Address("127.0.0.1", 1), "karen")
    machine = ControlMachine()
    return Watch(
        machine,
        Tables(configuration=machine.tables),
        {InstanceId(name): replica for name, replica in replicas.items()},
        lambda: report,
        CascadePolicy(CascadeSettings(), Random(1)),
        OutcomeCounter("e"),
        clock,
        Random(1),
    )


@pytest.fixture
def clock():
    return FakeClock()


def test_age_is_unknown_before_the_first_answer(clock):
    watch = make_watch(clock, {"r": FakeReplica(clock)})
    assert watch.measure_age(clock()) == float("inf")


def test_age_is_measured_from_the_time_the_poll_was_sent(clock):
    replica = FakeReplica(clock)
    replica.delay = 30.0
    watch = make_watch(clock, {"r": replica})
    watch.report_now()
    assert watch.measure_age(clock()) == pytest.approx(30.1)


def test_age_rises_while_no_replica_answers(clock):
    replica = FakeReplica(clock)
    watch = make_watch(clock, {"r": replica})
    watch.report_now()
    replica.is_unreachable = True
    clock.pass_time(6.0)
    assert not watch.report_now()
    assert watch.measure_age(clock()) == pytest.approx(6.1)


def test_answer_of_an_isolated_replica_does_not_lower_the_age(clock):
    replica = FakeReplica(clock)
    replica.age = 40.0
    watch = make_watch(clock, {"r": replica})
    assert not watch.report_now()
    assert watch.measure_age(clock()) == pytest.approx(40.0)


def test_lagging_replica_neither_reverts_nor_confirms_the_configuration(clock):
    newer, older = FakeReplica(clock), FakeReplica(clock)
    newer.commit(20)
    older.commit(5)
    watch = make_watch(clock, {"new": newer, "old": older})
    watch.report_now()
    newer.is_unreachable = True
    clock.pass_time(3.0)
    watch.report_now()
    assert watch.machine.tables.ticket == 20
    assert watch.applied == newer.feed.applied
    assert watch.measure_age(clock()) == pytest.approx(3.1)


def test_entry_far_behind_gets_a_snapshot_and_then_changes(clock):
    replica = FakeReplica(clock)
    replica.commit(MAX_KEPT_CHANGES + 10)
    watch = make_watch(clock, {"r": replica})
    watch.report_now()
    assert watch.machine.tables.ticket == MAX_KEPT_CHANGES + 10
    replica.commit(3)
    watch.report_now()
    assert watch.machine.tables.ticket == MAX_KEPT_CHANGES + 13
    assert watch.machine.snapshot() == replica.feed.machine.snapshot()


def test_announcement_of_a_failed_report_is_sent_again(clock):
    replica = FakeReplica(clock)
    replica.is_unreachable = True
    watch = make_watch(clock, {"r": replica})
    announcement = make_announcement()
    watch.queue_announcement(announcement, urgent=True)
    watch.report_now()
    replica.is_unreachable = False
    watch.report_now()
    assert replica.requests[-1].announcements == (announcement,)


def test_a_full_queue_takes_a_newer_announcement_of_a_queued_endpoint(
    clock, monkeypatch
):
    monkeypatch.setattr(watch_module, "MAX_PENDING_ANNOUNCEMENTS", 1)
    replica = FakeReplica(clock)
    watch = make_watch(clock, {"r": replica})
    watch.queue_announcement(make_announcement(), urgent=False)
    newer = make_announcement(sequence=2)
    watch.queue_announcement(newer, urgent=False)
    watch.report_now()
    assert replica.requests[-1].announcements == (newer,)


def make_announcement(sequence=1):
    return Announcement(
        "e1", 1, sequence, Address("127.0.0.1", 2), "karen", EndpointKind.MODEL
    )
