"""Checks of a scenario's expectations against transcripts and records."""

from collections.abc import Iterator

from bergamotwood_fakes.record import Event, Record
from bergamotwood_fakes.step import ExpectStep
from bergamotwood_fakes.transcript import Attempt, Outcome, Transcript


def find_unmet(
    expect: ExpectStep, transcripts: list[Transcript], records: list[Record]
) -> list[str]:
    """List the expectations that are not met."""
    name = expect.of or "all"
    unmet = [
        *_check_outcomes(expect, transcripts),
        *_check_codes(expect, transcripts),
        *_check_runs(expect, transcripts, records),
    ]
    gap = measure_gap(transcripts)
    if expect.longest_gap is not None and gap > expect.longest_gap:
        unmet.append(f"gap of {gap:.1f} s, expected at most {expect.longest_gap} s")
    return [f"{name}: {detail}" for detail in unmet]


def count_outcomes(transcripts: list[Transcript], outcome: Outcome) -> int:
    """Count the finished requests with an outcome."""
    return sum(
        transcript.done and transcript.outcome is outcome for transcript in transcripts
    )


def measure_gap(transcripts: list[Transcript]) -> float:
    """Measure the longest time without an answer while requests were waiting."""
    ends = sorted(
        transcript.answer.ended
        for transcript in transcripts
        if transcript.answer is not None
    )
    if not ends:
        return 0.0
    began = min(
        transcript.tries[0].began for transcript in transcripts if transcript.tries
    )
    longest = 0.0
    for earlier, later in zip([began, *ends], ends, strict=False):
        waiting = [
            max(earlier, transcript.tries[0].began)
            for transcript in transcripts
            if transcript.tries
            and transcript.tries[0].began < later
            and _is_unanswered(transcript, earlier)
        ]
        if waiting:
            longest = max(longest, later - min(waiting))
    return longest


def _is_unanswered(transcript: Transcript, time: float) -> bool:
    """Whether a request was unanswered at a time."""
    return transcript.answer is None or transcript.answer.ended > time


def _check_outcomes(expect: ExpectStep, transcripts: list[Transcript]) -> Iterator[str]:
    """Check the number of requests by outcome."""
    for outcome, bounds in (
        (Outcome.ANSWERED, expect.answered),
        (Outcome.REFUSED, expect.refused),
        (Outcome.UNKNOWN, expect.unknown),
    ):
        if bounds is None:
            continue
        number = count_outcomes(transcripts, outcome)
        if not bounds[0] <= number <= bounds[1]:
            yield f"{number} {outcome}, expected {bounds[0]} to {bounds[1]}"


def _check_codes(expect: ExpectStep, transcripts: list[Transcript]) -> Iterator[str]:
    """Check the result codes and the answering versions."""
    tries = [attempt for transcript in transcripts for attempt in transcript.tries]
    returned_codes = {attempt.code for attempt in tries if attempt.code}
    for code in expect.seen:
        if code not in returned_codes:
            yield f"code {code} was never returned, only {sorted(returned_codes)}"
    if expect.codes is not None:
        for code in sorted(returned_codes - set(expect.codes)):
            yield f"unexpected code {code}: {_find_detail(tries, code)}"
    if expect.versions is None:
        return
    answered = [attempt for attempt in tries if attempt.outcome is Outcome.ANSWERED]
    versions = {attempt.text.split(" ", 1)[0] for attempt in answered}
    for version in sorted(versions - set(expect.versions)):
        yield f"unexpected answer by {version}"


def _find_detail(tries: list[Attempt], code: int) -> str:
    """Find the detail of the first error with a code."""
    return next(attempt.detail for attempt in tries if attempt.code == code)


def _check_runs(
    expect: ExpectStep, transcripts: list[Transcript], records: list[Record]
) -> Iterator[str]:
    """Check the number of runs at endpoints."""
    if expect.ran is None:
        return
    marks = {transcript.request.mark for transcript in transcripts}
    starts = [record for record in records if record.event is Event.START]
    run_count = sum(record.mark in marks for record in starts)
    if not expect.ran[0] <= run_count <= expect.ran[1]:
        yield f"{run_count} runs, expected {expect.ran[0]} to {expect.ran[1]}"
