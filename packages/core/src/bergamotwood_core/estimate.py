"""Estimates of quality from ratings, with uncertainty and exponential forgetting."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import sqrt

SCORE_BINS = 20
# Time constant of exponential forgetting, in ratings.
RATING_TIME_CONSTANT = 300.0
# Number of newest ratings that are compared with the long-run mean.
RECENT_RATINGS = 12
# Difference from the long-run mean that counts as a change, in standard errors.
CHANGE_THRESHOLD_ERRORS = 3.5
# Minimum number of ratings kept after a detected change.
MIN_RATINGS_AFTER_CHANGE = 4
# Weight of a prior, in ratings.
PRIOR_RATINGS = 4.0
# A prior is a mixture of these scores of a good and a poor answer.
GOOD_SCORE = 0.92
POOR_SCORE = 0.35
# Prior mean of the selection bias.
PRIOR_BIAS = 0.03
# Weight of that prior, in pairs of ratings.
PRIOR_BIAS_PAIRS = 20.0


def find_bin(score: float) -> int:
    """Return the index of the histogram bin of a score from 0 to 1."""
    return min(int(score * SCORE_BINS), SCORE_BINS - 1)


def is_valid_score(score: float) -> bool:
    """Whether a number is a valid score, from 0 to 1; False for NaN."""
    return 0.0 <= score <= 1.0


@dataclass(slots=True)
class ScoreHistogram:
    """Weights and sums of scores by bin, with lower weights for older scores.

    Parameters
    ----------
    weights, totals : list of float
        Discounted count and sum of the scores in each bin.
    """

    weights: list[float] = field(default_factory=lambda: [0.0] * SCORE_BINS)
    totals: list[float] = field(default_factory=lambda: [0.0] * SCORE_BINS)

    def add(self, score: float, weight: float = 1.0) -> None:
        """Add one score."""
        index = find_bin(score)
        self.weights[index] += weight
        self.totals[index] += score * weight

    def discount(self, factor: float) -> None:
        """Multiply all weights by a factor."""
        self.weights = [weight * factor for weight in self.weights]
        self.totals = [total * factor for total in self.totals]

    @property
    def weight(self) -> float:
        """Discounted count of scores."""
        return sum(self.weights)

    @property
    def mean(self) -> float:
        """Mean score."""
        return sum(self.totals) / self.weight

    @property
    def variance(self) -> float:
        """Variance of one score."""
        mean = self.mean
        squares = sum(
            total * total / weight
            for weight, total in zip(self.weights, self.totals, strict=True)
            if weight
        )
        return max(squares / self.weight - mean * mean, 0.0)


@dataclass(slots=True)
class Estimate:
    """Estimated quality of one version for one class of requests.

    Parameters
    ----------
    prior_mean : float
        Prior mean quality; may be changed later.
    prior_weight : float
        Weight of the prior, in ratings.
    ratings : ScoreHistogram
        Ratings with exponential forgetting.
    recent : deque of float
        Newest ratings, for change detection.
    """

    prior_mean: float
    prior_weight: float = PRIOR_RATINGS
    ratings: ScoreHistogram = field(default_factory=ScoreHistogram)
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT_RATINGS))

    def add(self, score: float) -> None:
        """Add one rating; drop older ratings when a change of quality is detected."""
        self.ratings.discount(1.0 - 1.0 / RATING_TIME_CONSTANT)
        self.ratings.add(score)
        self.recent.append(score)
        if self._has_changed():
            self._forget_before_change()

    @property
    def weight(self) -> float:
        """Discounted count of ratings plus the weight of the prior."""
        return self.ratings.weight + self.prior_weight

    @property
    def mean(self) -> float:
        """Mean quality, including the prior."""
        total = sum(self.ratings.totals) + self.prior_mean * self.prior_weight
        return total / self.weight

    @property
    def standard_error(self) -> float:
        """Standard error of `mean`."""
        histogram = self._add_prior()
        return sqrt(histogram.variance / histogram.weight)

    def list_acceptance(
        self, thresholds: Sequence[float], selection_bias: float
    ) -> list[tuple[float, float]]:
        """List the acceptance probability and quality at each threshold.

        Parameters
        ----------
        thresholds : sequence of float
            Minimum accepted scores.
        selection_bias : float
            Mean excess of accepted scores over true quality.

        Returns
        -------
        list of tuple of float
            Probability of acceptance and mean true quality of accepted answers.
        """
        histogram = self._add_prior()
        weight = histogram.weight
        acceptance: list[tuple[float, float]] = []
        for threshold in thresholds:
            first_bin = round(threshold * SCORE_BINS)
            accepted = sum(histogram.weights[first_bin:])
            above = sum(histogram.totals[first_bin:])
            score = above / accepted if accepted > 0.0 else threshold
            acceptance.append((accepted / weight, score - selection_bias))
        return acceptance

    def _add_prior(self) -> ScoreHistogram:
        histogram = ScoreHistogram([*self.ratings.weights], [*self.ratings.totals])
        good_share = (self.prior_mean - POOR_SCORE) / (GOOD_SCORE - POOR_SCORE)
        good_share = min(max(good_share, 0.0), 1.0)
        histogram.add(GOOD_SCORE, self.prior_weight * good_share)
        histogram.add(POOR_SCORE, self.prior_weight * (1.0 - good_share))
        return histogram

    def _has_changed(self) -> bool:
        count = len(self.recent)
        older = self.ratings.weight - count
        if count < RECENT_RATINGS or older < count:
            return False
        newest = sum(self.recent)
        past_mean = (sum(self.ratings.totals) - newest) / older
        error = sqrt(self._add_prior().variance * (1.0 / count + 1.0 / older))
        return abs(newest / count - past_mean) > CHANGE_THRESHOLD_ERRORS * error

    def _forget_before_change(self) -> None:
        past_mean = self.mean
        kept = self._find_scores_after_change(past_mean)
        self.ratings = ScoreHistogram()
        self.recent.clear()
        self.recent.extend(kept)
        for score in kept:
            self.ratings.add(score)

    def _find_scores_after_change(self, past_mean: float) -> list[float]:
        scores = list(self.recent)

        def contrast(start: int) -> float:
            count = len(scores) - start
            return abs(sum(scores[start:]) / count - past_mean) * sqrt(count)

        start = max(range(len(scores) - MIN_RATINGS_AFTER_CHANGE + 1), key=contrast)
        return scores[start:]


@dataclass(slots=True)
class SelectionBias:
    """Mean excess of accepted scores over true quality, caused by their selection.

    Estimated from accepted answers that were rated twice: the second score was not
    subject to selection, so it is lower on average.

    Parameters
    ----------
    total, weight : float
        Discounted sum and count of the score differences.
    """

    total: float = PRIOR_BIAS * PRIOR_BIAS_PAIRS
    weight: float = PRIOR_BIAS_PAIRS

    def add(self, first: float, second: float) -> None:
        """Add the two scores of one accepted answer."""
        factor = 1.0 - 1.0 / RATING_TIME_CONSTANT
        self.total = self.total * factor + first - second
        self.weight = self.weight * factor + 1.0

    @property
    def value(self) -> float:
        """Mean score difference."""
        return self.total / self.weight
