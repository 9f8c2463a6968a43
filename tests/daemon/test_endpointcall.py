from socket import SHUT_WR

import pytest
from daemon.brokenheads import (
    BROKEN_HEADS,
    EVENTS,
    INTERIM_LINES,
    LENGTH_FIELD,
    SOUND_HEADS,
)
from daemon.gateway.rawserver import reset
from gevent import Timeout, sleep, spawn
from gevent.server import StreamServer

from bergamotwood_core.errors import Code, EndpointError
from bergamotwood_core.messages import Address
from bergamotwood_core.states import Run
from bergamotwood_daemon.endpointcall import EndpointCall

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"


class RawServer:
    """Answers each connection with fixed bytes, then closes it or keeps it open."""

    def __init__(self, answer, keep_open=False):
        self.connections = 0
        self._answer = answer
        self._keep_open = keep_open
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def _serve(self, sock, _):
        self.connections += 1
        sock.recv(65_536)
        sock.sendall(self._answer)
        if self._keep_open:
            sock.recv(1)

    def stop(self):
        self._server.stop(timeout=0)


def make_call(server):
    call = EndpointCall(server.address, "POST", "/x", (), b"{}")
    call.dial(1.0)
    return call


@pytest.fixture
def serve():
    servers = []

    def start(answer, keep_open=False):
        servers.append(RawServer(answer, keep_open))
        return servers[-1]

    yield start
    for server in servers:
        server.stop()


def test_body_is_read_up_to_its_content_length(serve):
    server = serve(HEAD + b"Content-Length: 5\r\n\r\nhello", keep_open=True)
    call = make_call(server)
    call.send(1.0)
    assert call.read_all(1.0, 100) == b"hello"


@pytest.mark.parametrize(
    "answer",
    [
        HEAD + b"Content-Length: 9\r\n\r\nhello",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    ],
)
def test_truncated_body_raises_stream_broken(serve, answer):
    call = make_call(serve(answer))
    call.send(1.0)
    with pytest.raises(EndpointError) as caught:
        call.read_all(1.0, 100)
    assert caught.value.code is Code.STREAM_BROKEN
    assert caught.value.run is Run.MAY_HAVE_RUN


def test_read_timeout_raises_stream_silent(serve):
    server = serve(HEAD + b"Content-Length: 9\r\n\r\nhello", keep_open=True)
    call = make_call(server)
    call.send(1.0)
    with pytest.raises(EndpointError) as caught:
        call.read_all(0.05, 100)
    assert caught.value.code is Code.STREAM_SILENT


def test_request_is_not_resent_when_the_connection_closes_without_an_answer(serve):
    server = serve(b"")
    call = make_call(server)
    with pytest.raises(EndpointError) as caught:
        call.send(1.0)
    assert caught.value.run is Run.MAY_HAVE_RUN
    assert server.connections == 1


def test_refused_connection_raises_an_error_marked_not_run():
    server = RawServer(b"")
    server.stop()
    with pytest.raises(EndpointError) as caught:
        make_call(server)
    assert caught.value.run is Run.NOT_RUN


def test_events_are_parsed_when_each_byte_is_its_own_http_chunk(serve):
    events = b"data: one\n\ndata: two\r\n\r\ndata: three\n\n"
    chunks = b"".join(
        b"1\r\n" + events[i : i + 1] + b"\r\n" for i in range(len(events))
    )
    server = serve(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n")
    call = make_call(server)
    call.send(1.0)
    assert list(call.read_events(1.0, 1.0)) == [b"one", b"two", b"three"]


def test_answer_larger_than_the_limit_is_refused(serve):
    call = make_call(serve(HEAD + b"Content-Length: 5\r\n\r\nhello"))
    call.send(1.0)
    with pytest.raises(EndpointError) as caught:
        call.read_all(1.0, 4)
    assert caught.value.code is Code.ANSWER_TOO_LARGE


def test_close_ends_a_blocked_read_with_an_error(serve):
    call = make_call(serve(HEAD + b"Content-Length: 9\r\n\r\nhello", keep_open=True))
    call.send(5.0)
    reader = spawn(call.read_all, 5.0, 100)
    reader.join(0.01)
    call.close()
    reader.join(1.0)
    assert isinstance(reader.exception, EndpointError)


class PressingServer(RawServer):
    """Sends a beginning, then the same bytes again and again."""

    def __init__(self, beginning, repeated, pause_seconds):
        self._repeated = repeated
        self._pause_seconds = pause_seconds
        super().__init__(beginning)

    def _serve(self, sock, _):
        sock.recv(65_536)
        sock.sendall(self._answer)
        while True:
            try:
                sock.sendall(self._repeated)
            except OSError:
                return
            sleep(self._pause_seconds)


@pytest.fixture
def press():
    servers = []

    def start(beginning, repeated, pause_seconds=0.0):
        servers.append(PressingServer(beginning, repeated, pause_seconds))
        return make_call(servers[-1])

    yield start
    for server in servers:
        server.stop()


def test_a_head_without_end_is_broken(press):
    call = press(b"HTTP/1.1 200 OK\r\n", b"X-More: " + b"y" * 4_000 + b"\r\n")
    with pytest.raises(EndpointError) as caught, Timeout(5.0):
        call.send(2.0)
    assert caught.value.code is Code.STREAM_BROKEN


def test_a_head_that_comes_byte_by_byte_is_silent(press):
    call = press(b"HTTP/1.1 200 OK\r\nX: ", b"y", 0.02)
    with pytest.raises(EndpointError) as caught, Timeout(5.0):
        call.send(0.3)
    assert caught.value.code is Code.STREAM_SILENT


@pytest.mark.parametrize("repeated", [b"1\r\nx\r\n", b"3\r\n:\n\n\r\n"])
def test_a_stream_without_events_is_silent_whatever_bytes_come(press, repeated):
    call = press(HEAD + b"Transfer-Encoding: chunked\r\n\r\n", repeated, 0.02)
    call.send(1.0)
    with pytest.raises(EndpointError) as caught, Timeout(5.0):
        list(call.read_events(0.3, 0.3))
    assert caught.value.code is Code.STREAM_SILENT


def test_a_body_that_comes_byte_by_byte_is_silent(press):
    call = press(HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n", 0.02)
    call.send(1.0)
    with pytest.raises(EndpointError) as caught, Timeout(5.0):
        call.read_all(0.3, 1_000)
    assert caught.value.code is Code.STREAM_SILENT


def test_a_crlf_split_over_two_reads_ends_an_event(serve):
    class SplitServer(RawServer):
        def _serve(self, sock, _):
            sock.recv(65_536)
            sock.sendall(HEAD + b"Content-Length: 25\r\n\r\ndata: a\r\n\r")
            sleep(0.05)
            sock.sendall(b"\ndata: bcde\r\n\r\n")

    server = SplitServer(b"")
    call = make_call(server)
    call.send(1.0)
    assert list(call.read_events(1.0, 1.0)) == [b"a", b"bcde"]
    server.stop()


def exchange(server):
    """Return the status and the body of an answer."""
    call = make_call(server)
    try:
        call.send(1.0)
        body = call.read_all(1.0, 10_000)
        return call.status, body
    finally:
        call.close()


# A status below 200 or above 599, or another protocol, was taken for an answer.
@pytest.mark.parametrize("line, fields", [*BROKEN_HEADS, (b"RTSP/1.0 200 OK", b"")])
def test_an_answer_whose_head_is_broken_is_none(serve, line, fields):
    server = serve(line + b"\r\n" + fields + b"\r\n" + EVENTS)
    with pytest.raises(EndpointError) as caught:
        exchange(server)
    assert caught.value.code is Code.STREAM_BROKEN
    assert caught.value.run is Run.MAY_HAVE_RUN


@pytest.mark.parametrize("line, fields", SOUND_HEADS)
def test_an_answer_whose_head_is_sound_is_read_whole(serve, line, fields):
    server = serve(line + b"\r\n" + fields + b"\r\n" + EVENTS)
    assert exchange(server) == (200, EVENTS)


@pytest.mark.parametrize("coding", [b"gzip, chunked", b"gzip", b"chunked, identity"])
def test_a_body_in_a_coding_that_is_not_supported_is_broken(serve, coding):
    head = HEAD + b"Transfer-Encoding: " + coding + b"\r\n\r\n"
    with pytest.raises(EndpointError) as caught:
        exchange(serve(head + b"5\r\nhello\r\n0\r\n\r\n"))
    assert caught.value.code is Code.STREAM_BROKEN


WHOLE = HEAD + b"Content-Length: 5\r\n\r\nhello"


# The second answer's status and body were added to those of the first.
@pytest.mark.parametrize(
    "extra",
    [
        WHOLE,
        b"HTTP/1.1 404 X\r\nContent-Length: 4\r\n\r\nlost",
        b"HTTP/1.1 100 X\r\n\r\n",
        b"extra",
        b"\r\n\r\n",
    ],
)
def test_bytes_after_a_complete_answer_are_no_part_of_it(serve, extra):
    assert exchange(serve(WHOLE + extra)) == (200, b"hello")


class ActingServer(RawServer):
    """Calls a function with each connection, of which it has read some bytes."""

    def __init__(self, act):
        self._act = act
        super().__init__(b"")

    def _serve(self, sock, _):
        sock.recv(1_000)
        self._act(sock)


@pytest.fixture
def act():
    servers = []

    def start(function):
        servers.append(ActingServer(function))
        return servers[-1]

    yield start
    for server in servers:
        server.stop()


# An interim response that came by itself was taken for the answer.
def test_an_interim_response_is_followed_by_the_answer(act):
    def answer(sock):
        for piece in (INTERIM_LINES, WHOLE):
            sock.sendall(piece)
            sleep(0.05)

    assert exchange(act(answer)) == (200, b"hello")


def test_an_interim_response_alone_is_no_answer(serve):
    with pytest.raises(EndpointError) as caught:
        exchange(serve(INTERIM_LINES))
    assert caught.value.code is Code.STREAM_BROKEN


UPLOAD = 4_000_000 * b"u"


def upload(server):
    call = EndpointCall(server.address, "POST", "/x", (), UPLOAD)
    call.dial(1.0)
    call.send(5.0)
    return call.status, call.read_all(5.0, 10_000)


@pytest.mark.parametrize("pause_seconds", [0.0, 0.1])
@pytest.mark.parametrize("reads", [0, 1, 20])
def test_an_answer_that_is_reset_is_broken(act, reads, pause_seconds):
    def answer(sock):
        sock.sendall(HEAD + b"\r\n" + EVENTS)
        for _ in range(reads):
            sock.recv(65_536)
        sleep(pause_seconds)
        reset(sock)

    with pytest.raises(EndpointError):
        upload(act(answer))


@pytest.mark.parametrize("fields", [b"", LENGTH_FIELD])
def test_an_early_answer_is_read_whole(act, fields):
    def answer(sock):
        sock.sendall(HEAD + fields + b"\r\n" + EVENTS)
        sock.shutdown(SHUT_WR)
        while sock.recv(65_536):
            pass

    assert upload(act(answer)) == (200, EVENTS)
