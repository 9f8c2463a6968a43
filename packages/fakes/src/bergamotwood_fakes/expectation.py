"""Expectations of a scenario against transcripts and records."""

from collections.abc import Iterator

from bergamotwood_fakes.record import Event, Record
from bergamotwood_fakes.step import ExpectStep
from bergamotwood_fakes.transcript import Outcome, Transcript, Try


def find_unmet(
    expect: ExpectStep, transcripts: list[Transcript], records: list[Record]
) -> list[str]:
    """List what is expected and does not hold."""
    name = expect.of or "all"
    faults = [
        *_check_outcomes(expect, transcripts),
        *_check_codes(expect, transcripts),
        *_check_runs(expect, transcripts, records),
    ]
    gap = measure_gap(transcripts)
    if expect.longest_gap is not None and gap > expect.longest_gap:
        faults.append(f"gap of {gap:.1f} s, at most {expect.longest_gap}")
    return [f"{name}: {fault}" for fault in faults]


def count_outcomes(transcripts: list[Transcript], outcome: Outcome) -> int:
    """Count the requests that ended in one way."""
    return sum(one.done and one.outcome is outcome for one in transcripts)


def measure_gap(transcripts: list[Transcript]) -> float:
    """Measure the longest time without an answer while requests waited."""
    ends = sorted(one.answer.ended for one in transcripts if one.answer is not None)
    if not ends:
        return 0.0
    began = min(one.tries[0].began for one in transcripts if one.tries)
    longest = 0.0
    for earlier, later in zip([began, *ends], ends, strict=False):
        waiting = [
            max(earlier, one.tries[0].began)
            for one in transcripts
            if one.tries and one.tries[0].began < later and _is_open(one, earlier)
        ]
        if waiting:
            longest = max(longest, later - min(waiting))
    return longest


def _is_open(transcript: Transcript, time: float) -> bool:
    """Whether a request had no answer yet at a time."""
    return transcript.answer is None or transcript.answer.ended > time


def _check_outcomes(expect: ExpectStep, transcripts: list[Transcript]) -> Iterator[str]:
    """Check how many requests ended in which way."""
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
    """Check result codes and versions."""
    tries = [one for transcript in transcripts for one in transcript.tries]
    given = {one.code for one in tries if one.code}
    for code in expect.seen:
        if code not in given:
            yield f"code {code} was never given, only {sorted(given)}"
    if expect.codes is not None:
        for code in sorted(given - set(expect.codes)):
            yield f"code {code}: {_find_detail(tries, code)}"
    if expect.versions is None:
        return
    answered = [one for one in tries if one.outcome is Outcome.ANSWERED]
    versions = {one.text.split(" ", 1)[0] for one in answered}
    for version in sorted(versions - set(expect.versions)):
        yield f"answered by {version}"


def _find_detail(tries: list[Try], code: int) -> str:
    """Find what the first error of a code said."""
    return next(one.detail for one in tries if one.code == code)


def _check_runs(
    expect: ExpectStep, transcripts: list[Transcript], records: list[Record]
) -> Iterator[str]:
    """Check how often requests ran at endpoints."""
    if expect.ran is None:
        return
    marks = {transcript.request.mark for transcript in transcripts}
    starts = [record for record in records if record.event is Event.START]
    number = sum(record.mark in marks for record in starts)
    if not expect.ran[0] <= number <= expect.ran[1]:
        yield f"{number} runs, expected {expect.ran[0]} to {expect.ran[1]}"
