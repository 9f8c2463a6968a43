"""Whatever bytes an endpoint sends end in an answer, an error, or a time-out."""

from contextlib import suppress
from socket import (
    IPPROTO_TCP,
    SHUT_WR,
    SO_LINGER,
    SO_RCVBUF,
    SOL_SOCKET,
    TCP_MAXSEG,
)
from struct import pack

import h11
import pytest
from gevent import Timeout, sleep, spawn
from gevent.socket import AF_INET, SOCK_STREAM, socketpair
from gevent.socket import socket as Socket
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.gateway.client import (
    ConnectionBrokenError,
    EndpointConnection,
    ResponseTimeoutError,
)

WAIT_SECONDS = 2.0
READ_SECONDS = 0.2
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)
PIECES = st.lists(
    st.one_of(
        st.binary(max_size=200),
        st.sampled_from([WHOLE, CHUNKED, b"\r\n", b"HTTP/1.1 ", b"ffffffff\r\n"]),
    ),
    max_size=8,
)


def open_pair():
    connection = EndpointConnection("127.0.0.1:1", read_clock)
    connection.close()
    ours, theirs = socketpair()
    connection._sock = ours
    connection.send(b"GET", b"/", [(b"host", b"h")], b"")
    return connection, theirs


def send_all(sock, pieces):
    with suppress(OSError):
        for piece in pieces:
            sock.sendall(piece)
        sock.close()


def read_answer(connection):
    """Return the body, or the error that ends the answer."""
    body = b""
    try:
        while True:
            event = connection.receive(READ_SECONDS)
            if isinstance(event, h11.EndOfMessage):
                return body
            if isinstance(event, h11.Data):
                body += event.data
    except (ConnectionBrokenError, ResponseTimeoutError) as error:
        return error


@given(PIECES)
@settings(deadline=None, max_examples=200)
@example([WHOLE, WHOLE])
@example([b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhel"])
@example([b"\xff" * 200] * 8)
def test_any_bytes_in_any_split_end_in_an_answer_or_an_error(pieces):
    connection, theirs = open_pair()
    sender = spawn(send_all, theirs, pieces)
    with Timeout(WAIT_SECONDS):
        answer = read_answer(connection)
        assert isinstance(answer, bytes | ConnectionBrokenError | ResponseTimeoutError)
    connection.close()
    sender.kill()
    theirs.close()


@given(
    st.sampled_from([WHOLE, CHUNKED]),
    st.lists(st.integers(1, len(CHUNKED)), max_size=9),
)
@settings(deadline=None, max_examples=100)
def test_an_answer_is_read_alike_in_any_split(answer, cuts):
    bounds = sorted({0, len(answer), *(cut for cut in cuts if cut < len(answer))})
    pieces = [
        answer[start:stop] for start, stop in zip(bounds, bounds[1:], strict=False)
    ]
    connection, theirs = open_pair()
    sender = spawn(send_all, theirs, pieces)
    with Timeout(WAIT_SECONDS):
        assert read_answer(connection) == b"hello"
    connection.close()
    sender.kill()


def test_bytes_after_a_complete_answer_end_the_connection():
    connection, theirs = open_pair()
    theirs.sendall(WHOLE + WHOLE)
    assert read_answer(connection) == b"hello"
    assert not connection.finish()
    connection.close()
    theirs.close()


BODY = bytes(range(256)) * 4_000


def open_slow_pair():
    """Return a connection to an endpoint with a small window, and its socket."""
    listener = Socket(AF_INET, SOCK_STREAM)
    listener.setsockopt(SOL_SOCKET, SO_RCVBUF, 4_096)
    listener.setsockopt(IPPROTO_TCP, TCP_MAXSEG, 1_460)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    connection = EndpointConnection(
        f"127.0.0.1:{listener.getsockname()[1]}", read_clock
    )
    connection.open()
    theirs, _ = listener.accept()
    listener.close()
    return connection, theirs


def read_body(sock, data, size):
    while len(data) < size:
        more = sock.recv(65_536)
        if not more:
            break
        data += more
    return data


def wait_for_answer(connection):
    """Return the body of an answer that takes longer than the waits for it."""
    while True:
        answer = read_answer(connection)
        if not isinstance(answer, ResponseTimeoutError):
            return answer


def post(connection, body):
    length = str(len(body)).encode()
    headers = [(b"host", b"h"), (b"content-length", length)]
    connection.send(b"POST", b"/", headers, body)


# A wait of the reader ended the writer, and the rest of the body was never sent.
def test_a_body_that_is_read_slowly_arrives_whole_whatever_the_reader_waits_for():
    connection, theirs = open_slow_pair()
    post(connection, BODY)
    received = []

    def serve():
        data = b""
        for _ in range(4):
            sleep(2.5 * READ_SECONDS)
            data += theirs.recv(65_536)
        size = data.index(b"\r\n\r\n") + 4 + len(BODY)
        received.append(read_body(theirs, data, size)[-len(BODY) :])
        theirs.sendall(WHOLE)

    server = spawn(serve)
    with Timeout(10.0):
        assert wait_for_answer(connection) == b"hello"
    assert received == [BODY]
    assert connection.finish()
    # The next request follows directly.
    post(connection, b"next")
    assert theirs.recv(65_536).endswith(b"\r\n\r\nnext")
    connection.close()
    server.kill()
    theirs.close()


# The bytes of the next request were taken for the rest of a body.
def test_a_connection_whose_body_is_not_written_is_not_used_again():
    connection, theirs = open_slow_pair()
    post(connection, BODY)
    for _ in range(4):
        assert isinstance(read_answer(connection), ResponseTimeoutError)
        theirs.recv(65_536)
    for _ in range(3):
        assert isinstance(read_answer(connection), ResponseTimeoutError)
    theirs.sendall(WHOLE)
    with Timeout(WAIT_SECONDS):
        assert wait_for_answer(connection) == b"hello"
    assert not connection.finish()
    connection.close()
    with Timeout(WAIT_SECONDS):
        rest = read_body(theirs, b"", 2 * len(BODY))
    assert rest[-1_000:] in BODY
    theirs.close()


def test_an_endpoint_that_closes_midway_through_a_body_is_noticed_at_once():
    connection, theirs = open_slow_pair()
    post(connection, BODY)
    theirs.recv(1_000)
    theirs.close()
    with Timeout(WAIT_SECONDS):
        assert isinstance(wait_for_answer(connection), ConnectionBrokenError)
    assert not connection.finish()
    connection.close()


def test_a_closed_connection_writes_no_more_of_its_body():
    connection, theirs = open_slow_pair()
    post(connection, BODY)
    sleep(0.05)
    connection.close()
    with Timeout(WAIT_SECONDS):
        try:
            assert len(read_body(theirs, b"", 2 * len(BODY))) < len(BODY)
        except ConnectionResetError:
            pass
    theirs.close()


UNFRAMED_PART = b"HTTP/1.1 200 OK\r\n\r\n" + 5_000 * b"x"
RESET = pack("ii", 1, 0)


def reset(sock):
    sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET)
    sock.close()


# The writer of the request got the reset, and the reader a sound end of the answer.
def test_an_answer_without_length_is_broken_by_a_reset_that_only_the_writer_sees():
    connection, theirs = open_slow_pair()
    post(connection, BODY)
    theirs.recv(1_000)
    theirs.sendall(UNFRAMED_PART)
    sleep(0.05)
    theirs.recv(65_536)
    reset(theirs)
    sleep(0.05)
    assert connection._writer.error is not None
    with Timeout(WAIT_SECONDS):
        assert isinstance(wait_for_answer(connection), ConnectionBrokenError)
    assert not connection.finish()
    connection.close()


def test_an_answer_without_length_ends_with_its_connection_before_the_request_is_read():
    connection, theirs = open_slow_pair()
    post(connection, BODY)
    theirs.recv(1_000)
    theirs.sendall(UNFRAMED_PART)
    theirs.shutdown(SHUT_WR)
    with Timeout(WAIT_SECONDS):
        assert wait_for_answer(connection) == 5_000 * b"x"
    assert not connection.finish()
    connection.close()
    theirs.close()


def test_an_answer_without_length_is_whole_if_its_end_came_before_a_reset():
    connection, theirs = open_slow_pair()
    post(connection, BODY)
    theirs.recv(1_000)
    theirs.sendall(UNFRAMED_PART)
    theirs.shutdown(SHUT_WR)
    sleep(0.05)
    theirs.recv(65_536)
    reset(theirs)
    sleep(0.05)
    assert isinstance(connection._writer.error, BrokenPipeError)
    with Timeout(WAIT_SECONDS):
        assert wait_for_answer(connection) == 5_000 * b"x"
    connection.close()


def test_an_early_answer_with_a_length_is_whole_though_its_connection_is_reset():
    connection, theirs = open_slow_pair()
    post(connection, BODY)
    theirs.recv(1_000)
    theirs.sendall(WHOLE)
    sleep(0.05)
    theirs.recv(65_536)
    reset(theirs)
    sleep(0.05)
    assert connection._writer.error is not None
    with Timeout(WAIT_SECONDS):
        assert wait_for_answer(connection) == b"hello"
    assert not connection.finish()
    connection.close()


FOLDED = b"HTTP/1.1 200 OK\r\na: b\r\n c: d\r\ncontent-length: 5\r\n\r\nhello"
INTERIM = b"HTTP/1.1 103 X\r\na: b\r\n\r\n"
# The blank begins a line of the body, not of the head.
BLANK = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n\n a\x01b"


@pytest.mark.parametrize("size", [1, 7, 1_000])
@pytest.mark.parametrize(
    "answer, body", [(FOLDED, None), (INTERIM + FOLDED, None), (BLANK, b"\n a\x01b")]
)
def test_a_head_is_checked_alike_in_any_split(answer, body, size):
    connection, theirs = open_pair()
    pieces = [answer[at : at + size] for at in range(0, len(answer), size)]
    sender = spawn(send_all, theirs, pieces)
    with Timeout(WAIT_SECONDS):
        found = read_answer(connection)
    assert found == body if body else isinstance(found, ConnectionBrokenError)
    connection.close()
    sender.kill()


def test_the_next_answer_on_a_connection_is_checked_by_itself():
    connection, theirs = open_pair()
    for _ in range(3):
        theirs.sendall(INTERIM + WHOLE)
        assert read_answer(connection) == b"hello"
        assert connection.finish()
        connection.send(b"GET", b"/", [(b"host", b"h")], b"")
    theirs.sendall(FOLDED)
    assert isinstance(read_answer(connection), ConnectionBrokenError)
    connection.close()
    theirs.close()


class AnsweredSocket:
    """Socket whose other end acts as soon as the first bytes are sent."""

    def __init__(self, sock, act):
        self._sock = sock
        self._act = act

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def send(self, *args):
        count = self._sock.send(*args)
        act, self._act = self._act, lambda: None
        act()
        return count


def post_to_a_server_that_resets(answer):
    """Return what is read of an answer that is there before the body is sent."""
    connection, theirs = open_slow_pair()

    def act():
        theirs.recv(1_000)
        theirs.sendall(answer)
        reset(theirs)
        sleep(0.05)

    connection._sock = AnsweredSocket(connection._sock, act)
    post(connection, BODY)
    with Timeout(WAIT_SECONDS):
        found = wait_for_answer(connection)
    assert not connection.finish()
    connection.close()
    return found


# The error of the write hid an answer that had arrived.
def test_an_answer_that_comes_before_the_body_is_sent_is_whole():
    assert post_to_a_server_that_resets(WHOLE) == b"hello"


def test_a_part_of_an_answer_that_comes_before_the_body_is_sent_is_broken():
    found = post_to_a_server_that_resets(UNFRAMED_PART)
    assert isinstance(found, ConnectionBrokenError)
