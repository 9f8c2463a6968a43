"""One send of a request to one endpoint."""

from collections.abc import Callable
from dataclasses import dataclass

import h11

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.call import Call, ForwardMetadata
from bergamotwood_core.gateway.configuration import RouteKind
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.health import AttemptResult
from bergamotwood_daemon.gateway.client import (
    BrokenError,
    EndpointConnection,
    NotConnectedError,
    SilentError,
)
from bergamotwood_daemon.gateway.entry import GatewayEntry
from bergamotwood_daemon.gateway.message import (
    HttpRequest,
    HttpResponse,
    strip_connection_fields,
)

MISDIRECTED = 421
# Time without an answer, in objectives, after which a request that may be
# repeated is tried at another endpoint.
SILENT_OBJECTIVES = 1.5
LEAST_SILENCE_SECONDS = 0.4
# Time between two questions whether an endpoint that is waited for has gone dark.
DARK_CHECK_SECONDS = 0.5
# Longest answer that is kept until it is complete.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint answered in full."""

    response: HttpResponse

    @property
    def result(self) -> AttemptResult:
        """What it means for the endpoint's health."""
        return AttemptResult.ERROR if self.response.status >= 500 else AttemptResult.OK

    @property
    def reason(self) -> str:
        """Why the request failed, if it did."""
        return f"status {self.response.status}"


@dataclass(frozen=True, slots=True)
class NotRun:
    """It is certain that the endpoint has not run the request."""

    reason: str
    result: AttemptResult
    was_sent: bool


@dataclass(frozen=True, slots=True)
class Unclear:
    """The endpoint may have run the request."""

    reason: str
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class Dropped:
    """The answer is not wanted; another model is to answer."""

    reason: str
    result: AttemptResult = AttemptResult.OK


@dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has the whole answer."""

    reason: str = ""
    result: AttemptResult = AttemptResult.OK


Outcome = Answered | NotRun | Unclear | Dropped | Delivered


class Attempt:
    """Sends a request to an endpoint and reads the response.

    Parameters
    ----------
    entry : GatewayEntry
        The entry.
    call : Call
        The request.
    request : HttpRequest
        As the caller sent it.
    beat : EndpointHeartbeat
        The endpoint.
    write_terms : callable
        Returns what to say to the endpoint, just before it is sent; raises
        when the request may not be sent any more.
    """

    def __init__(
        self,
        entry: GatewayEntry,
        call: Call,
        request: HttpRequest,
        beat: EndpointHeartbeat,
        write_terms: Callable[[Call, "Attempt"], ForwardMetadata],
    ) -> None:
        self.beat = beat
        self.started_at = entry.clock()
        self.head_at = self.started_at
        self._entry = entry
        self._call = call
        self._request = request
        self._write_terms = write_terms
        self._connection: EndpointConnection | None = None

    def fetch(self) -> Outcome:
        """Return the whole answer, or why there is none."""
        head = self.begin()
        if not isinstance(head, h11.Response):
            return head
        return self.collect(head, self._time_left)

    def collect(
        self, head: h11.Response, measure_patience: Callable[[], float]
    ) -> Outcome:
        """Return the whole answer that a head begins.

        Parameters
        ----------
        head : h11.Response
            Its head.
        measure_patience : callable
            Returns the longest wait for the next piece, in seconds.
        """
        pieces = []
        size = 0
        try:
            while True:
                event = self.receive(measure_patience())
                if isinstance(event, h11.EndOfMessage):
                    break
                pieces.append(bytes(event.data))
                size += len(event.data)
                if size > MAX_ANSWER_BYTES:
                    return Unclear("answer too large", AttemptResult.BROKEN)
        except BrokenError as error:
            return Unclear(str(error), AttemptResult.BROKEN)
        except SilentError as error:
            return Unclear(str(error), AttemptResult.SILENT)
        self.keep_connection()
        headers = strip_connection_fields(list(head.headers))
        return Answered(HttpResponse(head.status_code, headers, b"".join(pieces)))

    def begin(self) -> h11.Response | Outcome:
        """Send the request and return the response's head, if it is sound."""
        try:
            self._send()
        except NotConnectedError as error:
            return NotRun(str(error), AttemptResult.UNREACHABLE, was_sent=False)
        except BrokenError as error:
            self._call.runs += 1
            return Unclear(str(error), AttemptResult.BROKEN)
        try:
            head = self._receive_head()
            while isinstance(head, h11.InformationalResponse):
                head = self._receive_head()
        except BrokenError as error:
            self._call.runs += 1
            return Unclear(str(error), AttemptResult.BROKEN)
        except SilentError as error:
            self._call.runs += 1
            return Unclear(str(error), AttemptResult.SILENT)
        self.head_at = self._entry.clock()
        return self._check(head)

    def receive(self, seconds: float) -> h11.Event:
        """Return the next event of the response."""
        event = self._connection.receive(max(seconds, 0.0))
        self._entry.health.record_traffic(
            self.beat.endpoint, self.beat.incarnation, self._entry.clock()
        )
        return event

    def keep_connection(self) -> None:
        """Keep the connection for another request."""
        self._entry.pool.give_back(self._connection)
        self._connection = None

    def close(self) -> None:
        """Close the connection, so that the endpoint stops work."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _send(self) -> None:
        request = self._request
        fresh = not self._call.route.is_retryable
        self._connection = self._entry.pool.take(self.beat.address, fresh)
        terms = self._write_terms(self._call, self)
        headers = self._entry.dialect.write_forward(
            strip_connection_fields(request.headers), terms
        )
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        self._connection.send(request.method, request.target, headers, request.body)

    def _receive_head(self) -> h11.Event:
        """Return the head, or give up early at an endpoint that has gone dark."""
        limit = self._entry.clock() + self._measure_patience()
        while True:
            now = self._entry.clock()
            try:
                return self.receive(min(limit - now, DARK_CHECK_SECONDS))
            except SilentError:
                now = self._entry.clock()
                if now >= limit or self._should_leave(now):
                    raise

    def _should_leave(self, now: Seconds) -> bool:
        route = self._call.route
        if not route.is_retryable or self._call.runs + 1 >= route.max_attempts:
            return False
        if now - self.started_at < DARK_CHECK_SECONDS:
            return False
        return self._entry.placement.is_unresponsive(self.beat, now)

    def _check(self, head: h11.Response) -> h11.Response | Outcome:
        terms = self._entry.dialect.read_answer(list(head.headers))
        if terms.is_not_run or head.status_code == MISDIRECTED:
            self.close()
            result = AttemptResult.FULL
            if head.status_code == MISDIRECTED:
                result = AttemptResult.REPLACED
            return NotRun(f"refused with {head.status_code}", result, was_sent=True)
        self._call.runs += 1
        if not terms.is_signed or terms.request != self._call.terms.request:
            return Unclear("response of another request", AttemptResult.BROKEN)
        if any(name == b"content-encoding" for name, _ in head.headers):
            return Unclear("response with an encoding", AttemptResult.BROKEN)
        return head

    def _measure_patience(self) -> float:
        """Return how long to wait for the response to begin."""
        route = self._call.route
        left = self._time_left()
        last = self._call.runs + 1 >= route.max_attempts
        if last or not route.is_retryable or route.kind is RouteKind.STREAMING:
            return left
        silence = max(
            SILENT_OBJECTIVES * route.objective_seconds, LEAST_SILENCE_SECONDS
        )
        return min(silence, left)

    def _time_left(self) -> float:
        return self._call.deadline - self._entry.clock()
