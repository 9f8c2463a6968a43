"""Sound endpoints that stop for about a second now and then, and go on."""

import pytest
from core.gateway.samples import make_configuration, make_route
from gevent import joinall, sleep, spawn

from bergamotwood_core.gateway.configuration import RouteKind
from bergamotwood_core.gateway.health import FAILING_RATE
from bergamotwood_core.ids import EndpointId, Incarnation

PAUSES = (0.5, 1.0, 1.5)


def make_config(kind, **changes):
    values = {"timeout_seconds": 10.0, "max_attempts": 3, **changes}
    return make_configuration(routes=(make_route(kind=kind, **values),))


def find_health(harness, name):
    return harness.entry.health.find(EndpointId(name), Incarnation(1))


def test_a_stream_goes_on_after_pauses_at_the_same_endpoint(make_harness):
    def pause_between_events(arrival):
        sleep(PAUSES[0])
        arrival.begin_events()
        for at, seconds in enumerate(PAUSES, 1):
            arrival.send_events(at, at)
            sleep(seconds)
        arrival.end_events()

    config = make_config(RouteKind.STREAMING, resumable=True, event_gap_seconds=0.2)
    harness = make_harness(config, one=pause_between_events, two=pause_between_events)
    reply = harness.connect().call("POST", timeout="9")
    assert reply.is_whole
    assert reply.body.count("data:") == len(PAUSES)
    assert len(harness.list_arrivals()) == 1


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING])
def test_requests_wait_for_an_endpoint_that_pauses(make_harness, kind):
    pauses = iter(PAUSES * 2)

    def answer_late(arrival):
        sleep(next(pauses))
        arrival.answer("id: 1\ndata: fine\n\n")

    harness = make_harness(make_config(kind), one=answer_late, two=answer_late)
    for at in range(len(PAUSES)):
        assert harness.connect().call("POST", id=f"q-{at}", timeout="5").status == 200
    assert len(harness.list_arrivals()) == len(PAUSES)
    assert harness.entry.suspects.list_crashes(harness.read_time()) == ()


def test_a_request_waits_where_no_other_endpoint_is_left(make_harness):
    def pause(arrival):
        sleep(1.2)
        arrival.answer()

    harness = make_harness(make_config(RouteKind.IDEMPOTENT), one=pause)
    assert harness.connect().call(timeout="5").status == 200
    assert len(harness.list_arrivals()) == 1


def test_a_pause_under_many_requests_does_not_make_an_endpoint_fail(make_harness):
    def pause(arrival):
        sleep(1.2)
        arrival.answer()

    endpoints = dict.fromkeys(("one", "two", "three"), pause)
    harness = make_harness(make_config(RouteKind.IDEMPOTENT), **endpoints)
    calls = [
        spawn(harness.connect().call, id=f"q-{at}", timeout="5") for at in range(30)
    ]
    joinall(calls)
    assert {call.value.status for call in calls} == {200}
    for name in harness.endpoints:
        assert find_health(harness, name).failure_rate <= FAILING_RATE
    assert harness.entry.suspects.list_crashes(harness.read_time()) == ()


# The only endpoint's pause ended its stream 2.4 s after the last event.
def test_a_stream_outlasts_a_long_pause_where_nothing_else_could_go_on(make_harness):
    def pause(arrival):
        arrival.begin_events()
        arrival.send_events(1, 1)
        sleep(4.0)
        arrival.send_events(2, 2)
        arrival.end_events()

    config = make_config(RouteKind.STREAMING, resumable=True, event_gap_seconds=0.2)
    harness = make_harness(config, one=pause)
    reply = harness.connect().call("POST", timeout="9")
    assert reply.is_whole
    assert reply.body.count("data:") == 2
    assert len(harness.list_arrivals()) == 1


def test_a_stream_of_an_endpoint_that_answers_no_check_is_given_up(make_harness):
    def stall(arrival):
        arrival.begin_events()
        arrival.send_events(1, 1)
        harness.endpoints["one"].is_dark = True
        sleep(8.0)

    config = make_config(RouteKind.STREAMING, resumable=True, event_gap_seconds=0.2)
    harness = make_harness(config, one=stall)
    started_at = harness.read_time()
    assert not harness.connect().call("POST", timeout="9").is_whole
    assert harness.read_time() - started_at < 5.0
