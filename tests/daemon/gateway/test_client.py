"""Whatever bytes an endpoint sends end in an answer, an error, or a time-out."""

from contextlib import suppress

import h11
from gevent import Timeout, spawn
from gevent.socket import socketpair
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
