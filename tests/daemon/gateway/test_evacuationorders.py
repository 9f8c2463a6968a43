"""Orders to evacuate data centres, from the operator's call to the entries."""

import pytest
from core.gateway.samples import make_configuration, make_route
from daemon.gateway.fleet import DirectChannel, Fleet, FleetEntry, ModelServer
from daemon.gateway.harness import Caller
from daemon.gateway.test_replica import send_report
from gevent import sleep, spawn

from bergamotwood_core.errors import Code, RefusedError, ReplicationError, RequestError
from bergamotwood_core.gateway.configuration import CallerLimits, RouteKind
from bergamotwood_core.gateway.state_machine import BeginEvacuation
from bergamotwood_core.ids import DataCentre, InstanceId, LogIndex
from bergamotwood_core.messages import Address
from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.gateway import channels
from bergamotwood_daemon.gateway.callerconnection import CallerDisconnectedError
from bergamotwood_daemon.gateway.message import HttpResponse
from bergamotwood_daemon.gateway.peermessages import SYNC_REPLY
from bergamotwood_daemon.gateway.server import HttpServer
from bergamotwood_daemon.gateway.settings import GatewayBounds

KAREN, EMBAKASI, KILIMANI = map(DataCentre, ("karen", "embakasi", "kilimani"))
# Bound of the platform, `evacuation_ms`: from the acknowledgement to its effect.
EVACUATION_SECONDS = 5.0
# Bound of the platform, `ack_timeout_ms`: within it the operator repeats an order.
ACK_SECONDS = 5.0
BOUNDS = GatewayBounds(
    evacuation_lease_seconds=0.8 * EVACUATION_SECONDS,
    evacuation_acknowledge_seconds=0.4 * ACK_SECONDS,
)
STREAMING = make_route(
    kind=RouteKind.STREAMING,
    max_attempts=3,
    resumable=True,
    event_gap_seconds=0.5,
    timeout_seconds=8.0,
    latency_objective_seconds=2.0,
)


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    monkeypatch.setattr(channels, "PeerChannel", DirectChannel)
    fleet = Fleet(tmp_path, (KAREN, EMBAKASI, KILIMANI), bounds=BOUNDS)
    parts = fleet.parts = []
    yield fleet
    for part in parts:
        part.stop()
    fleet.stop()


@pytest.fixture
def upgraded(fleet):
    """Return a fleet whose group has the level of evacuations."""
    fleet.raise_level()
    fleet.retry(lambda: fleet.find(leads=True)[1].replace_configuration(b"7"))
    return fleet


def serve(fleet, entries=2, places=(KAREN, EMBAKASI)):
    """Start entries and a model server in each place; wait until all know all."""
    fleet.dialect.configuration = make_configuration(routes=(STREAMING,))
    fleet.retry(lambda: fleet.find(leads=True)[1].replace_configuration(b"8"))
    serving = [FleetEntry(fleet, number) for number in range(1, entries + 1)]
    servers = [
        ModelServer(fleet, f"m-{place}", data_centre=place, answer_seconds=0.2)
        for place in places
    ]
    fleet.parts += [*serving, *servers]
    for item in serving:
        state = item.entry.control_state
        fleet.wait_for(
            lambda state=state: (
                state.number == 8
                and len(state.heartbeats) == len(places)
                and len(state.entries) == entries
            )
        )
    return serving, servers


def list_evacuations(entries):
    return {item.entry.control_state.evacuations for item in entries}


def order(fleet, action, data_centre):
    """Give an order to any replica, repeatedly as operators do; return the time."""
    at = 0
    until = read_clock() + ACK_SECONDS
    while True:
        replicas = list(fleet.replicas.values())
        try:
            getattr(replicas[at % len(replicas)], action)(data_centre)
            return read_clock()
        except ReplicationError:
            assert read_clock() < until, "not acknowledged in time"
            at += 1


def test_an_order_at_any_replica_reaches_all_entries_in_time(upgraded):
    entries, servers = serve(upgraded)
    here, there = servers
    for at in range(6):
        assert entries[at % 2].call(method="POST", id=f"a-{at}").status == 200
    for seed, data_centre, begins in (
        (0, KAREN, True),
        (1, KAREN, False),
        (2, EMBAKASI, True),
    ):
        replica = upgraded.replicas[upgraded.seeds[seed]]
        action = replica.begin_evacuation if begins else replica.end_evacuation
        outcome = upgraded.retry(lambda act=action, place=data_centre: act(place))
        assert outcome.changed
        acknowledged_at = read_clock()
        wanted = {frozenset({data_centre} if begins else ())}
        upgraded.wait_for(lambda wanted=wanted: list_evacuations(entries) == wanted)
        assert read_clock() - acknowledged_at < EVACUATION_SECONDS
    for at in range(10):
        assert entries[at % 2].call(method="POST", id=f"b-{at}").status == 200
    assert not any(name.startswith("b-") for name, _ in there.ran)
    assert sum(name.startswith("b-") for name, _ in here.ran) == 10


def test_a_stream_that_runs_goes_on_and_no_request_comes_late(upgraded):
    entries, servers = serve(upgraded)
    for server in servers:
        server._answer_seconds = 2.0
    streams = [
        spawn(entries[at % 2].call, method="POST", id=f"s-{at}", timeout="8")
        for at in range(8)
    ]
    sleep(0.5)
    assert servers[0].ran
    acknowledged_at = order(upgraded, "begin_evacuation", KAREN)
    calls = []
    while read_clock() < acknowledged_at + EVACUATION_SECONDS + 1.0:
        at = len(calls)
        calls.append(spawn(entries[at % 2].call, method="POST", id=f"n-{at}"))
        sleep(0.02)
    bound = acknowledged_at + EVACUATION_SECONDS
    assert not [at for at, _ in servers[0].arrived if at > bound]
    assert [at for at, _ in servers[1].arrived if at > bound]
    for caller in streams:
        reply = caller.get(timeout=10.0)
        assert (reply.status, reply.is_whole) == (200, True)
        assert reply.body.count("id: ") == 9
    ran = [name for server in servers for name, _ in server.ran]
    assert sorted(name for name in ran if name.startswith("s-")) == [
        f"s-{at}" for at in range(8)
    ]
    for caller in calls:
        caller.kill(block=False)


def test_repeated_orders_are_acknowledged_at_every_replica(upgraded):
    for _ in range(2):
        for seed in upgraded.seeds:
            replica = upgraded.replicas[seed]
            upgraded.retry(lambda replica=replica: replica.begin_evacuation(KAREN))
    (record,) = upgraded.find(leads=True)[1]._machine.state.evacuations
    assert record.is_active
    for seed in upgraded.seeds:
        replica = upgraded.replicas[seed]
        upgraded.retry(lambda replica=replica: replica.end_evacuation(KAREN))
    (ended,) = upgraded.find(leads=True)[1]._machine.state.evacuations
    assert not ended.is_active
    assert ended.ended_index > record.index


def test_an_unknown_data_centre_is_named_and_changes_nothing(upgraded):
    replica = upgraded.find(leads=False)[1]
    for action in (replica.begin_evacuation, replica.end_evacuation):
        with pytest.raises(RequestError, match="nowhere; there are embakasi") as caught:
            action(DataCentre("nowhere"))
        assert caught.value.status == 404
    assert upgraded.find(leads=True)[1]._machine.state.evacuations == []


def test_a_deployment_without_the_setting_knows_no_evacuations(tmp_path, monkeypatch):
    monkeypatch.setattr(channels, "PeerChannel", DirectChannel)
    fleet = Fleet(tmp_path, (KAREN, KAREN, KAREN))
    try:
        with pytest.raises(RequestError) as caught:
            fleet.find(leads=True)[1].begin_evacuation(KAREN)
        assert caught.value.status == 404
    finally:
        fleet.stop()


def test_an_order_before_the_level_is_raised_is_rejected_until_then(fleet):
    """Guards against a command that replicas of the older build cannot read."""
    replica = fleet.find(leads=False)[1]
    with pytest.raises(RefusedError) as caught:
        fleet.retry(lambda: replica.begin_evacuation(KAREN))
    assert caught.value.code is Code.LEVEL_NOT_IN_EFFECT
    assert caught.value.status == 503
    assert caught.value.retry_after > 0.0
    fleet.raise_level()
    assert fleet.retry(lambda: replica.begin_evacuation(KAREN)).changed


def test_two_evacuations_overlap(upgraded):
    entries, _ = serve(upgraded)
    order(upgraded, "begin_evacuation", KAREN)
    order(upgraded, "begin_evacuation", EMBAKASI)
    upgraded.wait_for(
        lambda: list_evacuations(entries) == {frozenset((KAREN, EMBAKASI))}
    )
    started_at = read_clock()
    reply = entries[0].call(method="POST")
    assert reply.status == 503
    assert '"code":1308' in reply.body
    assert read_clock() - started_at < 0.5
    order(upgraded, "end_evacuation", KAREN)
    upgraded.wait_for(lambda: list_evacuations(entries) == {frozenset((EMBAKASI,))})
    assert entries[0].call(method="POST", id="q-2").status == 200
    (end,) = entries[0].entry.control_state.evacuation_ends.values()
    assert end.data_centre == KAREN


def test_a_restart_of_all_replicas_keeps_the_evacuation(upgraded):
    entries, servers = serve(upgraded)
    order(upgraded, "begin_evacuation", KAREN)
    order(upgraded, "begin_evacuation", KILIMANI)
    order(upgraded, "end_evacuation", KILIMANI)
    for seed in upgraded.seeds:
        upgraded.kill(seed)
    sleep(0.5)
    for seed in upgraded.seeds:
        upgraded.start(seed, forms_group=False)
    started = FleetEntry(upgraded, 9)
    upgraded.parts.append(started)
    before = len(servers[0].ran)
    everyone = [*entries, started]
    served = 0
    for at in range(200):
        served += everyone[at % 3].call(method="POST", id=f"r-{at}").status == 200
        if served >= 20:
            break
        sleep(0.05)
    assert served >= 20
    assert len(servers[0].ran) == before
    states = [replica._machine.state for replica in upgraded.replicas.values()]
    upgraded.wait_for(lambda: all(len(state.evacuations) == 2 for state in states))
    assert list_evacuations(everyone) == {frozenset({KAREN})}
    for item in everyone:
        assert item.entry.control_state.evacuation_ends.keys() == {KILIMANI}


def test_a_leader_lost_with_its_disk_loses_no_acknowledged_order(upgraded):
    order(upgraded, "begin_evacuation", KAREN)
    leader, _ = upgraded.find(leads=True)
    upgraded.kill(leader)
    for path in (upgraded.folder / leader.replace(":", "-")).rglob("*"):
        if path.is_file():
            path.unlink()
    # Given while there is no leader.
    order(upgraded, "begin_evacuation", EMBAKASI)
    upgraded.start(leader, forms_group=False)
    wiped = upgraded.replicas[leader]
    upgraded.wait_for(lambda: len(wiped._machine.state.evacuations) == 2)
    assert all(item.is_active for item in wiped._machine.state.evacuations)


def test_an_order_during_an_election_is_answered_with_one_call(upgraded):
    """Guards against an order that is refused because the leader changes."""
    leader, _ = upgraded.find(leads=True)
    follower = upgraded.find(leads=False)[1]
    upgraded.kill(leader)
    assert follower.begin_evacuation(KAREN).changed


def test_a_late_copy_of_a_begin_does_not_follow_the_finish(upgraded):
    """An operator repeated a call whose first copy was on its way to the leader."""
    delayed = BeginEvacuation(KAREN, 1.0, LogIndex(0))
    order(upgraded, "begin_evacuation", KAREN)
    order(upgraded, "end_evacuation", KAREN)
    leader = upgraded.find(leads=True)[1]
    assert not upgraded.retry(lambda: leader._leader.commit(delayed)).accepted
    assert not any(item.is_active for item in leader._machine.state.evacuations)


def test_an_order_that_the_operator_has_given_up_does_not_follow_later(upgraded):
    """Guards against a replica that was paused with the call, or had no leader."""
    asked, follower = upgraded.find(leads=False)
    ends = []

    def handle(exchange):
        try:
            follower.begin_evacuation(KAREN)
        except CallerDisconnectedError:
            ends.append("given up")
            raise
        exchange.answer(HttpResponse(200, []))

    server = HttpServer(Address("127.0.0.1", 0), handle, CallerLimits, read_clock)
    server.start()
    others = [
        seed for seed in upgraded.seeds if upgraded.replicas[seed] is not follower
    ]
    for seed in others:
        upgraded.kill(seed)
    caller = Caller(server.port)
    caller.send("POST")
    sleep(0.3)
    caller.close()
    upgraded.wait_for(lambda: ends)
    for seed in others:
        upgraded.start(seed, forms_group=False)
    order(upgraded, "end_evacuation", KAREN)
    sleep(1.0)
    server.stop_listening()
    for replica in upgraded.replicas.values():
        assert replica._machine.state.evacuations == []


def test_orders_in_quick_succession_are_applied_in_order(upgraded):
    for at in range(10):
        for action in ("begin_evacuation", "end_evacuation"):
            replica = upgraded.replicas[upgraded.seeds[at % 3]]
            upgraded.retry(
                lambda replica=replica, action=action: getattr(replica, action)(KAREN)
            )
            (record,) = upgraded.find(leads=True)[1]._machine.state.evacuations
            assert record.is_active == (action == "begin_evacuation")


def test_an_entry_that_knows_of_an_evacuation_later_declines_a_relayed_request(
    upgraded,
):
    entries, servers = serve(upgraded, entries=3)
    first, second, third = entries
    # The second one is not told of the evacuation.
    second.entry.poller.stop()
    order(upgraded, "begin_evacuation", KAREN)
    upgraded.wait_for(lambda: list_evacuations((first, third)) == {frozenset({KAREN})})
    key = (InstanceId("gone"), 1)
    for at in range(2):
        first.entry.record_failed_connection("plain", (f"{key}-{at}", 1))
    first.entry.prober.stop()
    # It keeps listing the second one, which no replica hears any more.
    first.entry.poller.stop()
    calls = [
        spawn(first.call, method="POST", id=f"x-{at}", timeout="3") for at in range(20)
    ]
    assert {caller.get(timeout=10.0).status for caller in calls} == {200}
    counters = first.entry.counters
    assert counters.count("relays_total", 'result="full"') > 0
    assert counters.count("relays_total", 'result="ok"') == 20
    assert not any(name.startswith("x-") for name, _ in servers[0].ran)


def test_an_entry_of_an_older_build_is_not_answered_at_once(upgraded):
    """Guards against a storm of polls by entries that report no index."""
    order(upgraded, "begin_evacuation", KAREN)
    leader = upgraded.find(leads=True)[1]
    reply = SYNC_REPLY.decode(send_report(leader, 1))
    assert reply.evacuations == (KAREN,)
    started_at = read_clock()
    send_report(leader, 1, 0.6, reply, configuration=7)
    assert read_clock() - started_at >= 0.6
