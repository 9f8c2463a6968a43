"""Statistical comparison of a candidate with the current version.

Uses the betting tests of `sequential`: the capital of bets against a claim only
becomes large, except with a small probability, if the claim is false.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from math import sqrt

from bergamotwood_core.estimate import SCORE_BINS
from bergamotwood_core.outcome import LATENCY_BINS, ArmCounts
from bergamotwood_core.sequential import Loss, bet_above, bet_below

# Maximum share of the current version's first tokens that count as slow.
SLOW_SHARE = 0.1
# Standard errors added to a baseline, because it is itself an estimate.
BASELINE_STANDARD_ERRORS = 1.0
# Minimum number of outcomes of the current version for a baseline.
MIN_BASELINE_OUTCOMES = 20


class Metric(StrEnum):
    """Metric of a comparison."""

    FAILURES = "failures"
    LATENCY = "latency"
    QUALITY = "quality"


# Excess loss over the current version that is always tolerated.
TOLERANCES = {Metric.FAILURES: 0.005, Metric.LATENCY: 0.03, Metric.QUALITY: 0.01}


@dataclass(frozen=True, slots=True)
class Baseline:
    """Loss of the current version on one metric.

    Parameters
    ----------
    metric : Metric
        Metric of the loss.
    mean, error : float
        Mean loss and its standard error.
    slow_bin : int
        First latency bin that counts as slow.
    """

    metric: Metric
    mean: float
    error: float
    slow_bin: int

    @property
    def bound(self) -> float:
        """Maximum tolerated mean loss of a candidate."""
        raised = self.mean + BASELINE_STANDARD_ERRORS * self.error
        return raised + TOLERANCES[self.metric]


def list_baselines(current: ArmCounts) -> list[Baseline]:
    """List the baselines of the metrics with enough outcomes."""
    slow_bin = _find_slow_bin(current)
    baselines: list[Baseline] = []
    for metric in Metric:
        losses = list_losses(metric, current, ArmCounts(), slow_bin, finished_only=True)
        count = sum(loss.count for loss in losses)
        if count < MIN_BASELINE_OUTCOMES:
            continue
        mean = sum(loss.value * loss.count for loss in losses) / count
        squares = sum(loss.value**2 * loss.count for loss in losses) / count
        error = sqrt(max(squares - mean**2, 0.0) / count)
        baselines.append(Baseline(metric, mean, error, slow_bin))
    return baselines


def compute_harm_capital(
    baseline: Baseline, candidate: ArmCounts, since: ArmCounts
) -> float:
    """Compute the capital against the claim that the candidate is no worse.

    Requests in flight count as successful. Otherwise failures, which end earlier
    than successful requests, would bias the test.
    """
    losses = list_losses(baseline.metric, candidate, since, baseline.slow_bin)
    return bet_above(losses, baseline.bound)


def compute_safety_capital(
    baseline: Baseline, candidate: ArmCounts, margin: float
) -> float:
    """Compute the capital against the claim that the candidate is worse by a margin."""
    losses = list_losses(
        baseline.metric, candidate, ArmCounts(), baseline.slow_bin, finished_only=True
    )
    return bet_below(losses, baseline.mean + margin)


def list_losses(
    metric: Metric,
    arm: ArmCounts,
    since: ArmCounts,
    slow_bin: int,
    finished_only: bool = False,
) -> list[Loss]:
    """List the losses of one version on a metric.

    Parameters
    ----------
    metric : Metric
        Metric of the losses.
    arm, since : ArmCounts
        Counts now and at an earlier time; the losses between them are listed.
    slow_bin : int
        First latency bin that counts as slow.
    finished_only : bool
        Whether only finished requests count.

    Returns
    -------
    list of Loss
        Losses from 0 to 1.
    """
    trials = arm.finished if finished_only else arm.started
    trials -= since.finished
    match metric:
        case Metric.FAILURES:
            return _make_binary_losses(arm.failed - since.failed, trials)
        case Metric.LATENCY:
            slow = sum(arm.latencies[slow_bin:]) - sum(since.latencies[slow_bin:])
            failed = arm.failed - since.failed
            return _make_binary_losses(slow, max(trials - failed, 0))
        case Metric.QUALITY:
            return [
                Loss(1.0 - (index + 0.5) / SCORE_BINS, count - before)
                for index, (count, before) in enumerate(
                    zip(arm.scores, since.scores, strict=True)
                )
            ]


def _make_binary_losses(loss_count: int, trials: int) -> list[Loss]:
    return [Loss(1.0, loss_count), Loss(0.0, max(trials - loss_count, 0))]


def _find_slow_bin(current: ArmCounts) -> int:
    allowed = SLOW_SHARE * sum(current.latencies)
    slow = 0
    for index in range(LATENCY_BINS - 1, -1, -1):
        slow += current.latencies[index]
        if slow > allowed:
            return index + 1
    return 0


def find_harmed_metric(
    baselines: Sequence[Baseline],
    candidate: ArmCounts,
    test_starts: Sequence[tuple[float, ArmCounts]],
    false_stop_rate: float,
) -> Metric | None:
    """Find a metric on which the candidate is shown to be worse; None if there is none.

    Parameters
    ----------
    baselines : sequence of Baseline
        Baselines of the current version.
    candidate : ArmCounts
        Counts of the candidate.
    test_starts : sequence of tuple
        Weight of each test, with a sum of at most 1, and counts from which it starts.
    false_stop_rate : float
        Maximum probability of ever stopping a candidate that is no worse.
    """
    limit = len(Metric) / false_stop_rate
    for baseline in baselines:
        capital = 0.0
        for weight, since in test_starts:
            capital += weight * compute_harm_capital(baseline, candidate, since)
        if capital >= limit:
            return baseline.metric
    return None
