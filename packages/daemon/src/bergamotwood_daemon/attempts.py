"""Attempts at a request: choosing an endpoint, sending, and recording the result."""

from dataclasses import dataclass

from opentelemetry.trace import Span

from bergamotwood_core.dispatch import check_dispatch
from bergamotwood_core.errors import (
    Code,
    EndpointError,
    RefusedError,
)
from bergamotwood_core.ids import DataCentre
from bergamotwood_core.outlier import (
    record_cancel,
    record_failure,
    record_first_token,
    record_start,
    record_success,
)
from bergamotwood_core.placement import PlacementRequirements, choose_endpoint
from bergamotwood_core.quarantine import Isolated
from bergamotwood_core.tables import Endpoint
from bergamotwood_core.target import Target
from bergamotwood_daemon.crashes import (
    BrokenAttempt,
    handle_broken_attempt,
    list_avoided_endpoints,
    record_completion,
    wait_for_clearance,
)
from bergamotwood_daemon.endpointcall import EndpointCall, Header
from bergamotwood_daemon.entry import Entry, RequestContext
from bergamotwood_daemon.tracing import format_parent

MAX_ATTEMPTS = 3
MAX_DIALS = 4


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """The HTTP request of an attempt.

    Parameters
    ----------
    method, path : str
        HTTP method and request target.
    headers : tuple of Header
        Header fields.
    body : bytes
        Request body.
    wait_seconds : float
        Longest time without data until the answer begins; for plain services until
        it ends.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    wait_seconds: float


class OpenAttempt:
    """An attempt that has been sent to an endpoint.

    Attributes
    ----------
    call : EndpointCall
        HTTP call to the endpoint.
    endpoint_id : EndpointId
        The endpoint that runs the request.
    incarnation : Incarnation
        Start of the endpoint that the request was sent to.
    started_at : Seconds
        Time of the dispatch.
    first_token_seconds : float or None
        Time from dispatch to the first token; None before the first token.
    """

    def __init__(
        self,
        entry: Entry,
        context: RequestContext,
        endpoint: Endpoint,
        call: EndpointCall,
        span: Span,
    ) -> None:
        self.call = call
        self._span = span
        self.endpoint_id = endpoint.id
        self.incarnation = endpoint.announcement.incarnation
        self.started_at = entry.clock()
        self.first_token_seconds: float | None = None
        self._entry = entry
        self._context = context
        self._endpoint = endpoint
        self._isolated = False
        self._open = True
        context.running.add(endpoint.id)
        record_start(endpoint, self.started_at)

    def isolate(self) -> bool:
        """Reserve the endpoint for this suspect.

        Returns
        -------
        bool
            False if the endpoint runs a suspect already, or the same suspect runs on
            another endpoint.
        """
        self._isolated = self._entry.isolation.start(
            self._context.fingerprint, self.endpoint_id
        )
        return self._isolated

    def mark_first_token(self) -> None:
        """Record the time of the first token, or of a plain service's answer."""
        if self.first_token_seconds is not None:
            return
        now = self._entry.clock()
        self.first_token_seconds = now - self.started_at
        record_first_token(self._endpoint, self.first_token_seconds, now)

    def succeed(self) -> None:
        """Close after a complete answer, which clears a suspect."""
        if not self._close():
            return
        record_success(self._endpoint, self._entry.clock())
        record_completion(self._entry, self._context)

    def fail(self) -> None:
        """Close after a failure of the endpoint."""
        if self._close():
            answered = self.first_token_seconds is not None
            record_failure(self._endpoint, self._entry.clock(), answered)

    def cancel(self) -> None:
        """Close because the answer is no longer needed; no effect once closed."""
        if self._close():
            record_cancel(self._endpoint, self.first_token_seconds is not None)

    def _close(self) -> bool:
        was_open = self._open
        self._open = False
        self.call.close()
        if was_open:
            self._context.running.discard(self.endpoint_id)
            self._span.end()
        if self._isolated:
            self._entry.isolation.stop(self._context.fingerprint, self.endpoint_id)
        return was_open


def open_attempt(
    entry: Entry, context: RequestContext, target: Target, outgoing: OutgoingRequest
) -> OpenAttempt:
    """Choose an endpoint, connect, repeat the checks, and send the request.

    Raises
    ------
    RefusedError, AuthorizationError
        Nothing was sent.
    EndpointError
        `run` says whether the endpoint may have received the request.
    """
    wait_for_clearance(entry, context)
    last_error: EndpointError | RefusedError | None = None
    for _ in range(MAX_DIALS):
        endpoint = _choose_endpoint(entry, context, target, last_error)
        span = context.trace.start_span(
            "attempt", target=target.name, endpoint=endpoint.id
        )
        call = EndpointCall(
            endpoint.announcement.address,
            outgoing.method,
            outgoing.path,
            (*outgoing.headers, Header("Traceparent", format_parent(span))),
            outgoing.body,
        )
        try:
            call.dial(entry.settings.timeouts.connect)
        except EndpointError as error:
            context.excluded.add(endpoint.id)
            last_error = error
            _record_dial_failure(entry, endpoint)
            span.end()
            continue
        try:
            return _dispatch(
                entry, context, target, endpoint, call, span, outgoing.wait_seconds
            )
        except RefusedError as error:
            span.end()
            call.close()
            if error.code is not Code.NO_ENDPOINT:
                raise
            context.excluded.add(endpoint.id)
            last_error = error
    raise _make_no_endpoint_error(target, last_error)


def handle_failure(
    entry: Entry, context: RequestContext, attempt: OpenAttempt, reset: bool
) -> None:
    """Record a failed attempt, and after a reset check for a crash of its endpoint.

    Raises
    ------
    EndpointError
        A crash could not be recorded, so the request must not be sent again.
    """
    attempt.fail()
    context.excluded.add(attempt.endpoint_id)
    if not reset:
        return
    answered = attempt.first_token_seconds is not None
    broken = BrokenAttempt(attempt.endpoint_id, attempt.incarnation, answered)
    handle_broken_attempt(entry, context, broken)


def allow_retry(entry: Entry, context: RequestContext, attempts: int) -> bool:
    """Whether a failed request may be sent again; takes a retry from the budget."""
    if not (context.idempotent and context.retryable) or attempts >= MAX_ATTEMPTS:
        return False
    if entry.clock() >= context.deadline:
        return False
    return entry.retry_budget.try_spend()


def _choose_endpoint(
    entry: Entry,
    context: RequestContext,
    target: Target,
    last_error: EndpointError | RefusedError | None,
) -> Endpoint:
    excluded = frozenset(context.excluded | context.running)
    excluded |= list_avoided_endpoints(entry, context, target)
    requirements = PlacementRequirements(
        target=target,
        data_centre=DataCentre(entry.settings.data_centre),
        nearby=tuple(map(DataCentre, entry.settings.nearby)),
        prefix_hash=context.prefix_hash,
        prefix_tokens=context.prefix_tokens,
        session=context.session,
        excluded=excluded,
    )
    directory = entry.tables.directory
    chosen = choose_endpoint(directory, requirements, entry.clock(), entry.rng)
    if chosen is None:
        raise _make_no_endpoint_error(target, last_error)
    return directory.endpoints[chosen]


def _dispatch(
    entry: Entry,
    context: RequestContext,
    target: Target,
    endpoint: Endpoint,
    call: EndpointCall,
    span: Span,
    wait_seconds: float,
) -> OpenAttempt:
    now = entry.clock()
    if now >= context.deadline:
        raise RefusedError("the deadline has passed", Code.DEADLINE_EXCEEDED)
    clearance = check_dispatch(
        entry.tables,
        context.workspace.key,
        target,
        endpoint.id,
        entry.measure_config_age(),
        entry.settings.max_config_age_seconds,
        context.fingerprint,
    )
    attempt = OpenAttempt(entry, context, endpoint, call, span)
    if isinstance(clearance, Isolated):
        context.is_suspect = True
    if context.is_suspect and not attempt.isolate():
        attempt.cancel()
        raise RefusedError(
            "a request under suspicion is running already",
            Code.OVERLOADED,
            retry_after=1.0,
        )
    try:
        call.send(min(wait_seconds, context.deadline - now))
    except EndpointError as error:
        handle_failure(entry, context, attempt, error.code is Code.STREAM_BROKEN)
        raise
    return attempt


def _record_dial_failure(entry: Entry, endpoint: Endpoint) -> None:
    now = entry.clock()
    record_start(endpoint, now)
    record_failure(endpoint, now)


def _make_no_endpoint_error(
    target: Target, last_error: EndpointError | RefusedError | None
) -> RefusedError:
    reason = f": {last_error.detail}" if last_error is not None else ""
    return RefusedError(
        f"no endpoint for {target.name}{reason}", Code.NO_ENDPOINT, retry_after=2.0
    )
