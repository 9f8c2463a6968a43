"""Answers that are broken reach no caller, and sound ones arrive whole."""

from socket import SHUT_WR

import pytest
from core.gateway.samples import PLAIN, make_configuration, make_heartbeat, make_route
from daemon.gateway.rawserver import RawServer, reset
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
EVENTS = 100 * b"data: a\n\n"
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


@pytest.fixture(params=["endpoint", "relay"])
def connect(request, make_harness, start_server):
    """Connect a caller to an entry whose endpoint, or other entry, is a raw server."""

    def connect_caller(act, route):
        server = start_server(act)
        harness = make_harness(make_configuration(routes=(route,)), is_synced=False)
        harness.heartbeats = [make_heartbeat("one", address=server.address)]
        harness.sync()
        if request.param == "relay":
            other = EntryAddress(
                InstanceId("other"), "other", "karen", True, server.address
            )
            harness.entry.reach.is_doubtful = lambda service: service == PLAIN
            harness.entry.relays.choose = lambda *_: [other]
        return harness.connect()

    return connect_caller


@pytest.fixture
def delay_reading(monkeypatch):
    """Let the writer of a request run before the reader of its answer."""
    receive = EndpointConnection.receive

    def receive_late(self, seconds):
        sleep(READ_DELAY_SECONDS)
        return receive(self, seconds)

    monkeypatch.setattr(EndpointConnection, "receive", receive_late)


def make_head(request, line=b"HTTP/1.1 200 OK", fields=b""):
    """Return the head of an endpoint's answer, also as another entry passes it on."""
    return b"%b\r\nid: %b\r\nsigned: 1\r\nbergamotwood-relay: endpoint\r\n%b\r\n" % (
        line,
        request,
        fields,
    )


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
