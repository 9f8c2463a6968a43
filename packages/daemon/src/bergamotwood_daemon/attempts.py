"""Attempts: choosing an endpoint, the check at dispatch, and what failures tell."""

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
    list_apart,
    note_finished,
    settle_break,
    wait_for_clearance,
)
from bergamotwood_daemon.endpointcall import EndpointCall, Header
from bergamotwood_daemon.entry import Entry, Work
from bergamotwood_daemon.tracing import format_parent

MAX_ATTEMPTS = 3
MAX_DIALS = 4


@dataclass(frozen=True, slots=True)
class Outgoing:
    """The HTTP request of an attempt.

    Parameters
    ----------
    method, path : str
        Request line.
    headers : tuple of Header
        Header fields.
    body : bytes
        Request body.
    wait_seconds : float
        Silence allowed until the answer begins.
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
        Its connection.
    endpoint : EndpointId
        Where it runs.
    first_token_seconds : float or None
        From dispatch to the first token.
    """

    def __init__(
        self, entry: Entry, work: Work, row: Endpoint, call: EndpointCall, span: Span
    ) -> None:
        self.call = call
        self._span = span
        self.endpoint = row.id
        self.incarnation = row.announcement.incarnation
        self.started_at = entry.clock()
        self.first_token_seconds: float | None = None
        self._entry = entry
        self._work = work
        self._row = row
        self._isolated = False
        self._open = True
        work.running.add(row.id)
        record_start(row, self.started_at)

    def isolate(self) -> bool:
        """Keep other suspects off the endpoint while this one runs there."""
        self._isolated = self._entry.isolation.start(
            self._work.fingerprint, self.endpoint
        )
        return self._isolated

    def note_first_token(self) -> None:
        """Note the first token or the plain answer."""
        if self.first_token_seconds is not None:
            return
        now = self._entry.clock()
        self.first_token_seconds = now - self.started_at
        record_first_token(self._row, self.first_token_seconds, now)

    def succeed(self) -> None:
        """Close after a whole answer, which clears a suspect."""
        if not self._close():
            return
        record_success(self._row, self._entry.clock())
        note_finished(self._entry, self._work)

    def fail(self) -> None:
        """Close after a failure of the endpoint."""
        if self._close():
            answered = self.first_token_seconds is not None
            record_failure(self._row, self._entry.clock(), answered)

    def cancel(self) -> None:
        """Close because nobody wants the answer."""
        if self._close():
            record_cancel(self._row, self.first_token_seconds is not None)

    def _close(self) -> bool:
        was_open = self._open
        self._open = False
        self.call.close()
        if was_open:
            self._work.running.discard(self.endpoint)
            self._span.end()
        if self._isolated:
            self._entry.isolation.stop(self._work.fingerprint, self.endpoint)
        return was_open


def open_attempt(
    entry: Entry, work: Work, target: Target, outgoing: Outgoing
) -> OpenAttempt:
    """Choose an endpoint, dial it, check once more, and send.

    Raises
    ------
    RefusedError, AuthorizationError
        Nothing was sent.
    EndpointError
        `run` tells whether the endpoint may have got it.
    """
    wait_for_clearance(entry, work)
    refused: EndpointError | RefusedError | None = None
    for _ in range(MAX_DIALS):
        row = _choose_row(entry, work, target, refused)
        span = work.trace.open_span("attempt", target=target.name, endpoint=row.id)
        call = EndpointCall(
            row.announcement.address,
            outgoing.method,
            outgoing.path,
            (*outgoing.headers, Header("Traceparent", format_parent(span))),
            outgoing.body,
        )
        try:
            call.dial(entry.settings.timeouts.connect)
        except EndpointError as error:
            work.excluded.add(row.id)
            refused = error
            _note_dial_failure(entry, row)
            span.end()
            continue
        try:
            return _dispatch(
                entry, work, target, row, call, span, outgoing.wait_seconds
            )
        except RefusedError as error:
            span.end()
            call.close()
            if error.code is not Code.NO_ENDPOINT:
                raise
            work.excluded.add(row.id)
            refused = error
    raise _name_no_endpoint(target, refused)


def settle_failure(entry: Entry, work: Work, attempt: OpenAttempt, reset: bool) -> None:
    """Learn from a failed attempt, and record a crash of its endpoint.

    Raises
    ------
    EndpointError
        A crash could not be recorded, so the request must not be sent again.
    """
    attempt.fail()
    work.excluded.add(attempt.endpoint)
    if not reset:
        return
    answered = attempt.first_token_seconds is not None
    broken = BrokenAttempt(attempt.endpoint, attempt.incarnation, answered)
    settle_break(entry, work, broken)


def allow_retry(entry: Entry, work: Work, attempts: int) -> bool:
    """Whether a failed request may be sent once more."""
    if not (work.idempotent and work.repeatable) or attempts >= MAX_ATTEMPTS:
        return False
    if entry.clock() >= work.deadline:
        return False
    return entry.retries.try_spend()


def _choose_row(
    entry: Entry,
    work: Work,
    target: Target,
    refused: EndpointError | RefusedError | None,
) -> Endpoint:
    excluded = frozenset(work.excluded | work.running)
    excluded |= list_apart(entry, work, target)
    need = PlacementRequirements(
        target=target,
        data_centre=DataCentre(entry.settings.data_centre),
        nearby=tuple(map(DataCentre, entry.settings.nearby)),
        prefix_hash=work.prefix_hash,
        prefix_tokens=work.prefix_tokens,
        session=work.session,
        excluded=excluded,
    )
    directory = entry.tables.directory
    chosen = choose_endpoint(directory, need, entry.clock(), entry.rng)
    if chosen is None:
        raise _name_no_endpoint(target, refused)
    return directory.endpoints[chosen]


def _dispatch(
    entry: Entry,
    work: Work,
    target: Target,
    row: Endpoint,
    call: EndpointCall,
    span: Span,
    wait_seconds: float,
) -> OpenAttempt:
    now = entry.clock()
    if now >= work.deadline:
        raise RefusedError("the deadline has passed", Code.DEADLINE_EXCEEDED)
    clearance = check_dispatch(
        entry.tables,
        work.workspace.key,
        target,
        row.id,
        entry.measure_age(),
        entry.settings.max_config_age_seconds,
        work.fingerprint,
    )
    attempt = OpenAttempt(entry, work, row, call, span)
    if isinstance(clearance, Isolated):
        work.suspect = True
    if work.suspect and not attempt.isolate():
        attempt.cancel()
        raise RefusedError(
            "a request under suspicion is running already",
            Code.OVERLOADED,
            retry_after=1.0,
        )
    try:
        call.send(min(wait_seconds, work.deadline - now))
    except EndpointError as error:
        settle_failure(entry, work, attempt, error.code is Code.STREAM_BROKEN)
        raise
    return attempt


def _note_dial_failure(entry: Entry, row: Endpoint) -> None:
    now = entry.clock()
    record_start(row, now)
    record_failure(row, now)


def _name_no_endpoint(
    target: Target, refused: EndpointError | RefusedError | None
) -> RefusedError:
    reason = f": {refused.detail}" if refused is not None else ""
    return RefusedError(
        f"no endpoint for {target.name}{reason}", Code.NO_ENDPOINT, retry_after=2.0
    )
