"""Connections of callers, which serve one request at a time."""

from collections.abc import Callable
from contextlib import suppress
from socket import IPPROTO_TCP, SHUT_WR, SO_LINGER, SOL_SOCKET, TCP_NODELAY
from struct import pack
from sys import maxsize
from typing import TYPE_CHECKING

import h11
from gevent import Greenlet, Timeout, getcurrent
from gevent.socket import socket as Socket

from bergamotwood_core.clock import Seconds
from bergamotwood_core.memory import Phase, Reason
from bergamotwood_daemon.eventloop import Pauser
from bergamotwood_daemon.gateway.answermemory import AnswerMemory
from bergamotwood_daemon.gateway.callerinput import (
    CallerEvictedError,
    CallerTimeoutError,
    ReadAheadBuffer,
)
from bergamotwood_daemon.gateway.message import Headers, HttpRequest, HttpResponse
from bergamotwood_daemon.gateway.sockets import is_readable
from bergamotwood_daemon.log import log_event

if TYPE_CHECKING:
    from bergamotwood_daemon.gateway.server import HttpServer

# Bytes of a response up to which its pieces are sent in one call.
JOINED_BYTES = 65_536
# Timeout for sending a chunk to a caller. Callers give up much earlier themselves.
SEND_TIMEOUT_SECONDS = 30.0
# Time for the caller to read an error response before its connection is closed.
LINGER_SECONDS = 0.5
# Value of `SO_LINGER` with which closing a socket resets its connection.
NO_LINGER = pack("ii", 1, 0)
# Time after which a caller may come back that was refused for want of room.
FULL_RETRY_SECONDS = 1.0
REFUSAL_HEAD = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Connection: close\r\nRetry-After: %.3f\r\n\r\n"
)


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class Exchange:
    """One request of a caller, and the methods that answer it.

    Attributes
    ----------
    request : HttpRequest
        The caller's request.
    status : int
        Status of the response; 0 before its head is sent.
    is_finished : bool
        Whether the complete response was sent.
    extra_headers : list of (bytes, bytes)
        Fields that are added to the head of the response.
    memory : AnswerMemory
        Counts what is held of the answer.
    """

    def __init__(self, connection: "CallerConnection", request: HttpRequest) -> None:
        self.request = request
        self.status = 0
        self.is_finished = False
        self.extra_headers: Headers = []
        self.memory = connection.make_answer_memory()
        self._connection = connection

    def answer(self, response: HttpResponse) -> None:
        """Send a complete response."""
        headers = [
            *response.headers,
            (b"content-length", str(len(response.body)).encode()),
        ]
        self._prepare_head(response.status, headers)
        has_body = response.body and self.request.method != b"HEAD"
        data = [h11.Data(response.body)] if has_body else []
        self._connection.send(*data, h11.EndOfMessage(), prefix=self._head)
        self.is_finished = True

    def start_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a chunked response."""
        self._prepare_head(status, [*headers, (b"transfer-encoding", b"chunked")])
        self._connection.send(prefix=self._head)

    def send_chunk(self, chunk: bytes) -> None:
        """Send a chunk of the response body."""
        self._connection.send(h11.Data(chunk))

    def end_stream(self) -> None:
        """Send the end of the chunked response."""
        self._connection.send(h11.EndOfMessage())
        self.is_finished = True

    def _prepare_head(self, status: int, headers: Headers) -> None:
        self.status = status
        headers = [*headers, *self.extra_headers]
        if self._connection.closes_after_response:
            headers = [*headers, (b"connection", b"close")]
        self._head = self._connection.encode(
            h11.Response(status_code=status, headers=headers)
        )


Handler = Callable[[Exchange], None]


class CallerConnection:
    """A caller's connection; serves its requests one after another."""

    def __init__(self, server: "HttpServer", sock: Socket) -> None:
        self._server = server
        self._sock = sock
        self._holding = server.account.open_connection(server.clock(), self._evict)
        self._inbound: ReadAheadBuffer | None = None
        # The limit on heads may change while the connection is kept.
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=maxsize)
        self._first_byte_at = Seconds(0.0)
        self.is_busy = False
        self._is_shut_down = False
        self._is_framed_twice = False
        # At most as many bytes as `h11` holds without having made an event of them.
        self._unread_bytes = 0
        self._body = bytearray()
        # Bytes that were received and are counted as held.
        self._counted_bytes = 0
        self._is_paused = False
        self._pauser = Pauser()
        self._worker: Greenlet | None = None

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after the current response."""
        return self._server.is_closing or self._is_framed_twice

    def run(self) -> None:
        """Serve requests until either side closes the connection."""
        if self._holding is None:
            self._refuse_connection()
            return
        self._sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self._sock.settimeout(SEND_TIMEOUT_SECONDS)
        self._inbound = ReadAheadBuffer(
            self._sock, self._holding, self._server.account, self._server.clock
        )
        try:
            while self._serve_request():
                self._http.start_next_cycle()
        except CallerDisconnectedError:
            pass
        except CallerTimeoutError:
            self._reject_timeout()
        except CallerEvictedError:
            self._reject(503, FULL_RETRY_SECONDS)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint or 400)
        except OSError as error:
            log_event("caller", "Connection lost.", reason=str(error))
        finally:
            self._close()

    @property
    def has_request(self) -> bool:
        """Whether a request is running or has arrived, even if it is still unread."""
        if self.is_busy or self._is_paused:
            return True
        if self._inbound is None or self._inbound.is_evicted:
            return False
        if self._inbound.has_bytes or self._http.trailing_data[0]:
            return True
        return not self._inbound.is_closed and is_readable(self._sock)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is running or has arrived.

        A request that arrives after the close is never forwarded, so that its
        caller may safely send it again.
        """
        if self.has_request:
            return
        self._is_shut_down = True
        with suppress(OSError):
            self._sock.shutdown(SHUT_WR)

    def encode(self, event: h11.Event) -> bytes:
        """Return the bytes of an event."""
        return self._http.send(event)

    def make_answer_memory(self) -> AnswerMemory:
        """Return the memory of the next answer."""
        return AnswerMemory(self._server.account, self._server.clock)

    def send(self, *events: h11.Event, prefix: bytes = b"") -> None:
        """Send the bytes of a prefix and of events, small ones in one call."""
        pieces = [prefix]
        for event in events:
            pieces += self._http.send_with_data_passthrough(event) or ()
        if sum(map(len, pieces)) <= JOINED_BYTES:
            pieces = [b"".join(pieces)]
        holding = self._holding
        phase, holding.phase = holding.phase, Phase.ANSWERING
        try:
            for piece in pieces:
                self._send_piece(memoryview(piece))
        finally:
            if holding.phase is Phase.ANSWERING:
                holding.phase = phase

    def _send_piece(self, unsent: memoryview) -> None:
        clock = self._server.clock
        started_at = clock()
        while unsent:
            self._holding.progressed_at = clock()
            if self._holding.progressed_at - started_at > SEND_TIMEOUT_SECONDS:
                raise TimeoutError("the caller does not read")
            unsent = unsent[self._sock.send(unsent) :]

    def _serve_request(self) -> bool:
        request = self._read_request()
        if request is None or self._is_shut_down:
            return False
        self._holding.phase = Phase.SERVED
        exchange = Exchange(self, request)
        self.is_busy = True
        self._worker = worker = getcurrent()
        self._inbound.set_close_callback(lambda: _interrupt(worker))
        try:
            self._server.handler(exchange)
        finally:
            self._inbound.set_close_callback(None)
            self.is_busy = False
            exchange.memory.close()
        if not exchange.is_finished or self._is_framed_twice or self._can_close_now():
            return False
        states = self._http.states
        if states[h11.SERVER] is not h11.DONE or states[h11.CLIENT] is not h11.DONE:
            return False
        self._recount(len(self._http.trailing_data[0]))
        is_idle = not self._counted_bytes and not self._inbound.has_bytes
        self._holding.phase = Phase.IDLE if is_idle else Phase.READING
        self._inbound.resume()
        return True

    def _recount(self, count: int) -> None:
        """Count only a number of the bytes that were received as held."""
        freed = self._counted_bytes - count
        if freed > 0:
            self._server.account.shrink(self._holding, freed)
            self._counted_bytes = count

    def _evict(self, reason: Reason) -> None:
        """Make room for others: drop what is held, at once."""
        if self._worker is not None and self.is_busy:
            # Its caller does not read the answer.
            _interrupt(self._worker)
            self._abort()
        elif reason is Reason.MEMORY and (self._body or self._counted_bytes):
            self._body = bytearray()
            self._inbound.evict()
        else:
            self._abort()

    def _abort(self) -> None:
        """Close the connection without waiting for its caller."""
        if self._inbound is not None:
            self._inbound.evict()
        self._close_socket()

    def _refuse_connection(self) -> None:
        """Refuse a connection for which there is no room, and close it."""
        self._server.count_rejection(503)
        head = REFUSAL_HEAD % FULL_RETRY_SECONDS
        with suppress(OSError):
            self._sock.send(head, 0, 0.0)
        with suppress(OSError):
            self._sock.close()

    def _can_close_now(self) -> bool:
        """Whether the server is closing and no further request has arrived.

        A response head that was sent before the server began to close did not
        announce the close, so the caller may already have sent another request.
        """
        if not self._server.is_closing:
            return False
        unread = self._inbound.has_bytes or self._http.trailing_data[0]
        return not unread and not is_readable(self._sock)

    def _read_request(self) -> HttpRequest | None:
        head: h11.Request | None = None
        self._body = bytearray()
        self._first_byte_at = self._server.clock()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._check_incomplete_size()
                # Of a body, `h11` keeps at most the beginning of a chunk.
                self._recount(len(self._body) + self._unread_bytes)
                if self._http.they_are_waiting_for_100_continue:
                    self.send(h11.InformationalResponse(status_code=100, headers=[]))
                self._receive(head is not None)
                continue
            match event:
                case h11.Request():
                    head = event
                    self._is_framed_twice = _is_framed_twice(event)
                    self._check_announced_size(event)
                case h11.Data():
                    self._body += event.data
                    if len(self._body) > self._server.limits().body_bytes:
                        raise h11.RemoteProtocolError("body too large", 413)
                    self._pause()
                    if self._inbound.is_evicted:
                        raise CallerEvictedError
                case h11.EndOfMessage():
                    break
                case _:
                    return None
        body, self._body = bytes(self._body), bytearray()
        return HttpRequest(
            bytes(head.method),
            bytes(head.target),
            [(bytes(name), bytes(value)) for name, value in head.headers],
            body,
            self._first_byte_at,
        )

    def _check_announced_size(self, head: h11.Request) -> None:
        """Check that a head announces no body that is too large.

        Raises
        ------
        h11.RemoteProtocolError
            When it does.
        """
        limit = self._server.limits().body_bytes
        for name, value in head.headers:
            if name == b"content-length" and int(value) > limit:
                raise h11.RemoteProtocolError("body too large", 413)

    def _check_incomplete_size(self) -> None:
        """Check that a head, or the head of a chunk, is not too large.

        Raises
        ------
        h11.RemoteProtocolError
            When more bytes without its end have arrived than the limit in force allows.
        """
        limit = self._server.limits().header_bytes
        if self._unread_bytes <= limit:
            return
        self._unread_bytes = len(self._http.trailing_data[0])
        if self._unread_bytes > limit:
            raise h11.RemoteProtocolError("Receive buffer too long", 431)

    def _pause(self) -> None:
        """Let other greenlets run while a body that has arrived is decoded."""
        self._is_paused = True
        try:
            self._pauser.pause()
        finally:
            self._is_paused = False

    def _receive(self, has_head: bool) -> None:
        limits = self._server.limits()
        is_idle = not has_head and not self._http.trailing_data[0]
        seconds = limits.idle_seconds if is_idle or has_head else limits.header_seconds
        data = self._inbound.receive(seconds)
        if is_idle:
            self._first_byte_at = self._server.clock()
        self._unread_bytes += len(data)
        self._counted_bytes += len(data)
        self._http.receive_data(data)

    def _reject_timeout(self) -> None:
        if self._http.trailing_data[0] or self._http.their_state is h11.SEND_BODY:
            self._reject(408)

    def _reject(self, status: int, retry_after: float | None = None) -> None:
        self._server.count_rejection(status)
        self._body = bytearray()
        self._recount(0)
        self._holding.phase = Phase.CLOSING
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        if retry_after is not None:
            headers.append((b"retry-after", f"{retry_after:.3f}".encode()))
        head = h11.Response(status_code=status, headers=headers)
        with suppress(OSError, h11.LocalProtocolError):
            self.send(head, h11.EndOfMessage())
            self._linger()

    def _linger(self) -> None:
        """Wait until the caller has read the response.

        Closing a socket with unread bytes resets the connection, and the caller could
        lose the response.
        """
        self._sock.shutdown(SHUT_WR)
        with Timeout(LINGER_SECONDS, False):
            self._inbound.discard(LINGER_SECONDS)

    def _close(self) -> None:
        self._inbound.stop()
        self._server.account.close(self._holding)
        self._close_socket()

    def _close_socket(self) -> None:
        """Close the socket; reset it if a cut-off response would seem complete."""
        with suppress(OSError):
            if self._would_seem_complete:
                self._sock.setsockopt(SOL_SOCKET, SO_LINGER, NO_LINGER)
            self._sock.close()

    @property
    def _would_seem_complete(self) -> bool:
        """Whether a close would end a response that is not complete yet.

        Chunks show that the last one is missing, but HTTP/1.0 has none.
        """
        version = self._http.their_http_version
        has_begun = self._http.our_state is h11.SEND_BODY
        return has_begun and version is not None and version < b"1.1"


def _is_framed_twice(head: h11.Request) -> bool:
    """Whether a request has a length and is chunked (RFC 9112, 6.1).

    Another recipient may see a different end of its body, so that the bytes after it
    must not be taken for the next request.
    """
    names = {name for name, _ in head.headers}
    return b"content-length" in names and b"transfer-encoding" in names


def _interrupt(worker: Greenlet) -> None:
    worker.kill(CallerDisconnectedError, block=False)
