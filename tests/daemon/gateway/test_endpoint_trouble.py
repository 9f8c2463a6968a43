"""Endpoints that leave, ask for a pause, stall, or send bytes without end."""

from time import monotonic

import h11
import pytest
from core.gateway.samples import make_configuration, make_route
from daemon.gateway.harness import make_complete
from gevent import sleep

from bergamotwood_core.gateway.configuration import RouteKind
from bergamotwood_daemon.gateway import reader as reader_module
from bergamotwood_daemon.gateway.attempt import Attempt

PLAIN_ROUTE = make_route(requires_key=False, max_attempts=3)
STREAM_ROUTE = make_route(
    requires_key=False,
    kind=RouteKind.STREAMING,
    event_gap_seconds=0.1,
    resumable=True,
    max_attempts=3,
)
# Time by which an exchange has to be over after its deadline.
SLACK_SECONDS = 0.5


def configure(route):
    return make_configuration(routes=(route,))


def answer(arrival):
    arrival.answer()


def press(send, seconds=8.0):
    """Call `send` until it fails or the time is over."""
    end = monotonic() + seconds
    try:
        while monotonic() < end:
            send()
            sleep(0.0)
    except OSError:
        return
    pytest.fail("the gateway kept reading")


def test_a_leaving_endpoint_gets_no_further_request(make_harness):
    harness = make_harness(
        configure(PLAIN_ROUTE),
        one=lambda arrival: arrival.answer(leaving="1"),
        two=lambda arrival: arrival.answer(leaving="1"),
    )
    caller = harness.connect()
    replies = [caller.call(id=f"q-{at}").status for at in range(4)]
    assert replies == [200, 200, 503, 503]
    assert len(harness.list_arrivals()) == 2
    # The directory may lose and regain the endpoint meanwhile.
    harness.sync(endpoints=make_complete(()))
    harness.entry.maintain()
    harness.sync()
    assert caller.call(id="q-5").status == 503


def test_a_leave_notice_is_reported_to_the_control_group(make_harness):
    harness = make_harness(
        configure(PLAIN_ROUTE), one=lambda arrival: arrival.answer(leaving="1")
    )
    harness.connect().call()
    (leaving,) = harness.entry._make_status().leaving
    assert (leaving.endpoint, leaving.incarnation) == ("one", 1)


def test_an_endpoint_that_asks_for_a_pause_gets_none_until_it_ends(make_harness):
    busy = lambda arrival: arrival.answer(  # noqa: E731
        status=503, not_executed="1", retry_after="1.5"
    )
    harness = make_harness(configure(PLAIN_ROUTE), one=busy)
    caller = harness.connect()
    replies = [caller.call(id=f"q-{at}") for at in range(20)]
    assert {reply.status for reply in replies} == {503}
    assert len(harness.list_arrivals()) == 1
    waits = [float(reply.headers["retry-after"]) for reply in replies]
    assert all(1.0 < wait < 2.2 for wait in waits)
    assert len(set(waits)) > 10
    harness.clock_offset += 2.0
    caller = harness.connect()
    assert caller.call(id="q-next").status == 503
    assert len(harness.list_arrivals()) == 2


def test_other_endpoints_serve_during_a_pause(make_harness):
    harness = make_harness(
        configure(PLAIN_ROUTE),
        one=lambda arrival: arrival.answer(
            status=503, not_executed="1", retry_after="60"
        ),
        two=answer,
    )
    caller = harness.connect()
    assert {caller.call(id=f"q-{at}").status for at in range(30)} == {200}
    assert len(harness.endpoints["one"].arrivals) <= 1


@pytest.mark.parametrize("value", ["nan", "-3", "soon", "", "Wed, 21 Oct 2015"])
def test_a_meaningless_pause_is_ignored(make_harness, value):
    harness = make_harness(
        configure(PLAIN_ROUTE),
        one=lambda arrival: arrival.answer(
            status=503, not_executed="1", retry_after=value
        ),
    )
    caller = harness.connect()
    assert caller.call().status == 503
    harness.clock_offset += 1.0
    assert harness.connect().call(id="q-2").status == 503
    assert len(harness.list_arrivals()) == 2


def test_a_pause_may_be_a_date(make_harness):
    harness = make_harness(
        configure(PLAIN_ROUTE),
        one=lambda arrival: arrival.answer(
            status=503,
            not_executed="1",
            retry_after="Fri, 04 Dec 2026 10:00:20 GMT",
            date="Fri, 04 Dec 2026 10:00:00 GMT",
        ),
    )
    caller = harness.connect()
    caller.call()
    assert 19.0 < float(caller.call(id="q-2").headers["retry-after"]) < 23.0
    assert len(harness.list_arrivals()) == 1


def test_a_head_without_end_is_given_up(make_harness):
    def act(arrival):
        arrival.send("HTTP/1.1 200 OK\r\n")
        press(lambda: arrival.send("x-more: " + "y" * 4_000 + "\r\n"))
        return False

    harness = make_harness(configure(PLAIN_ROUTE), one=act)
    assert harness.connect().call(timeout="2").status == 502


def test_interim_responses_without_end_are_given_up(make_harness):
    def act(arrival):
        press(lambda: arrival.send("HTTP/1.1 103 Early Hints\r\n\r\n"))
        return False

    harness = make_harness(configure(PLAIN_ROUTE), one=act)
    assert harness.connect().call(timeout="2").status == 502


@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
def test_a_body_without_end_is_given_up_within_its_limit(
    make_harness, monkeypatch, kind
):
    monkeypatch.setattr(reader_module, "MAX_RESPONSE_BYTES", 1_000_000)
    sent = []

    def act(arrival):
        arrival.begin_events()

        def send():
            arrival.send_chunk("z" * 10_000)
            sent.append(10_000)

        press(send)
        return False

    route = make_route(requires_key=False, kind=kind, max_attempts=1)
    harness = make_harness(configure(route), one=act)
    assert harness.connect().call("POST", timeout="5").status == 502
    # What the kernel buffers comes on top of the limit.
    assert sum(sent) < 20_000_000


def test_a_slow_body_without_end_is_given_up_at_the_deadline(make_harness):
    def act(arrival):
        arrival.begin_events()

        def send():
            arrival.send_chunk("z")
            sleep(0.0005)

        press(send)
        return False

    route = make_route(requires_key=False, max_attempts=1)
    harness = make_harness(configure(route), one=act)
    started_at = monotonic()
    assert harness.connect().call(timeout="1").status in (502, 504)
    assert monotonic() - started_at < 1.0 + SLACK_SECONDS


def test_a_stream_of_bytes_that_are_no_events_is_given_up(make_harness):
    def act(arrival):
        arrival.begin_events()
        press(lambda: arrival.send_chunk("z" * 20_000))
        return False

    harness = make_harness(configure(STREAM_ROUTE), one=act)
    assert harness.connect().call("POST", timeout="5").status == 502


def test_a_stream_that_sends_a_byte_now_and_then_resumes_elsewhere(make_harness):
    def stall(arrival):
        arrival.begin_events()
        arrival.send_events(1, 2)

        def send():
            arrival.send_chunk(":")
            sleep(0.2)

        press(send)
        return False

    def resume(arrival):
        arrival.begin_events()
        arrival.send_events(int(arrival.headers.get("last", 0)) + 1, 4)
        arrival.end_events()

    acts = iter([stall, resume])
    act = lambda arrival: next(acts)(arrival)  # noqa: E731
    harness = make_harness(configure(STREAM_ROUTE), one=act, two=act)
    started_at = monotonic()
    reply = harness.connect().call("POST", timeout="5")
    assert reply.is_whole
    assert reply.body.count("data:") == 4
    assert monotonic() - started_at < 4.0


def test_a_slow_sound_stream_is_not_cut(make_harness):
    def act(arrival):
        arrival.begin_events()
        for at in range(1, 4):
            sleep(1.5)
            arrival.send_events(at, at)
        arrival.end_events()

    route = make_route(
        requires_key=False,
        kind=RouteKind.STREAMING,
        event_gap_seconds=0.1,
        resumable=True,
        timeout_seconds=10.0,
    )
    harness = make_harness(configure(route), one=act)
    reply = harness.connect().call("POST", timeout="10")
    assert reply.is_whole
    assert len(harness.list_arrivals()) == 1


def test_a_late_second_copy_is_not_taken_for_the_next_answer(make_harness):
    def act(arrival):
        arrival.answer(arrival.headers["id"])
        if arrival.headers["id"] == "q-1":
            first = arrival
            copies.append(first)

    copies = []
    harness = make_harness(configure(PLAIN_ROUTE), one=act, two=act)
    caller = harness.connect()
    assert caller.call(id="q-1").body == "q-1"
    copies[0].answer("q-1", id="q-1")
    replies = [caller.call(id=f"q-{at}").body for at in range(2, 12)]
    assert replies == [f"q-{at}" for at in range(2, 12)]


def test_a_request_without_an_id_gets_a_connection_of_its_own(make_harness):
    def act(arrival):
        arrival.send("HTTP/1.1 200 X\r\nsigned: 1\r\ncontent-length: 2\r\n\r\nok")

    harness = make_harness(configure(PLAIN_ROUTE), one=act)
    caller = harness.connect()
    for _ in range(3):
        assert caller.call(id=None).body == "ok"
    assert harness.endpoints["one"].connections == 3


def test_resumed_streams_repeat_no_event_with_an_id_that_is_no_number(make_harness):
    def send(arrival, ids):
        arrival.begin_events()
        for id_ in ids:
            arrival.send_chunk(f"id: {id_}\ndata: token\n\n")

    def break_off(arrival):
        send(arrival, ["a", "b", "c"])
        return False

    def resume(arrival):
        send(arrival, ["b", "c", "d"])
        arrival.end_events()

    acts = iter([break_off, resume])
    act = lambda arrival: next(acts)(arrival)  # noqa: E731
    harness = make_harness(configure(STREAM_ROUTE), one=act, two=act)
    reply = harness.connect().call("POST")
    ids = [line[4:] for line in reply.body.splitlines() if line.startswith("id: ")]
    assert ids == ["a", "b", "c", "d"]


def test_a_complete_answer_is_delivered_however_late_its_end_is_read(
    make_harness, monkeypatch
):
    monkeypatch.setattr(reader_module, "DEADLINE_SLACK_SECONDS", 0.0)
    harness = make_harness(configure(PLAIN_ROUTE), one=answer)
    attempt = Attempt
    monkeypatch.setattr(attempt, "_compute_time_left", lambda self: 1.0)
    receive = attempt.receive

    def receive_late(self, seconds):
        event = receive(self, seconds)
        if isinstance(event, h11.EndOfMessage):
            monkeypatch.setattr(attempt, "_compute_time_left", lambda self: -9.0)
        return event

    monkeypatch.setattr(attempt, "receive", receive_late)
    assert harness.connect().call().status == 200
