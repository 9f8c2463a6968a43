"""One attempt to get a response to a request from one endpoint."""

from collections.abc import Callable

import h11

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.call import Call, ForwardMetadata, ResponseMetadata
from bergamotwood_core.gateway.configuration import RouteKind
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.health import AttemptResult
from bergamotwood_core.gateway.retries import may_retry
from bergamotwood_core.gateway.suspects import SURVIVAL_SECONDS, StartedAnswer
from bergamotwood_daemon.gateway.client import (
    MAX_INFORMATIONAL_RESPONSES,
    ConnectionBrokenError,
    NotConnectedError,
    ResponseTimeoutError,
)
from bergamotwood_daemon.gateway.entry import GatewayEntry
from bergamotwood_daemon.gateway.message import (
    HttpRequest,
    read_retry_after,
    strip_connection_fields,
)
from bergamotwood_daemon.gateway.outcome import MayHaveRun, NotRun, Outcome
from bergamotwood_daemon.gateway.reader import ResponseReader
from bergamotwood_daemon.log import log_event

MISDIRECTED_REQUEST = 421
SERVICE_UNAVAILABLE = 503
# Time without a response head after which a retryable request is retried at another
# endpoint, in multiples of the route's latency objective.
HEAD_TIMEOUT_OBJECTIVES = 1.5
MIN_HEAD_TIMEOUT_SECONDS = 0.4
# Interval of the check whether the endpoint has stopped sending heartbeats.
SILENCE_CHECK_SECONDS = 0.5


class EndpointEvacuatedError(Exception):
    """The endpoint's data centre is evacuated; nothing was sent."""


class LimitReachedError(Exception):
    """The endpoint's limit allows no further request now; nothing was sent."""


class VersionWithdrawnError(Exception):
    """The endpoint's version was rolled back before the request was sent."""


class Attempt(ResponseReader):
    """Sends a request to an endpoint and reads the response.

    Parameters
    ----------
    entry : GatewayEntry
        Entry that serves the request.
    call : Call
        The request.
    request : HttpRequest
        The HTTP request of the caller.
    heartbeat : EndpointHeartbeat
        Newest heartbeat of the endpoint.
    make_metadata : callable
        Returns the metadata to send to the endpoint. It is called just before
        the request is sent, and raises when the request may no longer be sent.

    Attributes
    ----------
    has_begun : bool
        Whether the endpoint has begun to answer.
    """

    # Set while the endpoint answers.
    _answer: StartedAnswer | None = None

    def __init__(
        self,
        entry: GatewayEntry,
        call: Call,
        request: HttpRequest,
        heartbeat: EndpointHeartbeat,
        make_metadata: Callable[[Call, "Attempt"], ForwardMetadata],
    ) -> None:
        super().__init__(entry, call, entry.pool)
        self.heartbeat = heartbeat
        self.started_at = entry.clock()
        self.head_received_at = self.started_at
        self._sent_at = self.started_at
        self.has_begun = False
        self._key = (heartbeat.endpoint, heartbeat.incarnation)
        self._allowed_until = entry.limits.take_permit(self._key, self.started_at)
        self._request = request
        self._make_metadata = make_metadata

    def fetch(self) -> Outcome:
        """Send the request and return the complete response, or why there is none."""
        head = self.send_request()
        if not isinstance(head, h11.Response):
            return head
        return self.read_body(head, self._compute_time_left)

    def send_request(self) -> h11.Response | Outcome:
        """Send the request and return the response's head, or why none is valid."""
        try:
            self._send()
        except (LimitReachedError, VersionWithdrawnError) as error:
            return NotRun(str(error), AttemptResult.FULL, was_sent=False)
        except EndpointEvacuatedError as error:
            return NotRun(str(error), AttemptResult.EVACUATED, was_sent=False)
        except NotConnectedError as error:
            self._entry.record_failed_connection(self._call.service, self._key)
            self._record_refused_connection(error)
            return NotRun(str(error), AttemptResult.UNREACHABLE, was_sent=False)
        try:
            head = self._receive_head()
        except ConnectionBrokenError as error:
            self._call.possible_executions += 1
            return MayHaveRun(str(error), AttemptResult.BROKEN)
        except ResponseTimeoutError as error:
            self._call.possible_executions += 1
            return MayHaveRun(str(error), AttemptResult.SILENT)
        self.head_received_at = self._entry.clock()
        self.has_begun = True
        return self._check_head(head)

    def receive(self, seconds: float) -> h11.Event:
        """Return the next event of the response, and record that data arrived.

        Raises
        ------
        ConnectionBrokenError, ResponseTimeoutError
            As for `EndpointConnection.receive`.
        """
        try:
            event = super().receive(seconds)
        except ConnectionBrokenError:
            self._record_crash()
            raise
        self._entry.health.record_traffic(
            self.heartbeat.endpoint, self.heartbeat.incarnation, self._entry.clock()
        )
        return event

    def may_wait_longer(self) -> bool:
        """Whether a silent stream is waited for, as nothing else could go on.

        So it is while its endpoint lives, and no other one can take the request.
        """
        now = self._entry.clock()
        if now >= self._call.deadline:
            return False
        if may_retry(self._call, True, now) and self._has_alternative(now):
            return False
        return self._entry.check_liveness(self.heartbeat)

    def release_connection(self) -> None:
        """Return the connection to the pool for another request."""
        super().release_connection()
        if self._answer is not None:
            self._answer.is_complete = True

    def record_unframed_end(self) -> None:
        """Record the end of an answer that ended with its connection.

        Nothing in such an answer tells a crash of the endpoint from its end.
        """
        if self._answer is None:
            return
        self._answer.is_conclusive = False
        now = self._entry.clock()
        if now - self._answer.started_at > SURVIVAL_SECONDS:
            return
        if not self._entry.check_liveness(self.heartbeat):
            self._record_crash()

    def close(self) -> None:
        """Close the connection, so that the endpoint stops running the request."""
        if self._connection is not None and self._answer is not None:
            self._answer.is_conclusive = False
        super().close()

    def _record_crash(self) -> None:
        entry, call = self._entry, self._call
        now = entry.clock()
        if self._answer is None:
            request = call.describe_execution(has_begun=False)
            entry.suspects.record_crash(self._key, call.service, request, now)
        elif now - self._answer.started_at <= SURVIVAL_SECONDS:
            request = self._answer.request
            entry.suspects.record_crash(self._key, call.service, request, now)
        else:
            entry.suspects.record_end(self._key, call.service, now)
        call.has_lost_endpoint = True
        entry.poller.report_soon()

    def _record_refused_connection(self, error: NotConnectedError) -> None:
        if isinstance(error.__cause__, ConnectionRefusedError):
            entry = self._entry
            if entry.suspects.record_refused_connection(
                self._key, self._call.service, entry.clock()
            ):
                entry.poller.report_soon()

    def _send(self) -> None:
        request = self._request
        # Without an id, a late copy of an earlier response could not be told from the
        # response to this request.
        call = self._call
        must_be_new = (
            not call.route.is_retryable
            or not call.metadata.request
            or call.has_lost_endpoint
        )
        self._connection = self._entry.pool.acquire(self.heartbeat.address, must_be_new)
        if not self._connection.is_reused:
            self._entry.record_connection(self._call.service)
        metadata = self._make_metadata(self._call, self)
        headers = self._entry.dialect.write_forward(
            strip_connection_fields(request.headers), metadata
        )
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        self._sent_at = self._entry.clock()
        self._check_limit(self._sent_at)
        self._check_version()
        self._connection.send(request.method, request.target, headers, request.body)

    def _check_limit(self, now: Seconds) -> None:
        """Check that the endpoint's limit still allows the request.

        The connection may have taken some time, or the process may have been paused.
        """
        limits = self._entry.limits
        allowed_until = self._allowed_until
        if allowed_until is None or not limits.may_still_send(
            self._key, allowed_until, now
        ):
            raise LimitReachedError(f"{self.heartbeat.address}: limit reached")

    def _check_version(self) -> None:
        """Check that the endpoint's version was not rolled back meanwhile."""
        if self._entry.is_withdrawn(self.heartbeat):
            raise VersionWithdrawnError(f"{self.heartbeat.version}: rolled back")

    def _receive_head(self) -> h11.Event:
        """Return the head, or give up early if the endpoint has gone silent."""
        head_deadline = self._entry.clock() + self._compute_head_timeout()
        for _ in range(MAX_INFORMATIONAL_RESPONSES):
            head = self._receive_any_head(head_deadline)
            if not isinstance(head, h11.InformationalResponse):
                return head
        raise ConnectionBrokenError("too many informational responses")

    def _receive_any_head(self, head_deadline: Seconds) -> h11.Event:
        while True:
            now = self._entry.clock()
            try:
                return self.receive(min(head_deadline - now, SILENCE_CHECK_SECONDS))
            except ResponseTimeoutError:
                now = self._entry.clock()
                if self._should_abandon(now):
                    raise
                if now < head_deadline:
                    continue
                if now >= self._call.deadline or self._has_alternative(now):
                    raise
                head_deadline = self._call.deadline

    def _has_alternative(self, now: Seconds) -> bool:
        """Whether the request could be sent to another endpoint now."""
        entry, call = self._entry, self._call
        return entry.budget.allows(call.service, now) and any(
            heartbeat.endpoint not in call.tried_endpoints
            for group in entry.list_eligible_endpoints(call)
            for heartbeat in group
        )

    def _should_abandon(self, now: Seconds) -> bool:
        route = self._call.route
        if (
            not route.is_retryable
            or self._call.possible_executions + 1 >= route.max_attempts
        ):
            return False
        if now - self.started_at < SILENCE_CHECK_SECONDS:
            return False
        if not self._entry.placement.is_unresponsive(self.heartbeat, now):
            return False
        return not self._entry.check_liveness(self.heartbeat)

    def _check_head(self, head: h11.Response) -> h11.Response | Outcome:
        metadata = self._entry.dialect.read_answer(list(head.headers))
        self._record_notices(head, metadata)
        if metadata.is_not_executed or head.status_code == MISDIRECTED_REQUEST:
            self.close()
            result = AttemptResult.FULL
            if head.status_code == MISDIRECTED_REQUEST:
                result = AttemptResult.REPLACED
            return NotRun(
                f"refused with {head.status_code}",
                result,
                was_sent=True,
            )
        self._call.possible_executions += 1
        if not metadata.is_signed or metadata.request != self._call.metadata.request:
            return MayHaveRun("response of another request", AttemptResult.BROKEN)
        if any(name == b"content-encoding" for name, _ in head.headers):
            return MayHaveRun("response with an encoding", AttemptResult.BROKEN)
        self._answer = self._entry.suspects.record_answer(
            self._key,
            self._call.service,
            self._call.describe_execution(has_begun=True),
            self.head_received_at,
        )
        return head

    def _record_notices(self, head: h11.Response, metadata: ResponseMetadata) -> None:
        """Record what the endpoint asks of this entry besides its answer."""
        if head.status_code == MISDIRECTED_REQUEST:
            # Another endpoint has answered at this address.
            return
        endpoint, incarnation = self.heartbeat.endpoint, self.heartbeat.incarnation
        now = self._entry.clock()
        notices = self._entry.notices
        if metadata.is_leaving and notices.record_leaving(endpoint, incarnation, now):
            log_event("entry", "Endpoint announces that it leaves.", endpoint=endpoint)
        if self._entry.limits.record_answer(
            self._key,
            metadata.requests_per_second,
            self._sent_at,
            now,
            metadata.refusals_per_second,
        ):
            log_event(
                "entry",
                "Endpoint's limit changed.",
                endpoint=endpoint,
                requests_per_second=metadata.requests_per_second,
                refusals_per_second=metadata.refusals_per_second,
            )
        if head.status_code != SERVICE_UNAVAILABLE:
            return
        seconds = read_retry_after(list(head.headers))
        if seconds is not None:
            notices.record_pause(endpoint, incarnation, seconds, now)
            log_event("entry", "Endpoint paused.", endpoint=endpoint, seconds=seconds)

    def _compute_head_timeout(self) -> float:
        """Return the seconds to wait for the head of the response.

        The last attempt, streams, and requests that may not be retried wait until the
        deadline.
        """
        route = self._call.route
        left = self._compute_time_left()
        is_last = self._call.possible_executions + 1 >= route.max_attempts
        if is_last or not route.is_retryable or route.kind is RouteKind.STREAMING:
            return left
        timeout = max(
            HEAD_TIMEOUT_OBJECTIVES * route.latency_objective_seconds,
            MIN_HEAD_TIMEOUT_SECONDS,
        )
        return min(timeout, left)
