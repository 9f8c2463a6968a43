"""Report of scenarios: a table and JSON."""

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
    """What a scenario showed.

    Parameters
    ----------
    name : str
        The scenario.
    sent, answered, refused, unknown : int
        Requests, by their ends.
    longest_gap : float
        Seconds without an answer while requests waited.
    back_to_normal : float
        Seconds from the first fault to the last try that failed.
    violations : list of Violation
        Promises that did not hold.
    unmet : list of str
        Expectations that did not hold.
    troubles : list of str
        Kinds of failed tries and their numbers.
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
        """Whether everything held."""
        return not self.violations and not self.unmet


def make_result(
    name: str, evidence: Evidence, runners: list[Runner], judge_expectations: bool
) -> Result:
    """Judge the evidence of a scenario.

    Parameters
    ----------
    name : str
        For the report.
    evidence : Evidence
        What was left behind.
    runners : list of Runner
        Who ran it.
    judge_expectations : bool
        Whether expectations count; they need not hold of scenarios in pairs.
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
        unmet=[fault for runner in runners for fault in runner.unmet]
        if judge_expectations
        else [],
        troubles=_count_troubles(transcripts),
    )


def _count_troubles(transcripts: list[Transcript]) -> list[str]:
    """Count the failed tries by outcome, code and run."""
    kinds = Counter(
        f"{attempt.outcome} {attempt.status} code {attempt.code} "
        f"{attempt.run or ''} {attempt.detail[:60]}"
        for transcript in transcripts
        for attempt in transcript.tries
        if attempt.outcome is not Outcome.ANSWERED
    )
    return [f"{number} x {kind}" for kind, number in kinds.most_common(MAX_TROUBLES)]


def _measure_recovery(transcripts: list[Transcript], fault: float) -> float:
    """Measure the time from a fault to the last try that failed after it."""
    ends = [
        attempt.ended
        for transcript in transcripts
        for attempt in transcript.tries
        if attempt.outcome is not Outcome.ANSWERED and attempt.ended > fault
    ]
    return max(ends, default=fault) - fault


def format_result(result: Result) -> str:
    """Format a result as a line of the table, with what went wrong below."""
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
        *(f"  UNMET {fault}" for fault in result.unmet),
        *(f"  {line}" for line in result.troubles),
    ]
    return "\n".join((line, *details))


def write_results(results: list[Result], path: Path) -> None:
    """Write results as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(json.format(json.encode(results)))
