"""Answers that are broken reach no caller, and sound ones arrive whole."""

from socket import SHUT_WR

import pytest
from core.gateway.samples import PLAIN, make_configuration, make_heartbeat, make_route
from daemon.brokenheads import (
    BROKEN_HEADS,
    EVENTS,
    INTERIM_LINES,
    LENGTH_FIELD,
    SOUND_HEADS,
)
from daemon.gateway.rawserver import RawServer, make_head, reset
from gevent import sleep

from bergamotwood_core.gateway.configuration import RouteKind
from bergamotwood_core.gateway.members import EntryAddress
from bergamotwood_core.ids import InstanceId
from bergamotwood_daemon.gateway.client import EndpointConnection

UPLOAD = 1_024_000 * b"u"
PLAIN_ROUTE = make_route(requires_key=False, max_attempts=1)
ONCE_ROUTE = make_route(
    requires_key=False, max_attempts=1, kind=RouteKind.NON_IDEMPOTENT
)
STREAM_ROUTE = make_route(
    requires_key=False, max_attempts=1, kind=RouteKind.STREAMING, event_gap_seconds=0.5
)
ROUTES = {"plain": PLAIN_ROUTE, "once": ONCE_ROUTE, "stream": STREAM_ROUTE}
# Time for which the writer of a request runs before the answer is read.
READ_DELAY_SECONDS = 0.1


@pytest.fixture
def start_server():
    servers = []

    def start(act):
        servers.append(RawServer(act))
        return servers[-1]

    yield start
    for server in servers:
        server.stop()


@pytest.fixture
def make_connect(make_harness, start_server):
    """Connect a caller to an entry whose endpoint, or other entry, is a raw server."""

    def connect_caller(act, route, is_relayed):
        server = start_server(act)
        harness = make_harness(make_configuration(routes=(route,)), is_synced=False)
        harness.heartbeats = [make_heartbeat("one", address=server.address)]
        harness.sync()
        if is_relayed:
            other = EntryAddress(
                InstanceId("other"), "other", "karen", True, server.address
            )
            harness.entry.reach.is_doubtful = lambda service: service == PLAIN
            harness.entry.relays.choose = lambda *_: [other]
        return harness.connect()

    return connect_caller


@pytest.fixture(params=["endpoint", "relay"])
def connect(request, make_connect):
    is_relayed = request.param == "relay"
    return lambda act, route: make_connect(act, route, is_relayed)


@pytest.fixture
def delay_reading(monkeypatch):
    """Let the writer of a request run before the reader of its answer."""
    receive = EndpointConnection.receive

    def receive_late(self, seconds):
        sleep(READ_DELAY_SECONDS)
        return receive(self, seconds)

    monkeypatch.setattr(EndpointConnection, "receive", receive_late)


def is_success(reply):
    return reply is not None and reply.is_whole and reply.status == 200


# The part of an answer that came before a reset arrived as a complete answer.
@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("line", [b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK"])
def test_an_answer_that_is_reset_while_its_request_is_written_is_no_success(
    connect, delay_reading, line, kind
):
    def act(sock, request):
        sock.sendall(make_head(request, line) + EVENTS)
        sleep(READ_DELAY_SECONDS / 4)
        sock.recv(65_536)
        reset(sock)

    caller = connect(act, ROUTES[kind])
    reply = caller.call("POST", body=UPLOAD)
    assert not is_success(reply)
    assert reply.status in (200, 502)


@pytest.mark.parametrize("kind", ROUTES)
def test_an_early_answer_without_length_arrives_whole(connect, delay_reading, kind):
    def act(sock, request):
        sock.sendall(make_head(request) + EVENTS)
        sock.shutdown(SHUT_WR)
        while sock.recv(65_536):
            pass

    reply = connect(act, ROUTES[kind]).call("POST", body=UPLOAD)
    assert is_success(reply)
    assert reply.body == EVENTS.decode()


@pytest.mark.parametrize("kind", ROUTES)
def test_an_early_answer_with_a_length_arrives_whole(connect, delay_reading, kind):
    def act(sock, request):
        length = b"content-length: %d\r\n" % len(EVENTS)
        sock.sendall(make_head(request, fields=length) + EVENTS)
        sleep(READ_DELAY_SECONDS / 4)
        sock.recv(65_536)
        reset(sock)

    reply = connect(act, ROUTES[kind]).call("POST", body=UPLOAD)
    assert is_success(reply)
    assert reply.body == EVENTS.decode()


def make_sender(line, fields):
    def act(sock, request):
        sock.sendall(make_head(request, line, fields) + EVENTS)

    return act


# A status from 600 to 999, or a field that followed a blank, reached the caller.
@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("line, fields", BROKEN_HEADS)
def test_an_answer_whose_head_is_broken_is_a_failure(connect, line, fields, kind):
    reply = connect(make_sender(line, fields), ROUTES[kind]).call("POST")
    assert reply.status == 502
    assert "signed" not in reply.headers
    assert "may_have_run" in reply.body


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize("line, fields", SOUND_HEADS)
def test_an_answer_whose_head_is_sound_arrives_whole(connect, line, fields, kind):
    reply = connect(make_sender(line, fields), ROUTES[kind]).call("POST")
    assert is_success(reply)
    assert reply.body == EVENTS.decode()


@pytest.mark.parametrize("kind", ROUTES)
def test_an_answer_after_interim_responses_arrives_whole(make_connect, kind):
    act = make_sender(INTERIM_LINES + b"HTTP/1.1 200 OK", LENGTH_FIELD)
    reply = make_connect(act, ROUTES[kind], False).call("POST")
    assert is_success(reply)
    assert reply.body == EVENTS.decode()


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize(
    "interim",
    [
        b"HTTP/1.1 103 X\r\na: b\r\n c: d",
        b"HTTP/1.1 000 X",
        b"HTTP/1.1 103 X\r\na b: c",
    ],
)
def test_an_answer_after_a_broken_interim_response_is_a_failure(
    make_connect, interim, kind
):
    act = make_sender(interim + b"\r\n\r\nHTTP/1.1 200 OK", LENGTH_FIELD)
    assert make_connect(act, ROUTES[kind], False).call("POST").status == 502


@pytest.mark.parametrize("status", [203, 299, 404, 499, 500, 599])
def test_a_sound_status_reaches_the_caller(connect, status):
    line = b"HTTP/1.1 %d X" % status
    reply = connect(make_sender(line, LENGTH_FIELD), ONCE_ROUTE).call("POST")
    assert reply.status == status
    assert reply.headers["signed"] == "1"
    assert reply.body == EVENTS.decode()


def read_until_end(sock):
    """Return the bytes until the end of a connection, and whether it was reset."""
    data = b""
    try:
        while more := sock.recv(65_536):
            data += more
    except ConnectionResetError:
        return data, True
    return data, False


# A stream that broke off ended like a whole one, as HTTP/1.0 has no chunks.
@pytest.mark.parametrize("is_whole", [True, False])
def test_a_stream_that_breaks_off_is_reset_for_a_caller_of_http_1_0(connect, is_whole):
    def act(sock, request):
        length = b"content-length: %d\r\n" % (len(EVENTS) + (not is_whole))
        sock.sendall(make_head(request, fields=length) + EVENTS)

    caller = connect(act, STREAM_ROUTE)
    caller.send_raw(
        b"GET /a/x HTTP/1.0\r\nhost: h.example\r\nid: q-1\r\nkey: key-1\r\n\r\n"
    )
    data, is_reset = read_until_end(caller.sock)
    assert b"transfer-encoding" not in data
    assert is_reset is not is_whole
    assert not is_whole or data.endswith(b"\r\n\r\n" + EVENTS)
