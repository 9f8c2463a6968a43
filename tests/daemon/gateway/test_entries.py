import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.changefeed import NO_CURSOR
from bergamotwood_core.gateway.load import EndpointLoad
from bergamotwood_core.gateway.members import EntryAddress
from bergamotwood_core.gateway.rollout import VersionEvidence
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    InstanceId,
    LogIndex,
    SessionId,
)
from bergamotwood_daemon.gateway.entries import (
    ENTRY_EXPIRY_SECONDS,
    SUMMARY_EXPIRY_SECONDS,
    EntryTable,
)
from bergamotwood_daemon.gateway.peermessages import EntryStatus

ENDPOINT = EndpointId("e-1")


class Clock:
    """Clock that a test sets."""

    def __init__(self):
        self.now = Seconds(10.0)

    def __call__(self):
        return self.now


def make_status(number, sequence=1, load=None, **changes):
    return EntryStatus(
        EntryAddress(
            InstanceId(f"i{number}"), f"i{number}:80", DataCentre("karen"), True
        ),
        Incarnation(1),
        sequence,
        {ENDPOINT: load} if load else {},
        **changes,
    )


def test_an_entry_receives_the_load_of_all_other_entries():
    table = EntryTable(Clock())
    table.update(make_status(1, load=EndpointLoad(2, 0.5)))
    table.update(make_status(2, load=EndpointLoad(1, 0.25)))
    assert table.list_loads(InstanceId("i1")) == {ENDPOINT: EndpointLoad(1, 0.25)}
    assert table.list_loads(InstanceId("i3")) == {ENDPOINT: EndpointLoad(3, 0.75)}
    table.update(make_status(1, 2))
    assert table.list_loads(InstanceId("i3")) == {ENDPOINT: EndpointLoad(1, 0.25)}


def test_an_outdated_status_is_ignored():
    table = EntryTable(Clock())
    assert table.update(make_status(1, 2, load=EndpointLoad(1, 0.25)))
    assert not table.update(make_status(1, 1, load=EndpointLoad(9, 9.0)))
    assert table.list_loads(InstanceId("i2")) == {ENDPOINT: EndpointLoad(1, 0.25)}


def test_an_entry_that_stops_reporting_is_removed_with_its_load():
    clock = Clock()
    table = EntryTable(clock)
    table.update(make_status(1, load=EndpointLoad(1, 0.25)))
    clock.now += ENTRY_EXPIRY_SECONDS + 0.1
    table.update(make_status(2))
    table.expire()
    assert table.list_loads(InstanceId("i2")) == {}
    assert [entry.address for entry in table.addresses.list_values()] == ["i2:80"]


def test_open_sessions_are_listed_once():
    table = EntryTable(Clock())
    sessions = (SessionId("s1"), SessionId("s2"))
    table.update(make_status(1, open_sessions=sessions))
    table.update(make_status(2, open_sessions=sessions[:1]))
    assert table.list_open_sessions() == sessions


class Replica:
    """A replica's table, and what it has been told of the other one."""

    def __init__(self, name, clock):
        self.name = InstanceId(name)
        self.table = EntryTable(clock)
        self.sequence = 0
        self.acknowledged = NO_CURSOR

    def summarize(self):
        self.sequence += 1
        changes = self.table.members.list_changes(self.acknowledged)
        summary = self.table.summarize(self.name, "boot", self.sequence)
        return replace(summary, members=changes)

    def relay_to(self, other):
        self.acknowledged = other.table.merge_summary(self.summarize()).cursor


@pytest.fixture
def replicas():
    clock = Clock()
    return Replica("c1", clock), Replica("c2", clock), clock


def list_names(replica):
    return sorted(entry.instance for entry in replica.table.addresses.list_values())


def test_a_summary_adds_the_entries_and_loads_of_another_replica(replicas):
    one, two, _ = replicas
    one.table.update(make_status(1, load=EndpointLoad(2, 0.5)))
    two.table.update(make_status(2, load=EndpointLoad(1, 0.25)))
    one.relay_to(two)
    assert list_names(two) == ["i1", "i2"]
    assert two.table.list_loads(InstanceId("i2")) == {ENDPOINT: EndpointLoad(2, 0.5)}
    one.table.update(make_status(1, 2))
    one.relay_to(two)
    assert two.table.list_loads(InstanceId("i2")) == {}


def test_an_entry_that_moves_is_counted_at_one_replica(replicas):
    one, two, _ = replicas
    one.table.update(make_status(1, 1, load=EndpointLoad(2, 0.5)))
    one.relay_to(two)
    two.relay_to(one)
    two.table.update(make_status(1, 2, load=EndpointLoad(3, 0.5)))
    two.relay_to(one)
    one.relay_to(two)
    for replica in (one, two):
        assert list_names(replica) == ["i1"]
        assert replica.table.list_loads(None) == {ENDPOINT: EndpointLoad(3, 0.5)}
    # A poll that was under way meanwhile is older.
    assert not one.table.update(make_status(1, 1, load=EndpointLoad(9, 9.0)))


def test_a_lost_relay_is_made_up_for_by_the_next(replicas):
    one, two, _ = replicas
    one.table.update(make_status(1))
    one.relay_to(two)
    one.table.update(make_status(2))
    one.summarize()
    one.table.update(make_status(3))
    one.relay_to(two)
    assert list_names(two) == ["i1", "i2", "i3"]


def test_a_restarted_replica_gets_all_members_again(replicas):
    one, two, clock = replicas
    one.table.update(make_status(1))
    one.relay_to(two)
    two.table = EntryTable(clock)
    one.table.update(make_status(2))
    one.relay_to(two)
    one.relay_to(two)
    assert list_names(two) == ["i1", "i2"]


def test_the_entries_of_a_lost_replica_expire(replicas):
    one, two, clock = replicas
    one.table.update(make_status(1, load=EndpointLoad(2, 0.5)))
    one.relay_to(two)
    clock.now += SUMMARY_EXPIRY_SECONDS + 0.1
    two.table.expire()
    assert list_names(two) == []
    assert two.table.list_loads(None) == {}


REPORTS = st.lists(
    st.tuples(
        st.sampled_from(["report", "relay", "relay", "lose"]),
        st.integers(0, 1),
        st.integers(1, 4),
        st.integers(0, 3),
    ),
    max_size=60,
)


@given(REPORTS)
def test_replicas_agree_once_their_relays_arrive(steps):
    clock = Clock()
    pair = Replica("c1", clock), Replica("c2", clock)
    newest = {}
    sequence = 0
    for action, at, number, requests in steps:
        if action == "report":
            sequence += 1
            load = EndpointLoad(requests, 0.0) if requests else None
            pair[at].table.update(make_status(number, sequence, load=load))
            newest[f"i{number}"] = requests
        elif action == "relay":
            pair[at].relay_to(pair[1 - at])
        else:
            pair[at].summarize()
    for _ in range(3):
        pair[0].relay_to(pair[1])
        pair[1].relay_to(pair[0])
    expected = sum(newest.values())
    for replica in pair:
        assert list_names(replica) == sorted(newest)
        loads = replica.table.list_loads(None)
        assert sum(load.requests for load in loads.values()) == expected


def test_a_summary_states_the_lowest_level_of_its_entries(replicas):
    one, _, clock = replicas
    one.table.update(make_status(1, level=1))
    one.table.update(make_status(2, level=0))
    assert one.table.levels.find_lowest(1, clock()) == 0


def test_an_entry_that_moves_holds_the_level_back_at_one_replica_only(replicas):
    """Its old replica would otherwise hold it back after the entry's upgrade."""
    one, two, clock = replicas
    one.table.update(make_status(1, 1, level=0))
    one.relay_to(two)
    two.table.update(make_status(1, 2, level=0))
    two.relay_to(one)
    assert one.table.levels.find_lowest(1, clock()) == 1
    assert two.table.levels.find_lowest(1, clock()) == 0


def test_an_entry_that_vanished_holds_the_level_back_until_seen_elsewhere(replicas):
    one, two, clock = replicas
    one.table.update(make_status(1, 1, level=0))
    clock.now += ENTRY_EXPIRY_SECONDS + 0.1
    one.table.expire()
    assert one.table.levels.find_lowest(1, clock()) == 0
    two.table.update(make_status(1, 2, level=0))
    two.relay_to(one)
    assert one.table.levels.find_lowest(1, clock()) == 1


EVIDENCE = (VersionEvidence("plain", "v2", "r", 3, 1, 2, sent=5, rollout=LogIndex(4)),)


def count_sent(replica):
    return sum(item.requests for item in replica.table.list_evidence())


@pytest.mark.parametrize("way", ["expires", "restarts", "restarts elsewhere"])
def test_requests_of_an_entry_that_stopped_still_count(replicas, way):
    """Guards against a new version that is given again what stopped entries sent."""
    one, two, clock = replicas
    one.table.update(make_status(1, evidence=EVIDENCE))
    one.relay_to(two)
    again = replace(make_status(1), incarnation=Incarnation(2))
    match way:
        case "expires":
            clock.now += ENTRY_EXPIRY_SECONDS + 0.1
            one.table.expire()
        case "restarts":
            one.table.update(again)
        case "restarts elsewhere":
            two.table.update(again)
            two.relay_to(one)
    one.relay_to(two)
    for replica in (one, two):
        assert count_sent(replica) == 5
        # Its open requests have ended with it.
        assert sum(item.open for item in replica.table.list_evidence()) == 0
    one.table.departed.retain_rollouts({LogIndex(9)})
    one.relay_to(two)
    assert count_sent(one) == count_sent(two) == 0


@pytest.mark.parametrize("to", [0, 1], ids=["the same replica", "another one"])
def test_requests_of_an_entry_that_was_only_silent_count_once(replicas, to):
    one, two, clock = replicas
    one.table.update(make_status(1, evidence=EVIDENCE))
    one.relay_to(two)
    clock.now += ENTRY_EXPIRY_SECONDS + 0.1
    one.table.expire()
    replicas[to].table.update(make_status(1, 2, evidence=EVIDENCE))
    for _ in range(2):
        one.relay_to(two)
        two.relay_to(one)
    assert count_sent(one) == count_sent(two) == 5


def test_sessions_on_withdrawn_versions_are_relayed():
    table = EntryTable(lambda: Seconds(100.0))
    table.update(make_status(1, withdrawn_sessions=("s1",)))
    table.update(make_status(2, withdrawn_sessions=("s1", "s2")))
    other = EntryTable(lambda: Seconds(100.0))
    other.update(make_status(3, withdrawn_sessions=("s3",)))
    other.merge_summary(table.summarize(InstanceId("c1"), "b", 1))
    assert set(other.list_withdrawn_sessions()) == {"s1", "s2", "s3"}


# The sessions of an entry that stopped counted as closed, and moved to a new version.
def test_sessions_of_an_entry_that_has_stopped_remain_open_for_their_time_out():
    clock = Clock()
    table = EntryTable(clock, session_timeout_seconds=5.0)
    table.update(make_status(1, open_sessions=("s1",)))
    table.update(make_status(2, open_sessions=("s2",)))
    clock.now += ENTRY_EXPIRY_SECONDS + 0.1
    table.update(make_status(2, 2, open_sessions=("s2",)))
    table.expire()
    assert set(table.list_open_sessions()) == {"s1", "s2"}
    assert set(table.summarize(InstanceId("c1"), "b", 1).open_sessions) == {"s1", "s2"}
    clock.now += 5.0 - ENTRY_EXPIRY_SECONDS
    assert table.list_open_sessions() == ("s2",)
    table.update(make_status(1, 3))
    assert table.list_open_sessions() == ("s2",)
