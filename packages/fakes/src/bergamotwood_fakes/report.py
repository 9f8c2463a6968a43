"""Reports of scenario runs, as a table and as JSON."""

from collections import Counter
from pathlib import Path

from msgspec import Struct, json

from bergamotwood_fakes.checks import check_promises
from bergamotwood_fakes.evidence import Evidence, Violation
from bergamotwood_fakes.expectation import count_outcomes, measure_gap
from bergamotwood_fakes.runner import Runner
from bergamotwood_fakes.transcript import Outcome, Transcript

MAX_TROUBLES = 6
HEADER = (
    f"{'scenario':<40}{'sent':>6}{'answ':>6}{'refus':>6}{'unkn':>6}"
    f"{'viol':>6}{'gap s':>7}{'back s':>8}"
)


class Result(Struct):
    """The result of a scenario run.

    Parameters
    ----------
    name : str
        Name of the scenario.
    sent, answered, refused, unknown : int
        Number of requests in total and by outcome.
    longest_gap : float
        Longest time without an answer while requests were waiting, in seconds.
    back_to_normal : float
        Seconds from the first fault to the last failed attempt.
    violations : list of Violation
        Violated promises.
    unmet : list of str
        Expectations that were not met.
    troubles : list of str
        The most frequent kinds of failed attempts, with their numbers.
    """

    name: str
    sent: int
    answered: int
    refused: int
    unknown: int
    longest_gap: float
    back_to_normal: float
    violations: list[Violation]
    unmet: list[str]
    troubles: list[str]

    @property
    def passed(self) -> bool:
        """Whether there are neither violations nor unmet expectations."""
        return not self.violations and not self.unmet


def make_result(
    name: str, evidence: Evidence, runners: list[Runner], include_expectations: bool
) -> Result:
    """Check the evidence of a scenario run.

    Parameters
    ----------
    name : str
        Name for the report.
    evidence : Evidence
        Evidence of the run.
    runners : list of Runner
        Runners of the scenarios.
    include_expectations : bool
        Whether to report unmet expectations; scenarios that run in pairs may miss
        theirs.
    """
    transcripts = evidence.transcripts
    faults = [
        runner.first_fault_at for runner in runners if runner.first_fault_at is not None
    ]
    return Result(
        name=name,
        sent=len(transcripts),
        answered=count_outcomes(transcripts, Outcome.ANSWERED),
        refused=count_outcomes(transcripts, Outcome.REFUSED),
        unknown=count_outcomes(transcripts, Outcome.UNKNOWN),
        longest_gap=measure_gap(transcripts),
        back_to_normal=_measure_recovery(transcripts, min(faults)) if faults else 0.0,
        violations=check_promises(evidence),
        unmet=[expectation for runner in runners for expectation in runner.unmet]
        if include_expectations
        else [],
        troubles=_count_troubles(transcripts),
    )


def _count_troubles(transcripts: list[Transcript]) -> list[str]:
    """List the most frequent kinds of failed attempts, with their numbers."""
    kinds = Counter(
        f"{attempt.outcome} {attempt.status} code {attempt.code} "
        f"{attempt.run or ''} {attempt.detail[:60]}"
        for transcript in transcripts
        for attempt in transcript.tries
        if attempt.outcome is not Outcome.ANSWERED
    )
    return [f"{number} x {kind}" for kind, number in kinds.most_common(MAX_TROUBLES)]


def _measure_recovery(transcripts: list[Transcript], fault_at: float) -> float:
    """Measure the seconds from a fault to the last failed attempt after it."""
    ends = [
        attempt.ended
        for transcript in transcripts
        for attempt in transcript.tries
        if attempt.outcome is not Outcome.ANSWERED and attempt.ended > fault_at
    ]
    return max(ends, default=fault_at) - fault_at


def format_result(result: Result) -> str:
    """Format a result as a table row, followed by the failures."""
    line = (
        f"{result.name[:39]:<40}{result.sent:>6}{result.answered:>6}"
        f"{result.refused:>6}{result.unknown:>6}{len(result.violations):>6}"
        f"{result.longest_gap:>7.1f}{result.back_to_normal:>8.1f}"
    )
    details = [
        *(
            f"  VIOLATION {violation.promise}: {violation.detail}"
            for violation in result.violations
        ),
        *(f"  UNMET {expectation}" for expectation in result.unmet),
        *(f"  {trouble}" for trouble in result.troubles),
    ]
    return "\n".join((line, *details))


def write_results(results: list[Result], path: Path) -> None:
    """Write results as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(json.format(json.encode(results)))
