"""Relay of callers' requests to entries that reach the endpoints.

The other entry handles the request as if its caller had sent it there: it checks the
key, chooses an endpoint, and counts the request. It never relays it again. Its answer
goes to the caller as it comes; when the caller leaves, the connection to the other
entry is closed, which ends the work there.
"""

import h11
from msgspec import MsgspecError, json
from msgspec.structs import replace

from bergamotwood_core.errors import Code, EndpointError
from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.configuration import CallerLimits, RouteKind
from bergamotwood_core.gateway.events import can_be_sent
from bergamotwood_core.gateway.health import AttemptResult
from bergamotwood_core.gateway.members import EntryAddress
from bergamotwood_core.gateway.relays import RelayedRequest, RelayOrigin
from bergamotwood_core.ids import ModelName
from bergamotwood_daemon.gateway.callerconnection import Exchange
from bergamotwood_daemon.gateway.client import (
    ConnectionBrokenError,
    NotConnectedError,
    ResponseTimeoutError,
)
from bergamotwood_daemon.gateway.entry import GatewayEntry
from bergamotwood_daemon.gateway.message import (
    Headers,
    HttpRequest,
    strip_connection_fields,
)
from bergamotwood_daemon.gateway.outcome import (
    Answered,
    Delivered,
    MayHaveRun,
    NotRun,
    Outcome,
)
from bergamotwood_daemon.gateway.reader import DEADLINE_SLACK_SECONDS, ResponseReader
from bergamotwood_daemon.gateway.streams import StreamRelay
from bergamotwood_daemon.log import log_event

# Field of a relayed request, with a `RelayedRequest` as JSON, and of its answer, with
# the origin of the answer.
RELAY_FIELD = b"bergamotwood-relay"
# Room for the field above in the head of a request.
RELAY_HEADER_BYTES = 1_024
# Statuses by which a caller may take a request as not executed.
REFUSAL_STATUSES = frozenset((408, 421, 429, 503))


class RelayAttempt(ResponseReader):
    """Sends a request to another entry and reads the response.

    Parameters
    ----------
    entry : GatewayEntry
        Entry that received the request from its caller.
    call : Call
        The request.
    request : HttpRequest
        The HTTP request of the caller.
    target : EntryAddress
        The other entry.
    has_started : bool
        Whether the caller has received a part of the answer.
    """

    # The other entry resumes a stalled stream itself.
    idle_factor = 2.5

    def __init__(
        self,
        entry: GatewayEntry,
        call: Call,
        request: HttpRequest,
        target: EntryAddress,
        has_started: bool,
    ) -> None:
        super().__init__(entry, call, entry.relay_pool)
        self.origin = RelayOrigin.ENTRY
        self._request = request
        self._target = target
        self._has_started = has_started

    def send_request(self) -> h11.Response | Outcome:
        """Send the request and return the response's head, or why there is none."""
        must_be_new = not self._call.route.is_retryable
        try:
            self._connection = self._pool.acquire(
                self._target.relay_address, must_be_new
            )
        except NotConnectedError as error:
            return NotRun(str(error), AttemptResult.UNREACHABLE, was_sent=False)
        request = self._request
        try:
            self._connection.send(
                request.method, request.target, self._make_headers(), request.body
            )
            head = self._receive_head()
        except ConnectionBrokenError as error:
            return MayHaveRun(str(error), AttemptResult.BROKEN)
        except ResponseTimeoutError as error:
            return MayHaveRun(str(error), AttemptResult.SILENT)
        origin = _read_origin(list(head.headers))
        if origin is None:
            return MayHaveRun("not an entry's response", AttemptResult.BROKEN)
        self.origin = origin
        if origin is RelayOrigin.DECLINED:
            return NotRun("declined", AttemptResult.FULL, was_sent=True)
        return h11.Response(
            status_code=head.status_code,
            reason=head.reason,
            headers=drop_relay_field(list(head.headers)),
        )

    def compute_timeout(self) -> float:
        """Return the seconds to wait for the next bytes."""
        return self._compute_time_left() + DEADLINE_SLACK_SECONDS

    def _receive_head(self) -> h11.Response:
        head = self.receive(self.compute_timeout())
        if not isinstance(head, h11.Response):
            raise ConnectionBrokenError("interim response of an entry")
        return head

    def _make_headers(self) -> Headers:
        call, entry = self._call, self._entry
        relayed = RelayedRequest(
            entry.settings.instance,
            self._compute_time_left(),
            entry.control_state.number,
            call.possible_executions,
            call.is_trial,
            call.model if self._has_started else ModelName(""),
            call.last_event_id,
            entry.control_state.evacuations_index,
        )
        headers = drop_relay_field(strip_connection_fields(self._request.headers))
        headers.append((RELAY_FIELD, json.encode(relayed)))
        headers.append((b"content-length", str(len(self._request.body)).encode()))
        return headers


class RequestRelay:
    """Relays the requests of one entry to others.

    Parameters
    ----------
    entry : GatewayEntry
        Entry whose requests it relays.
    """

    def __init__(self, entry: GatewayEntry) -> None:
        self._entry = entry

    def forward(self, call: Call, exchange: Exchange, stream: StreamRelay) -> bool:
        """Offer a request to other entries; return whether one has answered it.

        Raises
        ------
        EndpointError
            When an entry has taken it and its answer did not arrive.
        """
        entry = self._entry
        targets = entry.relays.choose(
            entry.control_state.entries.values(), call.service, entry.clock()
        )
        for target in targets:
            attempt = RelayAttempt(
                entry, call, exchange.request, target, stream.has_started
            )
            attempt.memory = exchange.memory
            try:
                outcome = self._run(attempt, call, exchange, stream)
            finally:
                attempt.close()
            entry.counters.count_relay(outcome.result)
            call.relayed_to = target.instance
            match outcome:
                case Answered() | Delivered():
                    return True
                case NotRun(reason):
                    self._record_unsent(target, outcome, reason)
                case _:
                    is_silent = outcome.result is AttemptResult.SILENT
                    raise EndpointError(
                        f"relayed to {target.instance}: {outcome.reason}",
                        Code.STREAM_SILENT if is_silent else Code.ENDPOINT_FAILED,
                    )
        return False

    def _run(
        self,
        attempt: RelayAttempt,
        call: Call,
        exchange: Exchange,
        stream: StreamRelay,
    ) -> Outcome:
        head = attempt.send_request()
        if not isinstance(head, h11.Response):
            return head
        is_stream = call.route.kind is RouteKind.STREAMING
        if is_stream and attempt.origin is RelayOrigin.ENDPOINT:
            outcome = stream.forward(attempt, head)
        else:
            outcome = attempt.read_body(head, attempt.compute_timeout)
        if not isinstance(outcome, Answered):
            return outcome
        response = outcome.response
        is_refused = (
            attempt.origin is RelayOrigin.ENTRY and response.status in REFUSAL_STATUSES
        )
        if stream.has_started or (is_refused and call.possible_executions):
            return MayHaveRun(outcome.reason, AttemptResult.ERROR)
        exchange.answer(response)
        return outcome

    def _record_unsent(
        self, target: EntryAddress, outcome: NotRun, reason: str
    ) -> None:
        log_event(
            "entry",
            "Relay not taken.",
            entry=target.instance,
            result=outcome.result,
            reason=reason,
        )
        if not outcome.was_sent:
            self._entry.relays.record_failure(target.instance, self._entry.clock())


def read_relayed_request(headers: Headers) -> RelayedRequest | None:
    """Return what another entry says of a request; None if it is unreadable."""
    values = [value for name, value in headers if name == RELAY_FIELD]
    try:
        relayed = json.decode(values[-1], type=RelayedRequest) if values else None
    except (MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    if relayed is None or not can_be_sent(relayed.last_event_id):
        return None
    return relayed


def extend_limits(limits: CallerLimits) -> CallerLimits:
    """Return the limits on requests that other entries relay."""
    return replace(limits, header_bytes=limits.header_bytes + RELAY_HEADER_BYTES)


def drop_relay_field(headers: Headers) -> Headers:
    """Return the header fields without that of a relay."""
    return [(name, value) for name, value in headers if name != RELAY_FIELD]


def _read_origin(headers: Headers) -> RelayOrigin | None:
    """Return the origin that the other entry states after the endpoint's fields."""
    values = [value for name, value in headers if name == RELAY_FIELD]
    try:
        return RelayOrigin(values[-1].decode("latin-1")) if values else None
    except ValueError:
        return None
