import pytest
from core.gateway.samples import PLAIN, make_configuration, make_heartbeat, make_route
from daemon.gateway.fleet import DirectChannel, Fleet
from gevent import Timeout, sleep, spawn
from msgspec.structs import replace

from bergamotwood_core.errors import (
    Code,
    RefusedError,
    ReplicationError,
    RequestError,
)
from bergamotwood_core.gateway.changefeed import NO_CURSOR
from bergamotwood_core.gateway.levels import OWN_LEVEL
from bergamotwood_core.gateway.load import EndpointLoad
from bergamotwood_core.gateway.members import EntryAddress
from bergamotwood_core.gateway.orders import RolloutOutcome
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    InstanceId,
    Sequence,
    SessionId,
)
from bergamotwood_core.states import EndpointState
from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.gateway import channels
from bergamotwood_daemon.gateway.peermessages import (
    ENCODER,
    SYNC_REPLY,
    Cursors,
    EntryStatus,
    SyncRequest,
)


@pytest.fixture
def data_centres():
    return ("karen", "karen", "karen")


@pytest.fixture
def fleet(tmp_path, monkeypatch, data_centres):
    monkeypatch.setattr(channels, "PeerChannel", DirectChannel)
    fleet = Fleet(tmp_path, data_centres)
    yield fleet
    fleet.stop()


def test_a_configuration_sent_to_a_follower_reaches_all_replicas(fleet):
    control_state = fleet.add_entry()
    _, follower = fleet.find(leads=False)
    with pytest.raises(RefusedError):
        fleet.retry(follower.read_configuration)
    assert fleet.retry(lambda: follower.replace_configuration(b"7")).changed
    assert not fleet.retry(lambda: follower.replace_configuration(b"5")).changed
    for replica in fleet.replicas.values():
        assert fleet.retry(replica.read_configuration) == b"7"
    fleet.wait_for(lambda: control_state.number == 7)
    assert control_state.age < 2.0


def test_an_invalid_configuration_is_refused_and_changes_nothing(fleet):
    _, leader = fleet.find(leads=True)
    routes = (make_route(timeout_seconds=0.0), make_route())
    fleet.dialect.configuration = make_configuration(routes=routes)
    with pytest.raises(RequestError, match="time-out") as caught:
        leader.replace_configuration(b"9")
    assert "2 routes" in caught.value.detail
    assert caught.value.code is Code.TICKET_INVALID
    with pytest.raises(RefusedError):
        fleet.retry(leader.read_configuration)


def test_an_acknowledged_departure_reaches_every_entry(fleet):
    fleet.retry(lambda: fleet.find(leads=True)[1].replace_configuration(b"7"))
    control_states = [fleet.add_entry() for _ in range(3)]
    seeds = list(fleet.replicas)
    fleet.replicas[seeds[0]].record_heartbeat(make_heartbeat())
    endpoint = EndpointId("e-1")
    fleet.wait_for(
        lambda: all(
            endpoint in control_state.heartbeats for control_state in control_states
        )
    )
    leaving = make_heartbeat(sequence=Sequence(2), state=EndpointState.LEAVING)
    fleet.retry(lambda: fleet.replicas[seeds[1]].record_heartbeat(leaving))
    fleet.wait_for(
        lambda: (
            not any(
                endpoint in control_state.heartbeats for control_state in control_states
            )
        )
    )
    fleet.replicas[seeds[2]].record_heartbeat(make_heartbeat(sequence=Sequence(3)))
    sleep(0.3)
    assert not any(
        endpoint in control_state.heartbeats for control_state in control_states
    )


def test_entries_list_each_other_until_one_stops_reporting(fleet):
    fleet.retry(lambda: fleet.find(leads=True)[1].replace_configuration(b"7"))
    first, second = fleet.add_entry(), fleet.add_entry()
    fleet.wait_for(lambda: len(first.entries) == len(second.entries) == 2)
    fleet.pollers.pop().stop()
    fleet.wait_for(lambda: len(first.entries) == 1)


def send_report(
    replica,
    number,
    hold_seconds=0.0,
    reply=None,
    configuration=-1,
    open_sessions=(),
):
    """Report as entry `number` that has an earlier reply; return the encoded one."""
    status = EntryStatus(
        EntryAddress(InstanceId(f"127.0.0.1:{number}"), f"e{number}:80", "karen", True),
        Incarnation(1),
        send_report.sequence,
        {EndpointId(f"e-{at}"): EndpointLoad(2, 0.125) for at in range(10)},
        open_sessions=open_sessions,
        level=OWN_LEVEL,
    )
    send_report.sequence += 1
    cursors = Cursors()
    if reply is not None:
        cursors = Cursors(
            reply.endpoints.cursor, reply.entries.cursor, reply.replicas.cursor
        )
    boot = reply.boot if reply is not None else ""
    index = reply.suspensions_index if reply is not None else -1
    request = SyncRequest(status, configuration, boot, cursors, hold_seconds, index)
    return replica.handle_poll(ENCODER.encode(request))


send_report.sequence = 1


def test_an_entry_is_not_sent_unchanged_state_again(fleet):
    """The size of a reply must not grow with the number of entries in the fleet."""
    _, leader = fleet.find(leads=True)
    for number in range(1, 3):
        send_report(leader, number)
    reply = SYNC_REPLY.decode(send_report(leader, 1))
    small_fleet_bytes = len(send_report(leader, 1, reply=reply))
    for number in range(3, 100):
        send_report(leader, number)
    reply = SYNC_REPLY.decode(send_report(leader, 1))
    assert len(reply.entries.values) == 99
    answer = send_report(leader, 1, reply=reply)
    assert SYNC_REPLY.decode(answer).entries is None
    assert SYNC_REPLY.decode(answer).loads["e-1"].requests == 2 * 98
    # Larger numbers take a few more bytes.
    assert len(answer) < 1.5 * small_fleet_bytes


def test_an_entry_that_joins_costs_the_others_a_constant(fleet):
    _, leader = fleet.find(leads=True)
    sizes = []
    for number in range(1, 200):
        reply = SYNC_REPLY.decode(send_report(leader, 1))
        send_report(leader, number + 1)
        if number in (10, 190):
            sizes.append(len(send_report(leader, 1, reply=reply)))
    assert sizes[1] < 1.2 * sizes[0]


def test_entries_that_join_wake_no_waiting_poll(fleet):
    _, leader = fleet.find(leads=True)
    reply = SYNC_REPLY.decode(send_report(leader, 1))
    started_at = read_clock()
    waiting = spawn(send_report, leader, 1, 0.6, reply)
    for number in range(2, 10):
        sleep(0.02)
        send_report(leader, number)
    assert len(SYNC_REPLY.decode(waiting.get()).entries.values) == 8
    assert read_clock() - started_at >= 0.6


# The other entries learned of a new session up to a second later, and moved it.
@pytest.mark.parametrize("reports_to_leader", [True, False])
def test_a_session_that_begins_reaches_the_other_entries_at_once(
    fleet, reports_to_leader
):
    _, leader = fleet.find(leads=True)
    _, follower = fleet.find(leads=False)
    first = SYNC_REPLY.decode(send_report(leader, 1))
    send_report(leader, 1, 0.1, first)
    waiting = spawn(send_report, leader, 1, 2.0, first)
    sleep(0.05)
    started_at = read_clock()
    replica = leader if reports_to_leader else follower
    sessions = (SessionId("s-1"),)
    send_report(replica, 2, open_sessions=sessions)
    assert SYNC_REPLY.decode(waiting.get()).open_sessions == sessions
    assert read_clock() - started_at < 0.6


def test_a_session_that_an_entry_knows_wakes_no_poll(fleet):
    _, leader = fleet.find(leads=True)
    sessions = (SessionId("s-1"),)
    first = SYNC_REPLY.decode(send_report(leader, 1))
    send_report(leader, 2, open_sessions=sessions)
    reply = SYNC_REPLY.decode(send_report(leader, 1, 0.1, first))
    assert reply.open_sessions == sessions
    started_at = read_clock()
    waiting = spawn(send_report, leader, 1, 0.6, first)
    sleep(0.05)
    send_report(leader, 3, open_sessions=sessions)
    waiting.get()
    assert read_clock() - started_at >= 0.6


def test_endpoint_changes_in_quick_succession_wake_a_poll_once(fleet):
    _, leader = fleet.find(leads=True)
    reply = SYNC_REPLY.decode(send_report(leader, 1))
    waiting = spawn(send_report, leader, 1, 2.0, reply)
    sleep(0.05)
    started_at = read_clock()
    for number in range(20):
        leader.record_heartbeat(make_heartbeat(f"e-{number}", address=f"a:{number}"))
    assert len(SYNC_REPLY.decode(waiting.get()).endpoints.values) == 20
    assert read_clock() - started_at < 0.5


@pytest.mark.parametrize("data_centres", [("karen", "embakasi", "kilimani")])
def test_entries_poll_the_replica_of_their_data_centre(fleet):
    states = [fleet.add_entry(DataCentre("embakasi")) for _ in range(6)]
    home, away = fleet.seeds[1], (fleet.seeds[0], fleet.seeds[2])
    fleet.wait_for(lambda: len(fleet.replicas[home].entries.members) == 6)
    fleet.wait_for(
        lambda: not any(len(fleet.replicas[seed].entries.members) for seed in away)
    )
    for seed in fleet.seeds:
        fleet.wait_for(
            lambda seed=seed: len(fleet.replicas[seed].entries.addresses) == 6
        )
    fleet.kill(home)
    fleet.wait_for(
        lambda: sum(len(fleet.replicas[seed].entries.members) for seed in away) == 6
    )
    fleet.wait_for(lambda: all(state.age < 1.0 for state in states))


def test_a_restarted_replica_learns_the_endpoints_before_their_next_heartbeats(fleet):
    seeds = list(fleet.replicas)
    fleet.replicas[seeds[0]].record_heartbeat(make_heartbeat())
    for seed in seeds:
        fleet.wait_for(lambda seed=seed: len(fleet.replicas[seed].directory) == 1)
    sleep(0.5)
    for seed in seeds:
        fleet.kill(seed)
        fleet.start(seed)
        with Timeout(2.0):
            while not len(fleet.replicas[seed].directory):
                sleep(0.02)


# Restarted one after the other, replicas told entries that there was no endpoint.
def test_a_restarted_replica_leaves_entries_the_endpoints_that_they_have(fleet):
    seeds = list(fleet.replicas)
    fleet.replicas[seeds[0]].record_heartbeat(make_heartbeat())
    fleet.wait_for(lambda: len(fleet.replicas[seeds[1]].directory) == 1)
    known = SYNC_REPLY.decode(send_report(fleet.replicas[seeds[1]], 1))
    assert len(known.endpoints.values) == 1
    fleet.kill(seeds[0])
    fleet.start(seeds[0])
    restarted = fleet.replicas[seeds[0]]
    reply = SYNC_REPLY.decode(send_report(restarted, 1, reply=known))
    assert reply.endpoints is reply.entries is None
    # One that has started knows nothing yet, and is told what there is.
    fresh = SYNC_REPLY.decode(send_report(restarted, 2))
    assert fresh.endpoints is not None
    started_at = read_clock()
    forgotten = replace(
        known,
        boot=reply.boot,
        endpoints=replace(known.endpoints, cursor=NO_CURSOR),
        entries=replace(known.entries, cursor=NO_CURSOR),
    )
    for _ in range(20):
        reply = SYNC_REPLY.decode(send_report(restarted, 1, 0.4, forgotten))
        if reply.endpoints is not None:
            break
    assert len(reply.endpoints.values) == 1
    assert read_clock() - started_at < 2.0


def test_committed_state_survives_losing_the_leader_and_its_disk(fleet):
    control_state = fleet.add_entry()
    leader, replica = fleet.find(leads=True)
    fleet.retry(lambda: replica.replace_configuration(b"7"))
    fleet.retry(lambda: replica.begin_rollout(PLAIN, "v2", 60.0))
    fleet.kill(leader)
    for path in (fleet.folder / leader.replace(":", "-")).rglob("*"):
        if path.is_file():
            path.unlink()
    fleet.start(leader, forms_group=False)
    wiped = fleet.replicas[leader]
    assert fleet.retry(wiped.read_configuration) == b"7"
    rollout = fleet.retry(lambda: wiped.find_rollout(PLAIN))
    assert (rollout.target, rollout.outcome) == ("v2", RolloutOutcome.IN_PROGRESS)
    fleet.wait_for(lambda: wiped.group.is_voter)
    fleet.wait_for(lambda: control_state.number == 7 and control_state.age < 1.0)


def test_writes_and_reads_fail_without_a_majority(fleet):
    _, leader = fleet.find(leads=True)
    fleet.retry(lambda: leader.replace_configuration(b"7"))
    followers = [s for s, r in fleet.replicas.items() if not r.group.is_leader]
    for seed in followers:
        fleet.kill(seed)
    with pytest.raises(ReplicationError):
        leader.replace_configuration(b"8")
    with pytest.raises(ReplicationError):
        leader.read_configuration()


# One heartbeat with a number beyond 64 bits failed every poll of every entry.
def test_a_heartbeat_that_cannot_be_encoded_stops_no_poll(fleet):
    control_states = [fleet.add_entry() for _ in range(2)]
    for at, replica in enumerate(fleet.replicas.values()):
        bad = make_heartbeat(f"bad-{at}", address=f"10.9.0.{at}:80", sequence=2**127)
        replica.record_heartbeat(bad)
        good = make_heartbeat(f"good-{at}", address=f"10.8.0.{at}:80")
        replica.record_heartbeat(good)
    fleet.retry(lambda: fleet.find(leads=True)[1].replace_configuration(b"7"))
    wanted = {f"good-{at}" for at in range(3)}
    fleet.wait_for(
        lambda: all(
            state.number == 7 and set(state.heartbeats) == wanted
            for state in control_states
        )
    )


# A heartbeat of another writer took the address and the id of an endpoint.
def test_a_heartbeat_of_an_unknown_service_takes_nothing_from_an_endpoint(fleet):
    control_state = fleet.add_entry()
    fleet.retry(lambda: fleet.find(leads=True)[1].replace_configuration(b"7"))
    _, leader = fleet.find(leads=True)
    good = make_heartbeat(incarnation=Incarnation(1))
    leader.record_heartbeat(good)
    fleet.wait_for(lambda: good.endpoint in control_state.heartbeats)
    for endpoint in (good.endpoint, EndpointId("other")):
        leader.record_heartbeat(
            make_heartbeat(
                endpoint, service="of another system", incarnation=Incarnation(9)
            )
        )
    sleep(0.5)
    assert control_state.heartbeats[good.endpoint] == good
    newer = make_heartbeat(sequence=Sequence(2), version="v9")
    leader.record_heartbeat(newer)
    fleet.wait_for(lambda: control_state.heartbeats[good.endpoint] == newer)
