"""HTTP calls to endpoints, each on its own connection."""

from collections.abc import Iterator
from dataclasses import dataclass
from socket import IPPROTO_TCP, TCP_NODELAY

from gevent.socket import create_connection, timeout, wait_read
from geventhttpclient.response import (
    HTTPParseError,
    HTTPProtocolViolationError,
    HTTPResponse,
)

from bergamotwood_core.answers import MIN_FINAL_STATUS, find_head_fault
from bergamotwood_core.errors import Code, EndpointError
from bergamotwood_core.messages import Address
from bergamotwood_core.states import Run
from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.eventloop import Pauser

RECEIVE_BYTES = 65_536
EVENT_END = b"\n\n"
EVENT_PREFIX = b"data:"
MAX_EVENT_BYTES = 1_000_000
# Largest head of a response.
MAX_HEAD_BYTES = 65_536
# The parser accepts other protocols, too.
PROTOCOL = b"HTTP/"


@dataclass(frozen=True, slots=True)
class Header:
    """A header field."""

    name: str
    value: str


class _Response(HTTPResponse):
    """A response parser that returns the body as it arrives.

    Attributes
    ----------
    has_head : bool
        Whether the head of the final response is complete.
    """

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self.has_head = False
        self._unread_body = bytearray()

    @property
    def is_complete(self) -> bool:
        """Whether the final response is complete."""
        return self.has_head and self.message_complete

    def _on_message_begin(self) -> None:
        if self.is_complete:
            raise HTTPProtocolViolationError("bytes after the response")
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        has_no_body = super()._on_headers_complete()
        fault = self._find_fault()
        if fault is not None:
            raise HTTPProtocolViolationError(fault)
        self.has_head = self.status_code >= MIN_FINAL_STATUS
        return has_no_body

    def _find_fault(self) -> str | None:
        line = f"{self.version} {self.status_code} {self.status_message or ''}"
        fault = find_head_fault(line.encode("latin-1", "replace"), self.status_code)
        if fault is not None:
            return fault
        coding = self.get("transfer-encoding", "chunked")
        if str(coding).lower() != "chunked":
            return f"unsupported transfer coding {coding}"
        return None

    def _on_body(self, buf: bytearray) -> None:
        self._unread_body += buf

    def take_body(self) -> bytes:
        """Return the body bytes that arrived since the last call."""
        body = bytes(self._unread_body)
        self._unread_body.clear()
        return body


class EndpointCall:
    """An HTTP call on a new connection, sent at most once.

    Parameters
    ----------
    address : Address
        Address of the endpoint.
    method, path : str
        HTTP method and request target.
    headers : tuple of Header
        Header fields besides host, length and connection.
    body : bytes
        Request body.
    """

    def __init__(
        self,
        address: Address,
        method: str,
        path: str,
        headers: tuple[Header, ...],
        body: bytes,
    ) -> None:
        self._address = address
        self._head = _encode_head(address, method, path, headers, len(body))
        self._body = body
        self._response = _Response(method)
        self._socket = None
        self._received_bytes = 0
        self._beginning = b""

    def dial(self, timeout_seconds: float) -> None:
        """Connect to the endpoint.

        Raises
        ------
        EndpointError
            The connection failed; `run` is NOT_RUN, since nothing was sent.
        """
        target = (self._address.host, self._address.port)
        try:
            self._socket = create_connection(target, timeout_seconds)
        except OSError as error:
            raise EndpointError(
                f"cannot connect to {self._address}: {error}", run=Run.NOT_RUN
            ) from error
        self._socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def send(self, timeout_seconds: float) -> None:
        """Write the request and read the response's header fields.

        Raises
        ------
        EndpointError
            The connection broke, the header fields did not arrive in time, or they
            are larger than `MAX_HEAD_BYTES`.
        """
        deadline = read_clock() + timeout_seconds
        self._socket.settimeout(timeout_seconds)
        try:
            self._socket.sendall(self._head + self._body)
        except timeout as error:
            raise EndpointError(
                f"{self._address} did not read the request", Code.STREAM_SILENT
            ) from error
        except OSError as error:
            raise EndpointError(
                f"{self._address} closed the connection: {error}"
            ) from error
        while not self._response.has_head:
            if self._received_bytes > MAX_HEAD_BYTES:
                raise self._make_broken_error(f"no head in {MAX_HEAD_BYTES} bytes")
            self._receive(deadline)

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self._response.status_code

    @property
    def content_type(self) -> str:
        """Content type of the response."""
        return str(self._response.get("content-type") or "application/octet-stream")

    def read(self, timeout_seconds: float) -> bytes:
        """Return the next part of the body, or empty bytes once it is complete.

        Raises
        ------
        EndpointError
            The connection broke, or no data arrived in time.
        """
        deadline = read_clock() + timeout_seconds
        while True:
            piece = self._response.take_body()
            if piece or self._response.is_complete:
                return piece
            self._receive(deadline)

    def read_all(self, timeout_seconds: float, limit: int) -> bytes:
        """Return the whole body, which has to arrive within `timeout_seconds`.

        Raises
        ------
        EndpointError
            As for `read`, or the body is larger than `limit` bytes.
        """
        deadline = read_clock() + timeout_seconds
        body = bytearray()
        while piece := self.read(deadline - read_clock()):
            body += piece
            if len(body) > limit:
                raise EndpointError(
                    f"{self._address}: answer larger than {limit} bytes",
                    Code.ANSWER_TOO_LARGE,
                    Run.RAN,
                )
        return bytes(body)

    def read_events(self, first_timeout: float, timeout: float) -> Iterator[bytes]:
        """Yield the data of each server-sent event, until the body ends.

        Parameters
        ----------
        first_timeout, timeout : float
            Longest time without an event in seconds, before the first one and later.
            Bytes that complete no event do not keep a stalled stream alive.

        Raises
        ------
        EndpointError
            As for `read`, or an event is larger than `MAX_EVENT_BYTES`.
        """
        buffered = bytearray()
        carried = b""
        pauser = Pauser()
        deadline = read_clock() + first_timeout
        while piece := self.read(deadline - read_clock()):
            piece = carried + piece
            # The rest of a CRLF may come with the next piece.
            carried = b"\r" if piece.endswith(b"\r") else b""
            piece = piece.removesuffix(carried)
            searched = max(0, len(buffered) - len(EVENT_END) + 1)
            buffered += piece.replace(b"\r\n", b"\n")
            while (end := buffered.find(EVENT_END, searched)) >= 0:
                event = bytes(buffered[:end])
                del buffered[: end + len(EVENT_END)]
                searched = 0
                pauser.pause()
                if event.startswith(EVENT_PREFIX):
                    yield event[len(EVENT_PREFIX) :].strip()
                    # Counts from here, as the caller may read slowly.
                    deadline = read_clock() + timeout
            if len(buffered) > MAX_EVENT_BYTES:
                raise EndpointError(
                    f"{self._address}: event too large",
                    Code.STREAM_BROKEN,
                )

    def close(self) -> None:
        """Close the connection, which cancels a running request."""
        if self._socket is not None:
            self._socket.close()

    def _receive(self, deadline: float) -> None:
        left = deadline - read_clock()
        if left <= 0.0:
            raise EndpointError(f"{self._address} stayed silent", Code.STREAM_SILENT)
        self._socket.settimeout(left)
        try:
            # Waiting first avoids a recv call that would find no data.
            wait_read(self._socket.fileno(), self._socket.gettimeout())
            data = self._socket.recv(RECEIVE_BYTES)
        except timeout as error:
            raise EndpointError(
                f"{self._address} stayed silent", Code.STREAM_SILENT
            ) from error
        except OSError as error:
            raise self._make_broken_error(str(error)) from error
        self._received_bytes += len(data)
        if not data and not self._ends_with_connection():
            raise self._make_broken_error("closed early")
        self._check_protocol(data)
        try:
            self._response.feed(data)
        except HTTPParseError as error:
            if self._response.is_complete:
                # Bytes after a complete response belong to no request.
                return
            raise self._make_broken_error(f"not HTTP: {error}") from error

    def _check_protocol(self, data: bytes) -> None:
        if len(self._beginning) == len(PROTOCOL):
            return
        self._beginning = (self._beginning + data).lstrip(b"\r\n")[: len(PROTOCOL)]
        if not PROTOCOL.startswith(self._beginning):
            raise self._make_broken_error("not HTTP")

    def _ends_with_connection(self) -> bool:
        return (
            self._response.has_head
            and self._response.content_length is None
            and "transfer-encoding" not in self._response
        )

    def _make_broken_error(self, reason: str) -> EndpointError:
        return EndpointError(f"{self._address}: {reason}", Code.STREAM_BROKEN)


def _encode_head(
    address: Address, method: str, path: str, headers: tuple[Header, ...], length: int
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{header.name}: {header.value}" for header in headers]
    lines += [f"Content-Length: {length}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1")
