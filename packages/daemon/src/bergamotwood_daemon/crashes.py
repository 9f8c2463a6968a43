"""Endpoints that crash under a request, and requests under suspicion of it."""

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
from bergamotwood_daemon.entry import Entry, Work
from bergamotwood_daemon.log import log_event

PROBE_SECONDS = 0.3
CRASH_WATCH_SECONDS = 1.5
RECORD_CRASH_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection broke.

    Parameters
    ----------
    endpoint, incarnation : EndpointId, Incarnation
        Where it ran.
    answered : bool
        Whether its first token had come.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    answered: bool


def wait_for_clearance(entry: Entry, work: Work) -> None:
    """Keep a suspect waiting until it may run; other requests pass at once.

    Raises
    ------
    RefusedError
        The request is quarantined, or its deadline comes first.
    """
    while True:
        suspects = entry.tables.configuration.suspects
        clearance = check_fingerprint(suspects, work.fingerprint)
        now = entry.clock()
        if (isinstance(clearance, Isolated) or work.suspect) and not work.suspect_at:
            work.suspect = True
            work.suspect_at = now
        waited = now - (work.suspect_at or now)
        match plan_dispatch(clearance, work.suspect, work.crash_granted, waited):
            case RunNow():
                return
            case RefuseRequest():
                raise RefusedError("request is quarantined", Code.QUARANTINED)
            case WaitFor(seconds):
                if now + seconds >= work.deadline:
                    raise RefusedError(
                        "a request under suspicion waits for another's retry",
                        Code.DEADLINE_EXCEEDED,
                        retry_after=seconds,
                    )
                sleep(seconds)


def list_apart(entry: Entry, work: Work, target: Target) -> frozenset[EndpointId]:
    """List the endpoints that a suspect must not use, so that suspects run apart."""
    if not work.suspect:
        return frozenset()
    suspects = entry.tables.configuration.suspects
    suspect = suspects.get(work.fingerprint)
    avoided = {suspect.last_endpoint} if suspect is not None else set()
    rows = entry.tables.directory.endpoints.values()
    pool = {
        row.id
        for row in rows
        if row.serving and target.name in row.announcement.versions
    }
    fit = sorted(pool - avoided - work.excluded)
    assigned = assign_endpoints(suspects, fit).get(work.fingerprint)
    if assigned is not None:
        return frozenset(pool - {assigned})
    return frozenset(avoided) | entry.isolation.endpoints


def settle_break(entry: Entry, work: Work, broken: BrokenAttempt) -> None:
    """Find out whether an endpoint crashed, and record it.

    Raises
    ------
    EndpointError
        A crash could not be recorded, so the request must not be sent again.
    """
    failure = AttemptFailure(
        running=True, pooled=False, answered=broken.answered, reset=True
    )
    if is_crash(failure, _has_restarted(entry, broken), not _probe(entry, broken)):
        _record_crash(entry, work, broken)
        return
    spawn(_watch_for_crash, entry, work, broken, failure)


def note_finished(entry: Entry, work: Work) -> None:
    """Remember that a request ran to its end, which clears a suspect."""
    entry.finished.add(work.fingerprint)
    if work.suspect:
        spawn(_clear_suspect, entry, work)


def _has_restarted(entry: Entry, broken: BrokenAttempt) -> bool:
    row = entry.tables.directory.endpoints.get(broken.endpoint)
    return row is not None and row.announcement.incarnation != broken.incarnation


def _probe(entry: Entry, broken: BrokenAttempt) -> bool:
    """Whether a new connection to the endpoint can be made."""
    row = entry.tables.directory.endpoints.get(broken.endpoint)
    if row is None:
        return False
    call = EndpointCall(row.announcement.address, "GET", "/", (), b"")
    try:
        call.dial(PROBE_SECONDS)
    except EndpointError:
        return False
    finally:
        call.close()
    return True


def _watch_for_crash(
    entry: Entry, work: Work, broken: BrokenAttempt, failure: AttemptFailure
) -> None:
    """See later whether the endpoint had in fact crashed and come back."""
    sleep(CRASH_WATCH_SECONDS)
    if not is_crash(failure, _has_restarted(entry, broken), False):
        return
    try:
        _record_crash(entry, work, broken)
    except EndpointError as error:
        log_event("quarantine", "Crash not recorded.", detail=error.detail)


def _record_crash(entry: Entry, work: Work, broken: BrokenAttempt) -> None:
    if work.fingerprint in entry.finished:
        # It ran to its end before, so that the crash is another's.
        return
    work.suspect = True
    work.suspect_at = Seconds(entry.clock())
    log_event(
        "quarantine",
        "Endpoint crashed under a request.",
        endpoint=broken.endpoint,
        fingerprint=work.fingerprint,
        request=work.id,
    )
    command = RecordCrash(work.fingerprint, broken.endpoint, broken.incarnation)
    try:
        reply = entry.control.propose(encode_command(command), RECORD_CRASH_SECONDS)
    except ReplicationError as error:
        work.repeatable = False
        raise EndpointError(
            f"endpoint {broken.endpoint} crashed", run=Run.MAY_HAVE_RUN
        ) from error
    answer = decode_answer(reply)
    work.crash_granted = isinstance(answer, CommandAnswer) and answer.applied


def _clear_suspect(entry: Entry, work: Work) -> None:
    command = encode_command(ClearSuspect(work.fingerprint))
    try:
        entry.control.propose(command, RECORD_CRASH_SECONDS)
    except ReplicationError as error:
        log_event("quarantine", "Suspect not cleared.", detail=error.detail)
