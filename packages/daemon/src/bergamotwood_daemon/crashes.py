"""Detects endpoint crashes and isolates the requests suspected of causing them."""

from dataclasses import dataclass

from gevent import sleep, spawn

from bergamotwood_core.clock import Seconds
from bergamotwood_core.control import (
    ClearSuspect,
    CommandAnswer,
    RecordCrash,
    decode_answer,
    encode_command,
)
from bergamotwood_core.errors import (
    Code,
    EndpointError,
    RefusedError,
    ReplicationError,
)
from bergamotwood_core.ids import EndpointId, Incarnation
from bergamotwood_core.quarantine import (
    AttemptFailure,
    Isolated,
    RefuseRequest,
    RunNow,
    WaitFor,
    assign_endpoints,
    check_fingerprint,
    is_crash,
    plan_dispatch,
)
from bergamotwood_core.states import Run
from bergamotwood_core.target import Target
from bergamotwood_daemon.endpointcall import EndpointCall
from bergamotwood_daemon.entry import Entry, RequestContext
from bergamotwood_daemon.log import log_event

PROBE_TIMEOUT_SECONDS = 0.3
CRASH_RECHECK_DELAY_SECONDS = 1.5
RECORD_CRASH_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection broke.

    Parameters
    ----------
    endpoint, incarnation : EndpointId, Incarnation
        The endpoint that ran it.
    answered : bool
        Whether its first token had arrived.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    answered: bool


def wait_for_clearance(entry: Entry, context: RequestContext) -> None:
    """Wait until a suspect may run; return at once for other requests.

    Raises
    ------
    RefusedError
        The request is quarantined, or would have to wait past its deadline.
    """
    while True:
        suspects = entry.tables.configuration.suspects
        clearance = check_fingerprint(suspects, context.fingerprint)
        now = entry.clock()
        if (
            isinstance(clearance, Isolated) or context.is_suspect
        ) and not context.suspected_at:
            context.is_suspect = True
            context.suspected_at = now
        waited = now - (context.suspected_at or now)
        match plan_dispatch(
            clearance, context.is_suspect, context.reported_crash_first, waited
        ):
            case RunNow():
                return
            case RefuseRequest():
                raise RefusedError("request is quarantined", Code.QUARANTINED)
            case WaitFor(seconds):
                if now + seconds >= context.deadline:
                    raise RefusedError(
                        "a request under suspicion waits for another's retry",
                        Code.DEADLINE_EXCEEDED,
                        retry_after=seconds,
                    )
                sleep(seconds)


def list_avoided_endpoints(
    entry: Entry, context: RequestContext, target: Target
) -> frozenset[EndpointId]:
    """List the endpoints that a suspect must avoid; none for other requests.

    They are the endpoint that crashed last while it ran the request, and others, so
    that no two suspects run on the same one.
    """
    if not context.is_suspect:
        return frozenset()
    suspects = entry.tables.configuration.suspects
    suspect = suspects.get(context.fingerprint)
    avoided = {suspect.last_endpoint} if suspect is not None else set()
    endpoints = entry.tables.directory.endpoints.values()
    pool = {
        endpoint.id
        for endpoint in endpoints
        if endpoint.serving and target.name in endpoint.announcement.versions
    }
    candidates = sorted(pool - avoided - context.excluded)
    assigned = assign_endpoints(suspects, candidates).get(context.fingerprint)
    if assigned is not None:
        return frozenset(pool - {assigned})
    return frozenset(avoided) | entry.isolation.endpoints


def handle_broken_attempt(
    entry: Entry, context: RequestContext, broken: BrokenAttempt
) -> None:
    """Determine whether an endpoint crashed, and record the crash.

    An endpoint that accepts connections is checked again later, since it may have
    crashed and restarted.

    Raises
    ------
    EndpointError
        A crash could not be recorded, so the request must not be sent again.
    """
    failure = AttemptFailure(
        running=True, pooled=False, answered=broken.answered, reset=True
    )
    if is_crash(failure, _has_restarted(entry, broken), not _probe(entry, broken)):
        _record_crash(entry, context, broken)
        return
    spawn(_recheck_for_crash, entry, context, broken, failure)


def record_completion(entry: Entry, context: RequestContext) -> None:
    """Record that a request ran to its end, which clears a suspect."""
    entry.finished_requests.add(context.fingerprint)
    if context.is_suspect:
        spawn(_clear_suspect, entry, context)


def _has_restarted(entry: Entry, broken: BrokenAttempt) -> bool:
    endpoint = entry.tables.directory.endpoints.get(broken.endpoint)
    return (
        endpoint is not None and endpoint.announcement.incarnation != broken.incarnation
    )


def _probe(entry: Entry, broken: BrokenAttempt) -> bool:
    """Whether the endpoint accepts a new connection."""
    endpoint = entry.tables.directory.endpoints.get(broken.endpoint)
    if endpoint is None:
        return False
    call = EndpointCall(endpoint.announcement.address, "GET", "/", (), b"")
    try:
        call.dial(PROBE_TIMEOUT_SECONDS)
    except EndpointError:
        return False
    finally:
        call.close()
    return True


def _recheck_for_crash(
    entry: Entry,
    context: RequestContext,
    broken: BrokenAttempt,
    failure: AttemptFailure,
) -> None:
    """Check after a delay whether the endpoint crashed and restarted."""
    sleep(CRASH_RECHECK_DELAY_SECONDS)
    if not is_crash(failure, _has_restarted(entry, broken), False):
        return
    try:
        _record_crash(entry, context, broken)
    except EndpointError as error:
        log_event("quarantine", "Crash could not be recorded.", detail=error.detail)


def _record_crash(entry: Entry, context: RequestContext, broken: BrokenAttempt) -> None:
    if context.fingerprint in entry.finished_requests:
        # A request that completed before is not the cause of this crash.
        return
    context.is_suspect = True
    context.suspected_at = Seconds(entry.clock())
    log_event(
        "quarantine",
        "Endpoint crashed while running a request.",
        endpoint=broken.endpoint,
        fingerprint=context.fingerprint,
        request=context.id,
    )
    command = RecordCrash(context.fingerprint, broken.endpoint, broken.incarnation)
    try:
        reply = entry.control.propose(
            encode_command(command), RECORD_CRASH_TIMEOUT_SECONDS
        )
    except ReplicationError as error:
        context.retryable = False
        raise EndpointError(
            f"endpoint {broken.endpoint} crashed", run=Run.MAY_HAVE_RUN
        ) from error
    answer = decode_answer(reply)
    context.reported_crash_first = isinstance(answer, CommandAnswer) and answer.applied


def _clear_suspect(entry: Entry, context: RequestContext) -> None:
    command = encode_command(ClearSuspect(context.fingerprint))
    try:
        entry.control.propose(command, RECORD_CRASH_TIMEOUT_SECONDS)
    except ReplicationError as error:
        log_event("quarantine", "Suspect could not be cleared.", detail=error.detail)
