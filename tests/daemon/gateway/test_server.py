from core.gateway.samples import make_configuration, make_route
from gevent import sleep

from bergamotwood_core.gateway.configuration import CallerLimits, RouteKind
from bergamotwood_daemon.gateway import callerconnection


def answer(arrival):
    arrival.answer(arrival.headers["id"])


def configure(**limits):
    return make_configuration(
        routes=(make_route(requires_key=False),), limits=CallerLimits(**limits)
    )


def make_head(id="q-1", extra=""):
    return f"POST /a/x HTTP/1.1\r\nhost: h.example\r\nid: {id}\r\n{extra}"


def test_requests_on_one_connection_are_answered_in_order(make_harness):
    harness = make_harness(configure(), one=answer)
    caller = harness.connect()
    heads = [make_head(f"q-{at}", "content-length: 0\r\n\r\n") for at in range(3)]
    caller.send_raw("".join(heads).encode())
    data = b""
    while not data.endswith(b"q-2"):
        data += caller.sock.recv(4096)
    parts = data.split(b"HTTP/1.1 200")[1:]
    assert [part[-3:] for part in parts] == [b"q-0", b"q-1", b"q-2"]


def read_all(caller):
    data = b""
    while True:
        try:
            piece = caller.sock.recv(4096)
        except ConnectionResetError:
            return data
        if not piece:
            return data
        data += piece


# Guards against an entry's own answer to a HEAD whose body ends the connection instead.
def test_the_own_answers_of_an_entry_to_head_requests_keep_the_connection(make_harness):
    harness = make_harness(one=lambda a: a.answer("", 503, not_executed="1"))
    caller = harness.connect()
    changes = ({"key": "stolen"}, {"path": "/x"}, {"host": "x.example"}, {})
    for expected, change in zip((401, 404, 404, 503), changes, strict=True):
        refused = caller.call("GET", **change)
        reply = caller.call("HEAD", **change)
        assert (reply.status, reply.body) == (expected, "")
        assert refused.status == expected
        assert reply.headers["content-type"] == refused.headers["content-type"]


def test_a_request_embedded_in_a_body_is_not_run(make_harness):
    harness = make_harness(configure(), one=answer)
    inner = make_head("smuggled", "content-length: 0\r\n\r\n").encode()
    caller = harness.connect()
    caller.send("POST", body=inner, id="outer")
    assert caller.read().body == "outer"
    sleep(0.05)
    assert [a.headers["id"] for a in harness.list_arrivals()] == ["outer"]
    assert harness.list_arrivals()[0].body == inner


def test_a_request_framed_twice_runs_once_and_closes_the_connection(make_harness):
    harness = make_harness(configure(), one=answer)
    caller = harness.connect()
    extra = "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n"
    inner = make_head("smuggled", "content-length: 0\r\n\r\n")
    caller.send_raw((make_head("outer", extra) + "0\r\n\r\n" + inner).encode())
    data = read_all(caller)
    assert data.count(b"HTTP/1.1 ") == 1
    assert b"connection: close" in data.lower()
    (arrival,) = harness.list_arrivals()
    assert arrival.headers["id"] == "outer"
    assert arrival.body == b""
    assert "transfer-encoding" not in arrival.headers


def test_a_caller_that_only_waits_is_not_taken_to_have_left(make_harness, monkeypatch):
    def act(arrival):
        sleep(0.4)
        arrival.answer()

    monkeypatch.setattr(callerconnection, "SEND_TIMEOUT_SECONDS", 0.1)
    harness = make_harness(configure(), one=act)
    assert harness.connect().call().status == 200


def test_a_stream_outlasts_the_send_timeout(make_harness, monkeypatch):
    def act(arrival):
        arrival.begin_events()
        for at in range(1, 9):
            sleep(0.1)
            arrival.send_events(at, at)
        arrival.end_events()

    monkeypatch.setattr(callerconnection, "SEND_TIMEOUT_SECONDS", 0.2)
    routes = (make_route(requires_key=False, kind=RouteKind.STREAMING),)
    harness = make_harness(make_configuration(routes=routes), one=act)
    reply = harness.connect().call()
    assert reply.is_whole
    assert reply.body.count("\n\n") == 8


def test_two_content_lengths_are_refused(make_harness):
    harness = make_harness(configure(), one=answer)
    caller = harness.connect()
    extra = "content-length: 4\r\ncontent-length: 5\r\n\r\nabcde"
    caller.send_raw(make_head(extra=extra).encode())
    assert read_all(caller).startswith(b"HTTP/1.1 400")
    assert harness.list_arrivals() == []


def test_chunked_bodies_reach_the_endpoint_whole(make_harness):
    harness = make_harness(configure(), one=answer)
    caller = harness.connect()
    caller.send_raw(make_head(extra="transfer-encoding: chunked\r\n\r\n").encode())
    for piece in (b"3\r\nabc\r\n", b"2;x=y\r\nde", b"\r\n0\r\n\r\n"):
        caller.send_raw(piece)
        sleep(0.01)
    assert b"200" in caller.sock.recv(4096)
    assert harness.list_arrivals()[0].body == b"abcde"


def test_headers_and_bodies_that_are_too_large_are_refused(make_harness):
    harness = make_harness(configure(header_bytes=2_000, body_bytes=1_000), one=answer)
    caller = harness.connect()
    caller.send_raw(make_head(extra=f"x: {'y' * 3000}\r\n").encode())
    assert read_all(caller).startswith(b"HTTP/1.1 431")
    caller = harness.connect()
    caller.send_raw(make_head(extra="content-length: 1001\r\n\r\n").encode())
    caller.send_raw(b"z" * 1001)
    assert read_all(caller).startswith(b"HTTP/1.1 413")
    assert harness.list_arrivals() == []


def test_slow_requests_are_refused_and_idle_connections_closed(make_harness):
    harness = make_harness(configure(header_seconds=0.1, idle_seconds=0.2), one=answer)
    slow = harness.connect()
    slow.send_raw(b"POST /a/x HT")
    idle = harness.connect()
    assert read_all(slow).startswith(b"HTTP/1.1 408")
    assert read_all(idle) == b""


def test_a_closing_server_answers_and_announces_the_close(make_harness):
    harness = make_harness(configure(), one=answer)
    caller = harness.connect()
    assert "connection" not in caller.call().headers
    harness.server.is_closing = True
    reply = caller.call(id="q-2")
    assert (reply.status, reply.headers["connection"]) == (200, "close")
    assert caller.sock.recv(10) == b""


def test_idle_connections_are_closed_and_busy_ones_finish(make_harness):
    released = []

    def act(arrival):
        while not released:
            sleep(0.01)
        arrival.answer()

    harness = make_harness(configure(), one=act)
    busy, idle = harness.connect(), harness.connect()
    busy.send()
    harness.endpoints["one"].arrived.wait(5.0)
    harness.server.close_idle()
    assert idle.sock.recv(10) == b""
    released.append(True)
    assert busy.read().status == 200


def test_a_received_but_unread_request_is_answered(make_harness):
    harness = make_harness(configure(), one=answer)
    caller = harness.connect()
    assert caller.call().status == 200
    # No other greenlet runs in between, so the bytes are still in the kernel.
    caller.send(id="q-2")
    harness.server.close_idle()
    assert caller.read().status == 200


def test_a_request_that_arrives_after_the_close_is_not_forwarded(make_harness):
    harness = make_harness(configure(), one=answer)
    caller = harness.connect()
    assert caller.call().status == 200
    harness.server.close_idle()
    caller.send(id="q-2")
    assert caller.read().status is None
    sleep(0.05)
    assert [arrival.headers["id"] for arrival in harness.list_arrivals()] == ["q-1"]


def test_a_connection_streaming_at_shutdown_closes_after_the_response(make_harness):
    released = []

    def act(arrival):
        arrival.begin_events()
        arrival.send_events(1, 1)
        while not released:
            sleep(0.01)
        arrival.send_events(2, 2)
        arrival.end_events()

    routes = (
        make_route(requires_key=False, kind=RouteKind.STREAMING, timeout_seconds=20.0),
    )
    harness = make_harness(make_configuration(routes=routes), one=act)
    caller = harness.connect()
    caller.send(timeout="20")
    caller.read_events(1)
    harness.server.is_closing = True
    harness.server.close_idle()
    released.append(True)
    assert caller.read().is_whole
    assert caller.sock.recv(10) == b""


def test_a_request_after_draining_is_refused_without_running(make_harness):
    harness = make_harness(configure(), one=answer)
    harness.entry.rejects_requests = True
    reply = harness.connect().call()
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) < 0.1
    assert harness.list_arrivals() == []


# A connection kept the limit on heads that held when it was opened, and got 431.
def test_a_kept_connection_follows_a_change_of_the_limit_on_heads(make_harness):
    harness = make_harness(configure(header_bytes=1_000), one=answer)
    caller = harness.connect()
    assert caller.call("POST", id="q-1").status == 200
    harness.sync(number=2)
    large = make_head("q-2", f"x: {3_000 * 'x'}\r\n").encode()

    def send_large():
        caller.send_raw(large)
        sleep(0.1)
        caller.send_raw(b"content-length: 0\r\n\r\n")

    limits = CallerLimits(header_bytes=8_000)
    harness.server.limits = lambda: limits
    send_large()
    data = caller.sock.recv(4_096)
    assert data.startswith(b"HTTP/1.1 200")
    limits = CallerLimits(header_bytes=1_000)
    send_large()
    assert read_all(caller).startswith(b"HTTP/1.1 431")
