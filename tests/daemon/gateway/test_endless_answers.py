"""Peers that send without end, in any form, while an entry serves other callers."""

from socket import create_connection
from threading import Thread
from time import monotonic

import pytest
from core.gateway.samples import make_configuration, make_route
from gevent import sleep, spawn

from bergamotwood_core.gateway.configuration import RouteKind

# Time for which nothing else may be held up, and in which the peer is given up.
MAX_HOLD_SECONDS = 0.5
MAX_SECONDS = 12.0
DEADLINE_SECONDS = 25.0


def make_chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


STREAM_HEAD = (
    b"HTTP/1.1 200 X\r\nid: %b\r\nsigned: 1\r\ntransfer-encoding: chunked\r\n\r\n"
)
FORMS = {
    "bytes": (STREAM_HEAD, 8 * make_chunk(128 * b"x")),
    "single bytes": (STREAM_HEAD, 200 * make_chunk(b"x")),
    "lines": (STREAM_HEAD, 8 * make_chunk(64 * b"x\n")),
    "carriage returns": (STREAM_HEAD, 8 * make_chunk(64 * b"x\r")),
    "empty lines": (STREAM_HEAD, make_chunk(4_096 * b"\n")),
    "comments": (STREAM_HEAD, make_chunk(1_024 * b":\n\n")),
    "repeated events": (STREAM_HEAD, make_chunk(64 * b"id: 1\ndata: a\n\n")),
    "head": (b"HTTP/1.1 200 X\r\n", 512 * b"x"),
    "fields": (b"HTTP/1.1 200 X\r\n", 64 * b"a: b\r\n"),
    "interim responses": (b"", 64 * b"HTTP/1.1 100 X\r\n\r\n"),
}


class EndlessSender:
    """Sends from a thread of its own, so that bytes always wait at the reader."""

    def __init__(self, sock, first, piece, pause_seconds=0.0):
        self.has_ended = False
        self._sock = sock.dup()
        self._pieces = (first, piece)
        self._pause_seconds = pause_seconds
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        from time import sleep as sleep_thread

        first, piece = self._pieces
        end = monotonic() + DEADLINE_SECONDS
        try:
            self._sock._sock.setblocking(True)
            self._sock._sock.sendall(first)
            while monotonic() < end:
                self._sock._sock.sendall(piece)
                if self._pause_seconds:
                    sleep_thread(self._pause_seconds)
        except OSError:
            self.has_ended = True
        finally:
            self._sock.close()


class Ticker:
    """Measures how long other greenlets are held up."""

    def __init__(self):
        self.longest = 0.0
        self._greenlet = spawn(self._run)

    def _run(self):
        while True:
            started_at = monotonic()
            sleep(0.01)
            self.longest = max(self.longest, monotonic() - started_at)

    def stop(self):
        self._greenlet.kill()
        return self.longest


def make_answers(first, piece, senders, **options):
    def act(arrival):
        if arrival.target != "/a/endless":
            return arrival.answer("data: a\n\n")
        head = first.replace(b"%b", arrival.headers["id"].encode())
        senders.append(EndlessSender(arrival.sock, head, piece, **options))
        while not senders[-1].has_ended:
            sleep(0.05)
        return False

    return act


def run_beside_others(make_harness, route, act):
    """Return the seconds of an endless request and the longest hold beside it."""
    harness = make_harness(make_configuration(routes=(route,)), one=act)
    caller = harness.connect()
    assert caller.call(id="q-0", timeout="25").status == 200
    ticker = Ticker()
    started_at = monotonic()
    endless = harness.connect()
    endless.sock.settimeout(DEADLINE_SECONDS)
    greenlet = spawn(endless.call, path="/a/endless", id="q-1", timeout="25")
    replies = []
    while not greenlet.ready() and monotonic() - started_at < DEADLINE_SECONDS:
        asked_at = monotonic()
        if len(replies) < 20:
            assert harness.connect().call(id=f"p-{len(replies)}").status == 200
            replies.append(monotonic() - asked_at)
        sleep(0.05)
    greenlet.join(1.0)
    seconds = monotonic() - started_at
    return seconds, max(ticker.stop(), *replies)


# A stream of bytes that holds no event held the entry for 25 s.
@pytest.mark.parametrize("is_resumable", [True, False])
@pytest.mark.parametrize("form", FORMS)
def test_an_endless_stream_holds_up_no_other_request(make_harness, form, is_resumable):
    senders = []
    route = make_route(
        requires_key=False,
        kind=RouteKind.STREAMING,
        event_gap_seconds=0.8,
        resumable=is_resumable,
        max_attempts=1,
        timeout_seconds=DEADLINE_SECONDS,
    )
    act = make_answers(*FORMS[form], senders)
    seconds, longest = run_beside_others(make_harness, route, act)
    assert senders
    assert longest < MAX_HOLD_SECONDS
    assert seconds < MAX_SECONDS


# A body in pieces of one byte, or a head byte by byte, was read for the whole deadline.
@pytest.mark.parametrize("form", ["bytes", "single bytes", "head"])
def test_an_endless_plain_answer_holds_up_no_other_request(make_harness, form):
    senders = []
    route = make_route(
        requires_key=False, max_attempts=1, timeout_seconds=DEADLINE_SECONDS
    )
    act = make_answers(*FORMS[form], senders)
    seconds, longest = run_beside_others(make_harness, route, act)
    assert senders
    assert longest < MAX_HOLD_SECONDS
    assert seconds < MAX_SECONDS


# A head that never ends kept its request until the deadline.
def test_a_head_that_comes_slowly_without_end_is_given_up(make_harness):
    senders = []
    route = make_route(
        requires_key=False, max_attempts=1, timeout_seconds=DEADLINE_SECONDS
    )
    act = make_answers(b"HTTP/1.1 200 X\r\n", b"x", senders, pause_seconds=0.2)
    seconds, _ = run_beside_others(make_harness, route, act)
    assert seconds < MAX_SECONDS


# Chunks of one byte in a caller's body took seconds, during which nobody was served.
def test_a_callers_body_in_tiny_chunks_holds_up_no_other_request(make_harness):
    route = make_route(
        requires_key=False, max_attempts=1, timeout_seconds=DEADLINE_SECONDS
    )
    harness = make_harness(
        make_configuration(routes=(route,)), one=lambda arrival: arrival.answer()
    )
    ticker = Ticker()
    sock = create_connection(("127.0.0.1", harness.server.port))
    body = 200_000 * make_chunk(b"x") + b"0\r\n\r\n"
    head = b"POST /a/x HTTP/1.1\r\nhost: h.example\r\nid: q-1\r\ntimeout: 25\r\n"
    thread = Thread(
        target=sock.sendall,
        args=(head + b"transfer-encoding: chunked\r\n\r\n" + body,),
        daemon=True,
    )
    thread.start()
    longest = 0.0
    for number in range(40):
        asked_at = monotonic()
        assert harness.connect().call(id=f"p-{number}").status == 200
        longest = max(longest, monotonic() - asked_at)
        sleep(0.02)
    assert max(ticker.stop(), longest) < MAX_HOLD_SECONDS
    sock.close()
