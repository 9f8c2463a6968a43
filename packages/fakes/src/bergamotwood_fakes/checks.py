"""Checks of the ten promises against records, transcripts and the ledger."""

from collections import Counter
from collections.abc import Iterator
from hashlib import sha256

from msgspec import DecodeError, json

from bergamotwood_core.states import Run
from bergamotwood_fakes.answer import check_answer
from bergamotwood_fakes.evidence import Evidence, PlannedStop, Violation
from bergamotwood_fakes.record import Record
from bergamotwood_fakes.timeline import Timeline
from bergamotwood_fakes.transcript import Attempt, Outcome, Transcript

# Time after the start of an endpoint's shutdown in which it may get new work.
LEAVE_GRACE_SECONDS = 4.0
# Default of the daemons' `max_config_age_seconds`. An entry whose configuration was
# last confirmed longer ago takes no new work and may therefore lag behind the tickets.
MAX_FRESH_AGE_SECONDS = 5.0


def check_promises(evidence: Evidence) -> list[Violation]:
    """Check the ten promises and the exits of processes, and list the violations."""
    checks = (
        check_allowed_versions,
        check_withdrawn_versions,
        check_sessions,
        check_bills,
        check_complete_answers,
        check_not_run,
        check_at_most_once,
        check_leaving_endpoints,
        check_graceful_shutdown,
        check_configuration,
        check_unexpected_events,
    )
    return [violation for check in checks for violation in check(evidence)]


def check_allowed_versions(evidence: Evidence) -> Iterator[Violation]:
    """Check that each run used a version or service that its workspace allows."""
    timeline = Timeline(evidence.tickets, evidence.lag)
    workspaces = _map_workspaces(evidence)
    for run in evidence.starts:
        workspace = workspaces.get(run.mark)
        if workspace is None:
            continue
        possible = timeline.find_possible(run.time)
        if not any(
            run.version in configuration.allowed.get(workspace, ())
            for configuration in possible
        ):
            yield Violation("allowed version", f"{workspace} ran {_describe_run(run)}")


def check_withdrawn_versions(evidence: Evidence) -> Iterator[Violation]:
    """Check that withdrawn versions received no new work."""
    timeline = Timeline(evidence.tickets, evidence.lag)
    for run in evidence.starts:
        possible = timeline.find_possible(run.time)
        if possible and all(
            run.version in configuration.withdrawn for configuration in possible
        ):
            yield Violation("withdrawn version", _describe_run(run))


def check_sessions(evidence: Evidence) -> Iterator[Violation]:
    """Check that all answers of a session came from one version."""
    versions: dict[str, set[str]] = {}
    for attempt in _list_attempts(evidence):
        if attempt.outcome is Outcome.ANSWERED and attempt.session:
            version = attempt.text.split(" ", 1)[0]
            versions.setdefault(attempt.session, set()).add(version)
    for session, answering_versions in versions.items():
        if len(answering_versions) > 1:
            detail = (
                f"session {session[:24]} was answered by {sorted(answering_versions)}"
            )
            yield Violation("session version", detail)


def check_bills(evidence: Evidence) -> Iterator[Violation]:
    """Check that each answered request was billed exactly once."""
    promise = "billed once"
    if evidence.bills is None:
        yield Violation(promise, "the ledger could not be read")
        return
    ids = Counter(bill["request"] for bill in evidence.bills)
    keys = Counter(
        (bill["workspace"], bill["key"]) for bill in evidence.bills if bill.get("key")
    )
    for name, number in (*ids.items(), *keys.items()):
        if number > 1:
            yield Violation(promise, f"{number} bills for {name}")
    for transcript in evidence.transcripts:
        yield from _check_bill(transcript, ids, keys)


def _check_bill(
    transcript: Transcript, ids: Counter, keys: Counter
) -> Iterator[Violation]:
    """Check the bills of one request."""
    request = transcript.request
    if request.key:
        billed = keys[(request.workspace, request.key)]
        if transcript.outcome is Outcome.ANSWERED and billed != 1:
            detail = f"{request.mark} was answered and has {billed} bills"
            yield Violation("billed once", detail)
        return
    for attempt in transcript.tries:
        if not attempt.request_id:
            continue
        billed = ids[attempt.request_id]
        if attempt.outcome is Outcome.ANSWERED and billed != 1:
            detail = f"{attempt.request_id} was answered and has {billed} bills"
            yield Violation("billed once", detail)
        if attempt.outcome is Outcome.REFUSED and billed:
            detail = f"{attempt.request_id} was refused as not run and has a bill"
            yield Violation("billed once", detail)


def check_complete_answers(evidence: Evidence) -> Iterator[Violation]:
    """Check that each answer is complete and belongs to its request."""
    for transcript in evidence.transcripts:
        for attempt in transcript.tries:
            if attempt.outcome is not Outcome.ANSWERED:
                continue
            if not _is_own_answer(transcript, attempt):
                detail = (
                    f"{transcript.request.mark} at {attempt.entry}: "
                    f"{attempt.text[:60]!r}"
                )
                yield Violation("whole answer", detail)


def _is_own_answer(transcript: Transcript, attempt: Attempt) -> bool:
    """Whether an answer is complete and belongs to its request."""
    request = transcript.request
    if request.is_chat:
        return check_answer(attempt.text, request.messages, request.max_tokens)
    if attempt.status >= 400:
        return True
    try:
        answer = json.decode(attempt.text)
    except DecodeError:
        return False
    digest = sha256(request.body).hexdigest()
    return answer.get("body", digest) == digest and request.path.endswith(
        answer.get("path", "")
    )


def check_not_run(evidence: Evidence) -> Iterator[Violation]:
    """Check that attempts refused as not run did not run."""
    runs: dict[str, list[Record]] = {}
    for run in evidence.starts:
        runs.setdefault(run.mark, []).append(run)
    for transcript in evidence.transcripts:
        for attempt in transcript.tries:
            if attempt.outcome is not Outcome.REFUSED or attempt.run is not Run.NOT_RUN:
                continue
            for run in runs.get(transcript.request.mark, ()):
                if _is_run_of_attempt(run, attempt):
                    detail = (
                        f"code {attempt.code} at {attempt.entry}, "
                        f"but {_describe_run(run)}"
                    )
                    yield Violation("not run", detail)


def _is_run_of_attempt(run: Record, attempt: Attempt) -> bool:
    """Whether a run at an endpoint was caused by an attempt."""
    if attempt.request_id:
        return run.request == attempt.request_id
    started_during_attempt = attempt.began <= run.time <= attempt.ended
    return started_during_attempt and run.request.startswith(f"{attempt.entry}-")


def check_at_most_once(evidence: Evidence) -> Iterator[Violation]:
    """Check that each non-idempotent request ran at most once."""
    non_idempotent_marks = {
        transcript.request.mark
        for transcript in evidence.transcripts
        if not transcript.request.idempotent
    }
    counts = Counter(
        run.mark for run in evidence.starts if run.mark in non_idempotent_marks
    )
    for mark, number in counts.items():
        if number > 1:
            yield Violation("at most once", f"{mark} ran {number} times")
    yield from _check_one_answer(evidence)


def _check_one_answer(evidence: Evidence) -> Iterator[Violation]:
    """Check that all answers to a non-idempotent request are equal."""
    for transcript in evidence.transcripts:
        if transcript.request.idempotent:
            continue
        answers = {
            attempt.text
            for attempt in transcript.tries
            if attempt.outcome is Outcome.ANSWERED
        }
        if len(answers) > 1:
            detail = f"{transcript.request.mark} has {len(answers)} different answers"
            yield Violation("at most once", detail)


def check_leaving_endpoints(evidence: Evidence) -> Iterator[Violation]:
    """Check that a leaving endpoint gets no new work after the grace period."""
    for planned_stop in evidence.departures:
        limit = planned_stop.told + LEAVE_GRACE_SECONDS
        end = planned_stop.ended or float("inf")
        for run in evidence.starts:
            if run.endpoint == planned_stop.name and limit < run.time <= end:
                delay = run.time - planned_stop.told
                detail = f"{delay:.1f} s after its shutdown began: {_describe_run(run)}"
                yield Violation("leaving endpoint", detail)


def check_graceful_shutdown(evidence: Evidence) -> Iterator[Violation]:
    """Check that graceful shutdowns succeeded and broke no request."""
    for planned_stop in evidence.departures:
        if planned_stop.exit_code not in (0, None):
            detail = f"{planned_stop.name} exited with status {planned_stop.exit_code}"
            yield Violation("graceful shutdown", detail)
        for attempt in _list_attempts(evidence):
            if _was_interrupted(attempt, planned_stop):
                detail = f"{planned_stop.name} broke a request: {attempt.detail}"
                yield Violation("graceful shutdown", detail)


def _was_interrupted(attempt: Attempt, planned_stop: PlannedStop) -> bool:
    """Whether an attempt broke while its entry was shutting down."""
    if attempt.entry != planned_stop.name or attempt.outcome is not Outcome.BROKEN:
        return False
    end = planned_stop.ended or float("inf")
    return attempt.began < end and attempt.ended >= planned_stop.told


def check_configuration(evidence: Evidence) -> Iterator[Violation]:
    """Check that accepted tickets are kept and take effect in time, without reverts."""
    promise = "configuration"
    for number, is_kept in evidence.kept_tickets.items():
        if not is_kept:
            yield Violation(promise, f"accepted ticket {number} is lost")
    contents: dict[int, set[bytes]] = {}
    for ticket in evidence.tickets:
        if ticket.accepted:
            content = json.encode(ticket.content, order="sorted")
            contents.setdefault(ticket.number, set()).add(content)
    for number, distinct_contents in contents.items():
        if len(distinct_contents) > 1:
            yield Violation(
                promise, f"ticket number {number} was accepted with different contents"
            )
    yield from _check_samples(evidence)


def _check_samples(evidence: Evidence) -> Iterator[Violation]:
    """Check in the samples that entries apply tickets in time and never revert."""
    timeline = Timeline(evidence.tickets, evidence.lag)
    newest: dict[tuple[str, int], int] = {}
    reported: set[tuple[str, int]] = set()
    for sample in evidence.samples:
        process = (sample.entry, sample.process)
        if sample.ticket < newest.get(process, 0):
            detail = f"{sample.entry} reverted to ticket {sample.ticket}"
            yield Violation("configuration", detail)
        newest[process] = max(sample.ticket, newest.get(process, 0))
        if sample.age is None or sample.age > MAX_FRESH_AGE_SECONDS or sample.draining:
            continue
        expected_number = timeline.find_possible(sample.time)[0].number
        if (
            sample.ticket < expected_number
            and (sample.entry, expected_number) not in reported
        ):
            reported.add((sample.entry, expected_number))
            detail = (
                f"{sample.entry} applies ticket {sample.ticket}, "
                f"expected {expected_number}"
            )
            yield Violation("configuration", detail)


def check_unexpected_events(evidence: Evidence) -> Iterator[Violation]:
    """Check that no process exited unexpectedly or failed to stop."""
    for surprise in evidence.surprises:
        yield Violation("processes", surprise)


def _map_workspaces(evidence: Evidence) -> dict[str, str]:
    """Map the mark of each request to its workspace."""
    return {
        transcript.request.mark: transcript.request.workspace
        for transcript in evidence.transcripts
    }


def _list_attempts(evidence: Evidence) -> Iterator[Attempt]:
    """List the attempts of all requests."""
    for transcript in evidence.transcripts:
        yield from transcript.tries


def _describe_run(run: Record) -> str:
    """Describe a run for a violation."""
    return f"{run.version} at {run.endpoint}, request {run.request}, {run.mark}"
