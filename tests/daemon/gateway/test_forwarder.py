import pytest
from core.gateway.samples import make_configuration, make_route
from gevent import Timeout, sleep
from msgspec.structs import replace

from bergamotwood_core.gateway.configuration import GatewayWorkspace, RouteKind
from bergamotwood_core.gateway.latency import Timing
from bergamotwood_core.ids import ModelName, WorkspaceId


def answer(arrival):
    arrival.answer()


def refuse(arrival):
    arrival.answer("", 503, not_executed="1")


def disconnect(arrival):
    return False


def hang(arrival):
    arrival.is_disconnected = arrival.wait_for_close()
    return False


def configure(**changes):
    return make_configuration(routes=(make_route(**changes),))


ONCE = {"kind": RouteKind.NON_IDEMPOTENT, "max_attempts": 1}


def test_a_request_is_forwarded_and_its_response_returned(make_harness):
    harness = make_harness(one=lambda a: a.answer("body", extra="kept", connection="x"))
    reply = harness.connect().call("POST", "/a/x?y=%20z", b"sent", note="n")
    assert (reply.status, reply.body) == (200, "body")
    assert reply.headers["extra"] == "kept"
    assert reply.headers["signed"] == "1"
    (arrival,) = harness.list_arrivals()
    assert (arrival.method, arrival.target) == ("POST", "/a/x?y=%20z")
    assert arrival.body == b"sent"
    assert arrival.headers["note"] == "n"
    assert arrival.headers["endpoint"] == "one"
    assert arrival.headers["workspace"] == "circle"
    assert "key" not in arrival.headers
    assert 0.0 < float(arrival.headers["timeout"]) <= 3.0


def test_requests_without_a_route_or_valid_key_are_refused_unsent(make_harness):
    harness = make_harness(one=answer)
    assert harness.connect().call(path="/other").status == 404
    assert harness.connect().call(host="x.example").status == 404
    assert harness.connect().call(key="stolen").status == 401
    assert harness.connect().call(key=None).status == 401
    assert harness.list_arrivals() == []


# Guards against keys that work again once the last workspace has been taken away.
def test_no_key_is_valid_in_a_configuration_that_has_lost_its_workspaces(make_harness):
    harness = make_harness(make_configuration(workspaces=()), one=answer)
    statuses = [harness.connect().call(key=key).status for key in ("key-1", "x", None)]
    assert statuses == [401, 401, 401]
    assert harness.list_arrivals() == []


def test_a_configuration_without_workspaces_needs_no_key(make_harness):
    harness = make_harness(make_configuration(workspaces=None), one=answer)
    assert harness.connect().call(key=None).status == 200
    assert "workspace" not in harness.list_arrivals()[0].headers


def test_public_routes_need_no_key(make_harness):
    harness = make_harness(configure(requires_key=False), one=answer)
    harness.clock_offset = 100.0
    assert harness.connect().call(key=None).status == 200
    assert "workspace" not in harness.list_arrivals()[0].headers


def test_an_entry_without_a_configuration_refuses_with_a_retry_time(make_harness):
    harness = make_harness(is_synced=False, one=answer)
    reply = harness.connect().call()
    assert reply.status == 503
    assert 0.0 < float(reply.headers["retry-after"]) < 2.0


def test_requests_with_keys_are_refused_after_the_key_lease(make_harness):
    harness = make_harness(one=answer)
    lease = harness.entry.settings.bounds.key_lease_seconds
    harness.clock_offset = lease - 0.5
    assert harness.connect().call().status == 200
    harness.clock_offset = lease + 0.1
    reply = harness.connect().call()
    assert reply.status == 503
    assert len(harness.list_arrivals()) == 1


def test_the_key_lease_is_checked_again_before_a_retry(make_harness):
    def disconnect_and_age(arrival):
        harness.clock_offset = 60.0
        return False

    route = configure(timeout_seconds=300.0)
    harness = make_harness(route, one=disconnect_and_age, two=disconnect_and_age)
    # The first attempt may have run, so the response must not be a refusal.
    assert harness.connect().call(timeout="300").status == 502
    assert len(harness.list_arrivals()) == 1


def test_a_run_once_request_that_may_have_run_is_not_retried(make_harness):
    harness = make_harness(configure(**ONCE), one=disconnect, two=disconnect)
    reply = harness.connect().call("POST", body=b"pay")
    assert reply.status == 502
    assert "retry-after" not in reply.headers
    assert len(harness.list_arrivals()) == 1


def test_a_request_that_did_not_run_is_retried_at_another_endpoint(make_harness):
    harness = make_harness(configure(**ONCE), one=refuse, two=refuse, three=answer)
    statuses = [harness.connect().call("POST", body=b"pay").status for _ in range(4)]
    assert statuses == [200, 200, 200, 200]
    answered = harness.endpoints["three"].arrivals
    assert len(answered) == 4


def test_a_request_that_no_endpoint_ran_is_refused_with_a_retry_time(make_harness):
    harness = make_harness(configure(**ONCE), one=refuse, two=refuse)
    reply = harness.connect().call("POST", body=b"pay")
    assert reply.status == 503
    assert 0.0 < float(reply.headers["retry-after"]) < 1.0
    assert "signed" not in reply.headers


def test_without_endpoints_a_request_is_refused_at_once(make_harness):
    reply = make_harness().connect().call()
    assert reply.status == 503
    assert 0.0 < float(reply.headers["retry-after"]) < 1.0


def test_an_endpoint_that_answers_421_is_not_asked_again(make_harness):
    # The status means that another endpoint now listens at the address.
    harness = make_harness(
        configure(**ONCE), old=lambda a: a.answer("", 421), new=answer
    )
    harness.remove_endpoint("new")
    assert harness.connect().call("POST").status == 503
    harness.sync()
    assert harness.connect().call("POST").status == 200
    assert len(harness.endpoints["old"].arrivals) == 1


@pytest.mark.parametrize(
    "fail",
    [
        disconnect,
        hang,
        lambda a: a.answer("error", 500),
        lambda a: a.answer("forged", signed="1", id="another"),
        lambda a: a.answer("encoded", content_encoding="gzip"),
        lambda a: a.send("what is this\r\n\r\n"),
        lambda a: [a.send("HTTP/1.1 200 X\r\ncontent-length: 4\r\n\r\nfine"), False][1],
        lambda a: [
            a.send(
                f"HTTP/1.1 200 X\r\nid: {a.headers['id']}\r\nsigned: 1\r\n"
                "content-length: 9\r\n\r\nshort"
            ),
            False,
        ][1],
    ],
    ids=[
        "dropped",
        "silent",
        "failed",
        "of-another",
        "encoded",
        "garbage",
        "unsigned",
        "short",
    ],
)
def test_a_retryable_request_is_retried_after_a_faulty_response(make_harness, fail):
    seen = []

    def act(arrival):
        seen.append(arrival)
        return fail(arrival) if len(seen) == 1 else arrival.answer()

    harness = make_harness(one=act, two=act)
    reply = harness.connect().call()
    assert (reply.status, reply.body) == (200, "fine")
    assert len(seen) == 2


def test_an_error_response_is_returned_unchanged_when_retries_fail(make_harness):
    harness = make_harness(
        one=lambda a: a.answer("why", 500), two=lambda a: a.answer("why", 500)
    )
    reply = harness.connect().call()
    assert (reply.status, reply.body, reply.headers["signed"]) == (500, "why", "1")
    assert len(harness.list_arrivals()) == 2


def test_a_response_delimited_by_connection_close_is_complete(make_harness):
    def act(arrival):
        arrival.send(
            f"HTTP/1.1 200 X\r\nid: {arrival.headers['id']}\r\nsigned: 1\r\n\r\nall"
        )
        return False

    harness = make_harness(configure(**ONCE), one=act)
    reply = harness.connect().call("POST")
    assert (reply.status, reply.body, reply.is_whole) == (200, "all", True)


def test_a_request_without_an_answer_ends_at_the_routes_timeout(make_harness):
    harness = make_harness(configure(**ONCE, timeout_seconds=0.3), one=hang)
    reply = harness.connect().call("POST", timeout="30")
    assert reply.status == 504
    timeout = float(harness.list_arrivals()[0].headers["timeout"])
    assert timeout <= 0.3


def test_the_endpoint_connection_closes_when_the_caller_disconnects(make_harness):
    harness = make_harness(one=hang)
    caller = harness.connect()
    caller.send(timeout="30")
    harness.endpoints["one"].arrived.wait(5.0)
    caller.close()
    with Timeout(5.0):
        while not harness.list_arrivals()[0].is_disconnected:
            sleep(0.01)
    assert len(harness.list_arrivals()) == 1


def test_only_retryable_requests_reuse_connections(make_harness):
    harness = make_harness(one=answer)
    caller = harness.connect()
    for at in range(3):
        assert caller.call(id=f"q-{at}").status == 200
    assert harness.endpoints["one"].connections == 1
    once = make_harness(configure(**ONCE), one=answer)
    caller = once.connect()
    for at in range(3):
        assert caller.call("POST", id=f"q-{at}").status == 200
    assert once.endpoints["one"].connections == 3


def test_a_second_response_to_one_request_is_discarded(make_harness):
    def answer_twice(arrival):
        arrival.answer("first")
        arrival.answer("second")

    harness = make_harness(one=answer_twice)
    caller = harness.connect()
    for at in range(3):
        reply = caller.call(id=f"q-{at}")
        assert (reply.status, reply.body) == (200, "first")
        sleep(0.01)


def test_a_response_sent_before_the_body_was_read_is_returned(make_harness):
    harness = make_harness(one=answer)
    endpoint = harness.endpoints["one"]

    def read_little(http, sock):
        data = b""
        while b"\r\n\r\n" not in data:
            data += sock.recv(4096)
        fields = dict(
            line.split(": ", 1)
            for line in data.decode("latin-1").split("\r\n")[1:]
            if ": " in line
        )
        sock.sendall(
            f"HTTP/1.1 413 X\r\nid: {fields['id']}\r\nsigned: 1\r\n"
            "content-length: 3\r\n\r\nbig".encode()
        )
        sleep(0.2)

    endpoint._read = read_little
    reply = harness.connect().call("POST", body=b"x" * 3_000_000)
    assert (reply.status, reply.body) == (413, "big")


STREAM = {
    "kind": RouteKind.STREAMING,
    "max_attempts": 3,
    "resumable": True,
    "event_gap_seconds": 0.5,
    "timeout_seconds": 20.0,
}


def stream(arrival, last=6):
    first = int(arrival.headers.get("last", "0")) + 1
    arrival.begin_events()
    arrival.send_events(first, last)
    arrival.end_events()


def list_ids(text):
    return [line[4:] for line in text.splitlines() if line.startswith("id: ")]


def test_events_are_forwarded_as_they_arrive(make_harness):
    released = []

    def act(arrival):
        arrival.begin_events()
        arrival.send_events(1, 2)
        while not released:
            sleep(0.01)
        arrival.send_events(3, 4)
        arrival.end_events()

    harness = make_harness(configure(**STREAM), one=act)
    caller = harness.connect()
    caller.send(timeout="20")
    assert list_ids(caller.read_events(2)) == ["1", "2"]
    released.append(True)
    reply = caller.read()
    assert list_ids(reply.body) == ["3", "4"]
    assert reply.is_whole


def test_a_broken_stream_resumes_at_another_endpoint(make_harness):
    seen = []

    def act(arrival):
        seen.append(arrival)
        if len(seen) > 1:
            return stream(arrival)
        arrival.begin_events(server="first")
        arrival.send_events(1, 3)
        arrival.send("20\r\nid: 4\ndata: tok")
        return False

    harness = make_harness(configure(**STREAM), one=act, two=act)
    reply = harness.connect().call(timeout="20")
    assert list_ids(reply.body) == ["1", "2", "3", "4", "5", "6"]
    assert reply.is_whole
    assert reply.headers["server"] == "first"
    assert [a.headers.get("last") for a in seen] == [None, "3"]


def test_duplicate_events_are_forwarded_once(make_harness):
    seen = []

    def act(arrival):
        seen.append(arrival)
        arrival.begin_events()
        if len(seen) == 1:
            arrival.send_events(1, 3)
            return False
        arrival.send_events(1, 5)
        arrival.end_events()

    harness = make_harness(configure(**STREAM), one=act, two=act)
    reply = harness.connect().call(timeout="20")
    assert list_ids(reply.body) == ["1", "2", "3", "4", "5"]


def test_a_stalled_stream_resumes_at_another_endpoint(make_harness):
    seen = []

    def act(arrival):
        seen.append(arrival)
        if len(seen) > 1:
            return stream(arrival)
        arrival.begin_events()
        arrival.send_events(1, 2)
        return hang(arrival)

    harness = make_harness(configure(**STREAM), one=act, two=act)
    reply = harness.connect().call(timeout="20")
    assert list_ids(reply.body) == ["1", "2", "3", "4", "5", "6"]
    assert reply.is_whole


def test_a_broken_stream_that_is_not_resumable_ends_incomplete(make_harness):
    def act(arrival):
        arrival.begin_events()
        arrival.send_events(1, 3)
        return False

    route = configure(**{**STREAM, "resumable": False})
    harness = make_harness(route, one=act, two=act)
    reply = harness.connect().call(timeout="20")
    assert list_ids(reply.body) == ["1", "2", "3"]
    assert not reply.is_whole
    assert len(harness.list_arrivals()) == 1


def test_a_stream_that_ends_within_an_event_is_not_complete(make_harness):
    def act(arrival):
        arrival.begin_events()
        arrival.send_events(1, 2)
        arrival.send_chunk("id: 3\ndata: to")
        arrival.end_events()

    harness = make_harness(configure(**STREAM), one=act)
    reply = harness.connect().call(timeout="2")
    assert list_ids(reply.body) == ["1", "2"]
    assert not reply.is_whole


def begin_unframed(arrival):
    fields = f"id: {arrival.headers['id']}\r\nsigned: 1\r\n"
    arrival.send(f"HTTP/1.1 200 X\r\n{fields}\r\n")


def test_an_unframed_stream_that_ends_between_events_is_complete(make_harness):
    def act(arrival):
        begin_unframed(arrival)
        arrival.send("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        return False

    harness = make_harness(configure(**STREAM), one=act, two=act)
    reply = harness.connect().call(timeout="20")
    assert list_ids(reply.body) == ["1", "2"]
    assert reply.is_whole
    assert len(harness.list_arrivals()) == 1


def test_an_unframed_stream_that_ends_within_an_event_is_resumed(make_harness):
    seen = []

    def act(arrival):
        seen.append(arrival)
        if len(seen) > 1:
            return stream(arrival, last=3)
        begin_unframed(arrival)
        arrival.send("id: 1\ndata: a\n\nid: 2\nda")
        return False

    harness = make_harness(configure(**STREAM), one=act, two=act)
    reply = harness.connect().call(timeout="20")
    assert list_ids(reply.body) == ["1", "2", "3"]
    assert reply.is_whole
    assert seen[1].headers["last"] == "1"


def test_a_crash_within_an_unframed_answer_is_reported(make_harness):
    def act(arrival):
        begin_unframed(arrival)
        arrival.send("id: 1\ndata: a\n\n")
        harness.endpoints["one"].stop()
        return False

    harness = make_harness(configure(**STREAM), one=act)
    harness.connect().call(timeout="20", prompt="a bad last")
    sleep(0.1)
    (crash,) = harness.entry.suspects.list_crashes(harness.read_time())
    assert [request.parts for request in crash.requests] == [("a", "bad")]


def test_an_unframed_answer_of_a_living_endpoint_is_no_crash(make_harness):
    def act(arrival):
        begin_unframed(arrival)
        arrival.send("id: 1\ndata: a\n\n")
        return False

    harness = make_harness(configure(**STREAM), one=act)
    harness.connect().call(timeout="20", prompt="a sound last")
    sleep(0.1)
    assert harness.entry.suspects.list_crashes(harness.read_time()) == ()


def answer_by_model(arrival):
    small = arrival.headers["model"] == "small"
    arrival.begin_events(confidence="0.1" if small else "0.9")
    arrival.send_events(1, 2)
    arrival.send_chunk(f"id: 3\ndata: {arrival.headers['model']}\n\n")
    arrival.end_events()


TWO_MODELS = {"one": answer_by_model, "two": answer_by_model}


def make_two_model_harness(make_harness, acts=TWO_MODELS):
    models = (ModelName("small"), ModelName("large"))
    harness = make_harness(configure(**STREAM, models=models), **acts)
    for endpoint, heartbeat in harness.entry.control_state.heartbeats.items():
        harness.entry.control_state.heartbeats[endpoint] = replace(
            heartbeat, models=models
        )
    return harness


def test_a_low_confidence_answer_is_replaced_by_a_larger_model(make_harness):
    harness = make_two_model_harness(make_harness)
    reply = harness.connect().call(timeout="20", model="any")
    assert "data: large" in reply.body
    assert "data: small" not in reply.body
    assert list_ids(reply.body) == ["1", "2", "3"]


@pytest.mark.parametrize("names", [("one",), ("one", "two")])
def test_a_low_confidence_answer_is_kept_without_an_endpoint_for_a_larger_model(
    make_harness, names
):
    """Guards against a 502 in place of an answer that the endpoint had made."""
    arrivals = []

    def act(arrival):
        arrivals.append(arrival)
        if len(arrivals) < len(names):
            return refuse(arrival)
        return answer_by_model(arrival)

    harness = make_two_model_harness(make_harness, dict.fromkeys(names, act))
    reply = harness.connect().call(timeout="20", model="any")
    assert (reply.status, len(arrivals)) == (200, len(names))
    assert "data: small" in reply.body


def test_a_low_confidence_answer_is_kept_without_time_for_a_larger_model(make_harness):
    harness = make_two_model_harness(make_harness)
    route = harness.entry.control_state.routing.configuration.routes[0].name
    for _ in range(10):
        # Ten events of ten tokens each, one every half second.
        timing = Timing(0.5, 5.5, 10)
        harness.entry.latencies.record(route, ModelName("large"), timing, 100)
    long = harness.connect().call(timeout="20", model="any", expected="400")
    assert "data: small" in long.body
    assert list_ids(long.body) == ["1", "2", "3"]
    short = harness.connect().call(timeout="20", model="any", expected="50")
    assert "data: large" in short.body


def test_a_request_that_crashes_endpoints_is_suspended(make_harness):
    harness = make_harness(
        configure(max_attempts=2), one=disconnect, two=disconnect, three=disconnect
    )
    replies = [harness.connect().call("PUT", body=b"poison") for _ in range(8)]
    statuses = [reply.status for reply in replies]
    assert statuses == sorted(statuses)
    assert (statuses[0], statuses[-1]) == (502, 503)
    assert float(replies[-1].headers["retry-after"]) > 5.0
    assert all(endpoint.arrivals for endpoint in harness.endpoints.values())
    crashed = len(harness.list_arrivals())
    assert harness.connect().call("PUT", body=b"poison").status == 503
    assert len(harness.list_arrivals()) == crashed
    # A request with another body has another fingerprint.
    assert harness.connect().call("PUT", body=b"sound").status == 502


def test_a_stream_abandons_an_endpoint_whose_heartbeats_stopped(make_harness):
    seen = []

    def act(arrival):
        seen.append(arrival)
        return hang(arrival) if len(seen) == 1 else stream(arrival)

    harness = make_harness(configure(**STREAM), one=act, two=act)
    harness.entry.placement.silent_endpoints = frozenset(harness.endpoints)
    for endpoint in harness.endpoints.values():
        endpoint.is_dark = True
    reply = harness.connect().call(timeout="20")
    assert list_ids(reply.body) == ["1", "2", "3", "4", "5", "6"]
    assert len(seen) == 2
    # While heartbeats arrive, an endpoint may take long to process a prompt.
    waiting = make_harness(
        configure(**STREAM, latency_objective_seconds=0.1), one=hang, two=hang
    )
    waiting.connect().send(timeout="20")
    sleep(1.2)
    assert len(waiting.list_arrivals()) == 1


def test_running_work_of_an_endpoint_that_only_stopped_reporting_goes_on(make_harness):
    def act(arrival):
        sleep(3.0)
        return stream(arrival)

    harness = make_harness(configure(**STREAM), one=act, two=act)
    harness.entry.placement.silent_endpoints = frozenset(harness.endpoints)
    callers = [harness.connect() for _ in range(4)]
    for at, caller in enumerate(callers):
        caller.send(id=f"q-{at}", timeout="20")
    for caller in callers:
        assert list_ids(caller.read().body) == ["1", "2", "3", "4", "5", "6"]
    assert len(harness.list_arrivals()) == len(callers)
    # Requests at one endpoint share its checks.
    assert harness.entry.liveness.checks <= 6


# Guards against a request without a valid key that waits while keys are introduced.
def test_a_key_is_checked_before_a_retry_once_there_are_workspaces(make_harness):
    def disconnect_and_configure(arrival):
        harness.configuration = make_configuration(number=9)
        harness.entry.dialect.configuration = harness.configuration
        harness.sync()
        return False

    harness = make_harness(
        make_configuration(workspaces=None),
        one=disconnect_and_configure,
        two=disconnect_and_configure,
    )
    assert harness.connect().call(key="stolen").status == 502
    assert len(harness.list_arrivals()) == 1


# Guards against a retry in the name of a workspace that has lost the key meanwhile.
def test_a_retry_bears_the_workspace_that_holds_the_key_now(make_harness):
    def disconnect_and_move(arrival):
        if len(harness.list_arrivals()) > 1:
            return answer(arrival)
        harness.configuration = make_configuration(
            number=9, workspaces=(GatewayWorkspace(WorkspaceId("ring"), ("key-1",), 0),)
        )
        harness.entry.dialect.configuration = harness.configuration
        harness.sync()
        return False

    harness = make_harness(one=disconnect_and_move, two=disconnect_and_move)
    assert harness.connect().call().status == 200
    bearers = [arrival.headers["workspace"] for arrival in harness.list_arrivals()]
    assert sorted(bearers) == ["circle", "ring"]


def test_a_key_is_checked_again_before_a_retry(make_harness):
    def disconnect_and_revoke(arrival):
        harness.configuration = make_configuration(
            number=9, workspaces=(GatewayWorkspace(WorkspaceId("circle"), ("other",)),)
        )
        harness.entry.dialect.configuration = harness.configuration
        harness.sync()
        return False

    harness = make_harness(one=disconnect_and_revoke, two=disconnect_and_revoke)
    # The first attempt may have run, so the response must not be a refusal.
    assert harness.connect().call().status == 502
    assert len(harness.list_arrivals()) == 1
