"""HTTP/1.1 client for endpoints, with a pool of idle connections."""

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from socket import IPPROTO_TCP, TCP_NODELAY

import h11
from gevent.socket import AF_INET, SOCK_STREAM
from gevent.socket import socket as Socket

from bergamotwood_core.answers import find_head_fault, is_orderly_end
from bergamotwood_core.bounds import parse_count
from bergamotwood_core.clock import Seconds
from bergamotwood_core.messages import parse_address
from bergamotwood_daemon.eventloop import Pauser
from bergamotwood_daemon.gateway.message import Headers
from bergamotwood_daemon.gateway.requestwriter import RequestWriter
from bergamotwood_daemon.gateway.sockets import is_readable

READ_BYTES = 65_536
# Connections within a region open within a few milliseconds, and the kernel
# retransmits a lost SYN only after a second: waiting a little longer does not help.
CONNECT_TIMEOUT_SECONDS = 0.6
# Idle time up to which a connection is reused if the endpoint announces no timeout:
# shorter than the 5 s that servers commonly use.
MAX_IDLE_SECONDS = 3.0
# Fraction of an endpoint's announced idle timeout up to which a connection is reused.
IDLE_TIMEOUT_FRACTION = 0.6
# Largest idle timeout that is told from others.
MAX_KEEP_ALIVE_SECONDS = 86_400
# Idle connections kept per endpoint.
MAX_IDLE_CONNECTIONS = 8
MAX_HEAD_BYTES = 65_536
# Bytes of a body up to which it is sent in one call with its head.
JOINED_BYTES = 65_536
# Time from the first byte of a head to its end; heads come in one piece or a few.
HEAD_SECONDS = 5.0
HEAD_STATES = (h11.IDLE, h11.SEND_RESPONSE)
# Interim responses accepted before the final one.
MAX_INFORMATIONAL_RESPONSES = 8
# Shortest timeout of a socket; 0 would make it non-blocking.
MIN_RECEIVE_SECONDS = 0.001


class NotConnectedError(Exception):
    """No connection could be opened; nothing was sent."""


class ConnectionBrokenError(Exception):
    """The connection broke, or the received bytes are not a valid response."""


class ResponseTimeoutError(Exception):
    """The endpoint sent nothing in time."""


class EndpointConnection:
    """A connection to an endpoint that carries one request at a time.

    Parameters
    ----------
    address : str
        Host and port.
    clock : callable
        Returns the current time.

    Attributes
    ----------
    is_reused : bool
        Whether it has already carried a request.
    """

    def __init__(self, address: str, clock: Callable[[], Seconds]) -> None:
        self.address = address
        self.is_reused = False
        self.idle_until = Seconds(0.0)
        self._clock = clock
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._writer: RequestWriter | None = None
        # Time of the first byte of the next event; None until it has arrived.
        self._head_began_at: Seconds | None = None
        # Bytes since the last head, until the next one is complete.
        self._raw_head = bytearray()
        self._sock = Socket(AF_INET, SOCK_STREAM)
        self._idle_seconds = MAX_IDLE_SECONDS
        self._pauser = Pauser()

    def open(self) -> None:
        """Open the connection.

        Raises
        ------
        NotConnectedError
            When the connection fails or times out.
        """
        self._sock.settimeout(CONNECT_TIMEOUT_SECONDS)
        try:
            address = parse_address(self.address)
            self._sock.connect((address.host, address.port))
            self._sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        except (OSError, OverflowError, ValueError) as error:
            self.close()
            raise NotConnectedError(f"{self.address}: {error}") from error

    @property
    def has_no_input(self) -> bool:
        """Whether the socket has neither unread bytes nor an end of stream."""
        return not is_readable(self._sock)

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a request; an endpoint may answer before it has read all of it.

        If the connection breaks, `receive` raises once it has read what came before.
        """
        head = h11.Request(method=method, target=target, headers=headers)
        pieces = [self._http.send(head)]
        if body:
            pieces += self._http.send_with_data_passthrough(h11.Data(body))
        self._http.send(h11.EndOfMessage())
        if len(body) <= JOINED_BYTES:
            pieces = [b"".join(pieces)]
        self._writer = RequestWriter(self._sock, pieces)
        self._writer.start()

    def receive(self, seconds: float) -> h11.Event:
        """Return the next event of the response, waiting at most `seconds` for it.

        Raises
        ------
        ConnectionBrokenError
            When the connection breaks or the response is invalid.
        ResponseTimeoutError
            When nothing arrives in time.
        """
        deadline = self._clock() + seconds
        has_received = False
        try:
            while True:
                # Neither bytes that wait nor events may hold up other requests.
                self._pauser.pause()
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    self._head_began_at = None
                    return self._check_event(event)
                left = deadline - self._clock()
                if left < 0.0 and has_received:
                    # Bytes without an event must not keep the wait alive.
                    raise TimeoutError
                self._check_head_time()
                self._sock.settimeout(max(left, MIN_RECEIVE_SECONDS))
                data = self._sock.recv(READ_BYTES)
                if not data:
                    self._check_end()
                if self._http.their_state in HEAD_STATES:
                    self._raw_head += data
                self._http.receive_data(data)
                has_received = True
                if self._head_began_at is None:
                    self._head_began_at = self._clock()
        except TimeoutError as error:
            if self._write_error is not None:
                raise ConnectionBrokenError(
                    f"{self.address}: request not written: {self._write_error}"
                ) from error
            raise ResponseTimeoutError(
                f"{self.address}: nothing within {seconds:.3f} s"
            ) from error
        except (OSError, h11.RemoteProtocolError) as error:
            raise ConnectionBrokenError(f"{self.address}: {error}") from error

    def receive_head(self, seconds: float) -> h11.Response:
        """Return the head of the final response, waiting at most `seconds` for it.

        Raises
        ------
        ConnectionBrokenError, ResponseTimeoutError
            As for `receive`, or there are too many interim responses.
        """
        deadline = self._clock() + seconds
        for _ in range(MAX_INFORMATIONAL_RESPONSES):
            head = self.receive(max(deadline - self._clock(), 0.0))
            if isinstance(head, h11.Response):
                return head
        raise ConnectionBrokenError(f"{self.address}: too many informational responses")

    def finish(self) -> bool:
        """End an exchange; return whether the connection can be reused.

        The endpoint would take what follows for the rest of a request that is written
        only in part.
        """
        is_written = self._writer is None or self._writer.is_complete
        done = self._http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        if not is_written or not done or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self._writer = None
        self.is_reused = True
        self.idle_until = Seconds(self._clock() + self._idle_seconds)
        return True

    def close(self) -> None:
        """Close the connection; the endpoint notices the close at once."""
        if self._writer is not None:
            self._writer.stop()
        with suppress(OSError):
            self._sock.close()

    @property
    def _write_error(self) -> OSError | None:
        return self._writer.error if self._writer is not None else None

    def _check_end(self) -> None:
        """Check that the endpoint has ended the response, if it has no length."""
        if not is_orderly_end(self._write_error):
            raise ConnectionBrokenError(
                f"{self.address}: broken while writing: {self._write_error}"
            )

    def _check_head_time(self) -> None:
        """Check that an incomplete head has not been coming for too long."""
        if self._head_began_at is None or self._http.their_state not in HEAD_STATES:
            return
        if self._clock() - self._head_began_at > HEAD_SECONDS:
            raise ConnectionBrokenError(
                f"{self.address}: head incomplete after {HEAD_SECONDS:.0f} s"
            )

    def _check_event(self, event: h11.Event) -> h11.Event:
        match event:
            case h11.ConnectionClosed() | h11.PAUSED:
                raise ConnectionBrokenError(
                    f"{self.address}: closed without a response"
                )
            case h11.InformationalResponse():
                self._check_head(event)
            case h11.Response():
                self._check_head(event)
                self._read_keep_alive(event)
        return event

    def _check_head(self, head: h11.Response | h11.InformationalResponse) -> None:
        """Check a head that `h11`, which accepts more than HTTP/1.1, has parsed."""
        rest = self._http.trailing_data[0]
        raw_head = bytes(self._raw_head[: len(self._raw_head) - len(rest)])
        is_final = self._http.their_state not in HEAD_STATES
        self._raw_head = bytearray() if is_final else bytearray(rest)
        fault = find_head_fault(raw_head, head.status_code)
        if fault is not None:
            raise ConnectionBrokenError(f"{self.address}: {fault}")

    def _read_keep_alive(self, response: h11.Response) -> None:
        for name, value in response.headers:
            if name != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                seconds = parse_count(number.decode("latin-1"), MAX_KEEP_ALIVE_SECONDS)
                if key == b"timeout" and seconds is not None:
                    self._idle_seconds = min(
                        MAX_IDLE_SECONDS, IDLE_TIMEOUT_FRACTION * seconds
                    )


class ConnectionPool:
    """Idle connections by endpoint address."""

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._idle: dict[str, deque[EndpointConnection]] = {}
        self.opened_connections = 0

    def acquire(self, address: str, must_be_new: bool) -> EndpointConnection:
        """Return an open connection to an endpoint.

        Parameters
        ----------
        address : str
            Host and port of the endpoint.
        must_be_new : bool
            Whether to open a new connection. A request that may run only once
            needs one: if it is lost on a stale connection, it cannot be retried.

        Raises
        ------
        NotConnectedError
            When no connection to the endpoint can be opened.
        """
        idle = self._idle.get(address)
        while idle and not must_be_new:
            connection = idle.pop()
            if connection.idle_until > self._clock() and connection.has_no_input:
                return connection
            connection.close()
        return self.open(address)

    def open(self, address: str) -> EndpointConnection:
        """Return a new connection to an endpoint.

        Raises
        ------
        NotConnectedError
            When it cannot be opened.
        """
        connection = EndpointConnection(address, self._clock)
        connection.open()
        self.opened_connections += 1
        return connection

    def keep(self, connection: EndpointConnection) -> None:
        """Keep a new connection that has carried no request yet."""
        connection.idle_until = Seconds(self._clock() + MAX_IDLE_SECONDS)
        self._store(connection)

    def release(self, connection: EndpointConnection) -> None:
        """Keep a connection after an exchange if it can be reused; else close it."""
        if not connection.finish():
            connection.close()
            return
        self._store(connection)

    def expire(self) -> None:
        """Close connections whose idle time is over."""
        now = self._clock()
        for address, idle in list(self._idle.items()):
            while idle and idle[0].idle_until <= now:
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def _store(self, connection: EndpointConnection) -> None:
        idle = self._idle.setdefault(connection.address, deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.popleft().close()
