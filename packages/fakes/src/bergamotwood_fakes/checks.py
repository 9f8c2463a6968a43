"""The ten promises, judged from records, transcripts and the ledger."""

from collections import Counter
from collections.abc import Iterator
from hashlib import sha256

from msgspec import DecodeError, json

from bergamotwood_core.states import Run
from bergamotwood_fakes.answer import check_answer
from bergamotwood_fakes.evidence import Departure, Evidence, Violation
from bergamotwood_fakes.record import Record
from bergamotwood_fakes.timeline import Timeline
from bergamotwood_fakes.transcript import Outcome, Transcript, Try

LEAVING_SECONDS = 4.0
FRESH_AGE_SECONDS = 5.0


def check_promises(evidence: Evidence) -> list[Violation]:
    """Judge every promise and list the violations."""
    checks = (
        check_allowed_versions,
        check_withdrawn_versions,
        check_sessions,
        check_bills,
        check_whole_answers,
        check_not_run,
        check_at_most_once,
        check_leaving_endpoints,
        check_graceful_shutdown,
        check_configuration,
        check_surprises,
    )
    return [violation for check in checks for violation in check(evidence)]


def check_allowed_versions(evidence: Evidence) -> Iterator[Violation]:
    """Judge that each run was on what its workspace allows."""
    timeline = Timeline(evidence.tickets, evidence.lag)
    workspaces = _map_workspaces(evidence)
    for run in evidence.starts:
        workspace = workspaces.get(run.mark)
        if workspace is None:
            continue
        possible = timeline.find_possible(run.time)
        if not any(
            run.version in state.allowed.get(workspace, ()) for state in possible
        ):
            yield Violation("allowed version", f"{workspace} ran {_describe(run)}")


def check_withdrawn_versions(evidence: Evidence) -> Iterator[Violation]:
    """Judge that a withdrawn version received no new work."""
    timeline = Timeline(evidence.tickets, evidence.lag)
    for run in evidence.starts:
        possible = timeline.find_possible(run.time)
        if possible and all(run.version in state.withdrawn for state in possible):
            yield Violation("withdrawn version", _describe(run))


def check_sessions(evidence: Evidence) -> Iterator[Violation]:
    """Judge that each session kept the version that it started on."""
    versions: dict[str, set[str]] = {}
    for one in _list_tries(evidence):
        if one.outcome is Outcome.ANSWERED and one.session:
            version = one.text.split(" ", 1)[0]
            versions.setdefault(one.session, set()).add(version)
    for session, found in versions.items():
        if len(found) > 1:
            detail = f"session {session[:24]} was answered by {sorted(found)}"
            yield Violation("session version", detail)


def check_bills(evidence: Evidence) -> Iterator[Violation]:
    """Judge that each answered request is in the ledger exactly once."""
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
    """Judge the bills of one request."""
    request = transcript.request
    if request.key:
        billed = keys[(request.workspace, request.key)]
        if transcript.outcome is Outcome.ANSWERED and billed != 1:
            detail = f"{request.mark} was answered and has {billed} bills"
            yield Violation("billed once", detail)
        return
    for one in transcript.tries:
        if not one.request_id:
            continue
        billed = ids[one.request_id]
        if one.outcome is Outcome.ANSWERED and billed != 1:
            detail = f"{one.request_id} was answered and has {billed} bills"
            yield Violation("billed once", detail)
        if one.outcome is Outcome.REFUSED and billed:
            detail = f"{one.request_id} was refused as not run and has a bill"
            yield Violation("billed once", detail)


def check_whole_answers(evidence: Evidence) -> Iterator[Violation]:
    """Judge that each answer is the whole answer to its own request."""
    for transcript in evidence.transcripts:
        for one in transcript.tries:
            if one.outcome is not Outcome.ANSWERED:
                continue
            if not _is_own_answer(transcript, one):
                detail = f"{transcript.request.mark} at {one.entry}: {one.text[:60]!r}"
                yield Violation("whole answer", detail)


def _is_own_answer(transcript: Transcript, one: Try) -> bool:
    """Whether an answer is whole and belongs to its request."""
    request = transcript.request
    if request.is_chat:
        return check_answer(one.text, request.messages, request.max_tokens)
    if one.status >= 400:
        return True
    try:
        answer = json.decode(one.text)
    except DecodeError:
        return False
    digest = sha256(request.body).hexdigest()
    return answer.get("body", digest) == digest and request.path.endswith(
        answer.get("path", "")
    )


def check_not_run(evidence: Evidence) -> Iterator[Violation]:
    """Judge that a try that was refused as not run did not run."""
    runs: dict[str, list[Record]] = {}
    for run in evidence.starts:
        runs.setdefault(run.mark, []).append(run)
    for transcript in evidence.transcripts:
        for one in transcript.tries:
            if one.outcome is not Outcome.REFUSED or one.run is not Run.NOT_RUN:
                continue
            for run in runs.get(transcript.request.mark, ()):
                if _belongs(run, one):
                    detail = f"code {one.code} at {one.entry}, but {_describe(run)}"
                    yield Violation("not run", detail)


def _belongs(run: Record, one: Try) -> bool:
    """Whether a run at an endpoint is the work of a try."""
    if one.request_id:
        return run.request == one.request_id
    in_time = one.began <= run.time <= one.ended
    return in_time and run.request.startswith(f"{one.entry}-")


def check_at_most_once(evidence: Evidence) -> Iterator[Violation]:
    """Judge that each non-idempotent request ran at most once."""
    once = {
        transcript.request.mark
        for transcript in evidence.transcripts
        if not transcript.request.idempotent
    }
    counts = Counter(run.mark for run in evidence.starts if run.mark in once)
    for mark, number in counts.items():
        if number > 1:
            yield Violation("at most once", f"{mark} ran {number} times")
    yield from _check_one_answer(evidence)


def _check_one_answer(evidence: Evidence) -> Iterator[Violation]:
    """Judge that all answers to a non-idempotent request are the same."""
    for transcript in evidence.transcripts:
        if transcript.request.idempotent:
            continue
        answers = {
            one.text for one in transcript.tries if one.outcome is Outcome.ANSWERED
        }
        if len(answers) > 1:
            detail = f"{transcript.request.mark} has {len(answers)} unlike answers"
            yield Violation("at most once", detail)


def check_leaving_endpoints(evidence: Evidence) -> Iterator[Violation]:
    """Judge that an endpoint that leaves receives no new work after a while."""
    for departure in evidence.departures:
        limit = departure.told + LEAVING_SECONDS
        end = departure.ended or float("inf")
        for run in evidence.starts:
            if run.endpoint == departure.name and limit < run.time <= end:
                late = run.time - departure.told
                detail = f"{late:.1f} s after it left: {_describe(run)}"
                yield Violation("leaving endpoint", detail)


def check_graceful_shutdown(evidence: Evidence) -> Iterator[Violation]:
    """Judge that a planned stop cut off no request in flight."""
    for departure in evidence.departures:
        if departure.exit_code not in (0, None):
            detail = f"{departure.name} ended with {departure.exit_code}"
            yield Violation("graceful shutdown", detail)
        for one in _list_tries(evidence):
            if _was_cut(one, departure):
                detail = f"{departure.name} cut a request: {one.detail}"
                yield Violation("graceful shutdown", detail)


def _was_cut(one: Try, departure: Departure) -> bool:
    """Whether a try broke while its entry was stopping."""
    if one.entry != departure.name or one.outcome is not Outcome.BROKEN:
        return False
    end = departure.ended or float("inf")
    return one.began < end and one.ended >= departure.told


def check_configuration(evidence: Evidence) -> Iterator[Violation]:
    """Judge that accepted tickets are in force soon and never revert."""
    promise = "configuration"
    for number, kept in evidence.kept_tickets.items():
        if not kept:
            yield Violation(promise, f"accepted ticket {number} is lost")
    contents: dict[int, set[bytes]] = {}
    for ticket in evidence.tickets:
        if ticket.accepted:
            content = json.encode(ticket.content, order="sorted")
            contents.setdefault(ticket.number, set()).add(content)
    for number, found in contents.items():
        if len(found) > 1:
            yield Violation(promise, f"number {number} was accepted twice")
    yield from _check_samples(evidence)


def _check_samples(evidence: Evidence) -> Iterator[Violation]:
    """Judge what entries said of their configuration over time."""
    timeline = Timeline(evidence.tickets, evidence.lag)
    newest: dict[tuple[str, int], int] = {}
    late: set[tuple[str, int]] = set()
    for sample in evidence.samples:
        process = (sample.entry, sample.process)
        if sample.ticket < newest.get(process, 0):
            detail = f"{sample.entry} went back to ticket {sample.ticket}"
            yield Violation("configuration", detail)
        newest[process] = max(sample.ticket, newest.get(process, 0))
        if sample.age is None or sample.age > FRESH_AGE_SECONDS or sample.draining:
            continue
        wanted = timeline.find_possible(sample.time)[0].number
        if sample.ticket < wanted and (sample.entry, wanted) not in late:
            late.add((sample.entry, wanted))
            detail = f"{sample.entry} serves ticket {sample.ticket}, not {wanted}"
            yield Violation("configuration", detail)


def check_surprises(evidence: Evidence) -> Iterator[Violation]:
    """Judge that nothing ended by itself."""
    for surprise in evidence.surprises:
        yield Violation("processes", surprise)


def _map_workspaces(evidence: Evidence) -> dict[str, str]:
    """Map the marks of requests to their workspaces."""
    return {
        transcript.request.mark: transcript.request.workspace
        for transcript in evidence.transcripts
    }


def _list_tries(evidence: Evidence) -> Iterator[Try]:
    """List the tries of all requests."""
    for transcript in evidence.transcripts:
        yield from transcript.tries


def _describe(run: Record) -> str:
    """Describe a run in a line."""
    return f"{run.version} at {run.endpoint}, request {run.request}, {run.mark}"
