"""What an entry sends, and does not send, while data centres are evacuated."""

import pytest
from core.gateway.samples import PLAIN, make_configuration, make_heartbeat, make_route
from daemon.gateway.test_forwarder import STREAM, configure, hang, list_ids, stream
from gevent import sleep
from msgspec.structs import replace

from bergamotwood_core.gateway.configuration import GatewayWorkspace, RouteKind
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.rollout import RolloutView
from bergamotwood_core.ids import DataCentre, LogIndex, ModelName, WorkspaceId
from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.gateway.settings import GatewayBounds

KAREN, EMBAKASI = DataCentre("karen"), DataCentre("embakasi")
# Of `evacuation_ms` 5000.
LEASE_SECONDS = 4.0
BOUNDS = GatewayBounds(evacuation_lease_seconds=LEASE_SECONDS)
# A refusal takes no time beside any deadline; the test machine may be busy.
AT_ONCE_SECONDS = 0.5


def answer(arrival):
    arrival.answer()


def evacuate(harness, *data_centres, index=1):
    harness.sync(evacuations=data_centres, evacuations_index=LogIndex(index))
    harness.entry.apply_reports()


def move(harness, **changes):
    """Change heartbeats, such as the data centre, by the name of the endpoint."""
    harness.heartbeats = [
        replace(heartbeat, **changes.get(heartbeat.endpoint, {}))
        for heartbeat in harness.heartbeats
    ]
    harness.sync()


def make_two(make_harness, act=answer, other=None, configuration=None):
    """Return a harness with an endpoint in each of two data centres."""
    harness = make_harness(configuration, bounds=BOUNDS, here=act, there=other or act)
    move(harness, there={"data_centre": EMBAKASI})
    return harness


def learn_entry_count(entry):
    """Apply lists of entries, without which nothing is probed."""
    now = read_clock()
    for age in (2.5, 0.0):
        entry.prober.entry_count.update(1, now - age, now - age)


def count_arrivals(harness):
    return {
        name: len(endpoint.arrivals) for name, endpoint in harness.endpoints.items()
    }


def test_new_requests_go_elsewhere_until_the_evacuation_ends(make_harness):
    harness = make_two(make_harness)
    evacuate(harness, KAREN)
    for at in range(20):
        assert harness.connect().call(id=f"q-{at}").status == 200
    assert count_arrivals(harness) == {"here": 0, "there": 20}
    evacuate(harness, EMBAKASI, index=2)
    for at in range(20, 30):
        assert harness.connect().call(id=f"q-{at}").status == 200
    assert count_arrivals(harness) == {"here": 10, "there": 20}


def test_an_older_report_does_not_end_an_evacuation(make_harness):
    """A replica that lags may answer after one that is up to date."""
    harness = make_two(make_harness)
    evacuate(harness, KAREN, index=7)
    evacuate(harness, index=5)
    assert harness.entry.control_state.evacuations == {KAREN}


def test_running_requests_and_streams_go_on(make_harness):
    released = []

    def act(arrival):
        if arrival.target.startswith("/b/"):
            sleep(0.5)
            return arrival.answer("whole")
        arrival.begin_events()
        arrival.send_events(1, 2)
        while not released:
            sleep(0.01)
        arrival.send_events(3, 4)
        arrival.end_events()

    routes = (make_route(**STREAM), make_route(name="b", path_prefix="/b/"))
    harness = make_harness(make_configuration(routes=routes), bounds=BOUNDS, one=act)
    streaming, plain = harness.connect(), harness.connect()
    streaming.send(timeout="20")
    assert list_ids(streaming.read_events(2)) == ["1", "2"]
    plain.send(path="/b/x", id="q-2")
    sleep(0.1)
    evacuate(harness, KAREN)
    reply = plain.read()
    assert (reply.status, reply.body) == (200, "whole")
    released.append(True)
    reply = streaming.read()
    assert list_ids(reply.body) == ["3", "4"]
    assert reply.is_whole
    assert len(harness.list_arrivals()) == 2


def test_a_stream_that_breaks_resumes_outside_the_evacuated_data_centre(make_harness):
    def break_off(arrival):
        arrival.begin_events()
        arrival.send_events(1, 3)
        evacuate(harness, KAREN)
        return False

    harness = make_harness(
        configure(**STREAM), bounds=BOUNDS, here=break_off, near=stream, far=stream
    )
    move(harness, far={"data_centre": EMBAKASI})
    harness.remove_endpoint("near")
    harness.remove_endpoint("far")
    reply = harness.connect().call(timeout="20")
    assert list_ids(reply.body) == ["1", "2", "3", "4", "5", "6"]
    assert reply.is_whole
    assert count_arrivals(harness) == {"here": 1, "near": 0, "far": 1}


def test_an_endpoint_evacuated_after_its_choice_gets_nothing(make_harness):
    """Guards against sends that were decided before the evacuation was known."""
    harness = make_two(make_harness, configuration=configure(max_attempts=1))
    here = harness.endpoints["here"]
    acquire = harness.entry.pool.acquire

    def acquire_and_evacuate(address, must_be_new):
        connection = acquire(address, must_be_new)
        if address == here.address:
            evacuate(harness, KAREN)
        return connection

    harness.entry.pool.acquire = acquire_and_evacuate
    # Endpoints of the entry's own data centre are cheaper, so one is chosen at last.
    for at in range(200):
        assert harness.connect().call(id=f"q-{at}").status == 200
        if harness.entry.control_state.evacuations:
            break
    assert harness.entry.control_state.evacuations == {KAREN}
    assert here.connections
    assert not here.arrivals


def test_a_service_whose_endpoints_are_all_evacuated_rejects_at_once(make_harness):
    harness = make_two(make_harness)
    evacuate(harness, KAREN, EMBAKASI)
    started_at = read_clock()
    reply = harness.connect().call()
    assert read_clock() - started_at < AT_ONCE_SECONDS
    assert reply.status == 503
    assert '"code":1308' in reply.body
    # Callers honour it up to a third of their remaining time.
    assert 0.0 < float(reply.headers["retry-after"]) <= 1.0
    assert harness.list_arrivals() == []
    counters = harness.entry.counters
    assert counters.count("evacuation_refusals_total", f'service="{PLAIN}"') == 1
    assert harness.entry.list_gauges()["evacuated_data_centres"] == 2


def test_a_model_of_evacuated_endpoints_only_is_not_chosen(make_harness):
    """Guards against a larger model for which no endpoint is left."""
    small, large = ModelName("small"), ModelName("large")

    def answer_doubtfully(arrival):
        arrival.begin_events(confidence="0.0")
        arrival.send_events(1, 2)
        arrival.end_events()

    harness = make_two(
        make_harness,
        answer_doubtfully,
        configuration=configure(**STREAM, models=(small, large)),
    )
    move(harness, here={"models": (large,)}, there={"models": (small,)})
    evacuate(harness, KAREN)
    assert harness.connect().call(model="any").status == 200
    assert count_arrivals(harness) == {"here": 0, "there": 1}
    evacuate(harness, EMBAKASI, index=2)
    assert harness.connect().call(model="any").status == 200
    assert count_arrivals(harness) == {"here": 1, "there": 1}


@pytest.mark.parametrize("key", ["key-1", None])
def test_an_entry_that_may_not_know_of_an_evacuation_sends_nothing(make_harness, key):
    """Guards against entries that lost the control group, or were paused."""
    public = make_configuration(
        routes=(make_route(requires_key=key is not None),),
        workspaces=(GatewayWorkspace(WorkspaceId("circle"), ("key-1",)),),
    )
    harness = make_two(make_harness, configuration=public)
    harness.clock_offset = LEASE_SECONDS - 0.5
    assert harness.connect().call(key=key).status == 200
    harness.clock_offset = LEASE_SECONDS + 0.5
    reply = harness.connect().call(key=key)
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0.0
    assert len(harness.list_arrivals()) == 1
    harness.sync()
    assert harness.connect().call(key=key).status == 200


def test_an_entry_that_was_paused_before_a_send_sends_nothing(make_harness):
    harness = make_harness(bounds=BOUNDS, one=answer)
    acquire = harness.entry.pool.acquire

    def acquire_and_pause(address, must_be_new):
        connection = acquire(address, must_be_new)
        harness.clock_offset += LEASE_SECONDS + 0.5
        return connection

    harness.entry.pool.acquire = acquire_and_pause
    assert harness.connect().call(key="key-1", timeout="20").status == 503
    assert harness.list_arrivals() == []


def test_without_the_setting_any_age_of_the_state_is_good_for_public_routes(
    make_harness,
):
    harness = make_harness(configure(requires_key=False), one=answer)
    harness.clock_offset = 60.0
    assert harness.connect().call(key=None).status == 200


def test_evacuated_endpoints_are_not_checked_and_their_work_goes_on(make_harness):
    def act(arrival):
        sleep(2.0)
        return stream(arrival)

    harness = make_two(make_harness, act, configuration=configure(**STREAM))
    harness.entry.placement.silent_endpoints = frozenset(harness.endpoints)
    caller = harness.connect()
    caller.send(timeout="20")
    sleep(0.1)
    evacuate(harness, KAREN, EMBAKASI)
    harness.entry.placement.silent_endpoints = frozenset(harness.endpoints)
    assert list_ids(caller.read().body) == ["1", "2", "3", "4", "5", "6"]
    assert harness.entry.liveness.checks == 0
    assert sum(endpoint.checks for endpoint in harness.endpoints.values()) == 0
    assert sum(endpoint.connections for endpoint in harness.endpoints.values()) == 1


def test_a_health_check_is_not_sent_once_its_endpoint_is_evacuated(
    make_harness, monkeypatch
):
    """Guards against an evacuation that arrives while the check connects."""
    harness = make_harness(bounds=BOUNDS, one=answer)
    may_send = iter((True, False))
    monkeypatch.setattr(harness.entry.liveness, "_may_send", lambda _: next(may_send))
    assert harness.entry.liveness.check(harness.heartbeats[0])
    sleep(0.1)
    assert harness.endpoints["one"].connections == 1
    assert harness.endpoints["one"].checks == 0


def test_probes_of_a_lost_service_leave_out_evacuated_endpoints(make_harness):
    harness = make_two(make_harness, hang)
    entry = harness.entry
    learn_entry_count(entry)
    evacuate(harness, KAREN)
    for at in range(2):
        entry.record_failed_connection(PLAIN, (f"gone-{at}", 1))
    assert entry.reach.is_lost(PLAIN)
    sleep(1.0)
    assert harness.endpoints["here"].connections == 0
    assert harness.endpoints["there"].connections >= 1
    assert not entry.reach.is_lost(PLAIN)


def test_probes_go_on_after_the_evacuation_of_all_endpoints(make_harness):
    """Guards against a service that stays lost, as nothing probes it any more."""
    harness = make_two(make_harness)
    entry = harness.entry
    learn_entry_count(entry)
    evacuate(harness, KAREN, EMBAKASI)
    for at in range(2):
        entry.record_failed_connection(PLAIN, (f"gone-{at}", 1))
    sleep(0.5)
    assert entry.reach.is_lost(PLAIN)
    assert sum(endpoint.connections for endpoint in harness.endpoints.values()) == 0
    evacuate(harness, index=2)
    sleep(0.5)
    assert not entry.reach.is_lost(PLAIN)


def make_view(outcome, share=0.0):
    rollout = ServiceRollout(PLAIN, "v2", 60.0, outcome, LogIndex(1), 0.0)
    return RolloutView(rollout, 10.0, share)


def make_rollout(make_harness, outcome):
    """Return a harness whose old version runs here only, the new one only there."""
    harness = make_two(make_harness)
    move(harness, there={"version": "v2", "data_centre": EMBAKASI})
    harness.sync(rollouts=(make_view(outcome),))
    return harness


def test_a_session_whose_version_is_evacuated_continues_on_another(make_harness):
    harness = make_rollout(make_harness, RolloutOutcome.IN_PROGRESS)
    assert harness.connect().call(session="s").status == 200
    assert count_arrivals(harness) == {"here": 1, "there": 0}
    evacuate(harness, KAREN)
    assert harness.connect().call(session="s", id="q-2").status == 200
    assert count_arrivals(harness) == {"here": 1, "there": 1}


def test_a_version_that_was_rolled_back_does_not_replace_an_evacuated_one(make_harness):
    harness = make_rollout(make_harness, RolloutOutcome.ROLLED_BACK)
    evacuate(harness, KAREN)
    assert harness.connect().call().status == 503
    assert harness.list_arrivals() == []


def test_a_completed_rollout_does_not_bypass_an_evacuation(make_harness):
    harness = make_rollout(make_harness, RolloutOutcome.COMPLETED)
    evacuate(harness, EMBAKASI)
    assert harness.connect().call().status == 200
    assert count_arrivals(harness) == {"here": 1, "there": 0}


def test_a_request_that_may_run_once_is_tried_elsewhere_unsent(make_harness):
    """An attempt that an evacuation has stopped is known not to have run."""
    route = configure(kind=RouteKind.NON_IDEMPOTENT, max_attempts=1)
    harness = make_two(make_harness, configuration=route)
    acquire = harness.entry.pool.acquire

    def acquire_and_evacuate(address, must_be_new):
        connection = acquire(address, must_be_new)
        if not harness.entry.control_state.evacuations:
            at_here = address == harness.endpoints["here"].address
            evacuate(harness, KAREN if at_here else EMBAKASI)
        return connection

    harness.entry.pool.acquire = acquire_and_evacuate
    assert harness.connect().call("POST").status == 200
    assert len(harness.list_arrivals()) == 1


def test_the_heartbeat_of_a_new_endpoint_does_not_open_its_data_centre(make_harness):
    harness = make_two(make_harness)
    evacuate(harness, KAREN)
    started = harness.endpoints["here"]
    harness.heartbeats.append(make_heartbeat("new", address=started.address))
    harness.sync()
    for at in range(10):
        assert harness.connect().call(id=f"q-{at}").status == 200
    assert not started.arrivals
