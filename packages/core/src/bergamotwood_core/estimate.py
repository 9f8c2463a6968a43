"""Estimates of quality from ratings, with uncertainty and forgetting."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import sqrt

SCORE_BINS = 20
# Ratings that the long-run estimate remembers, as a forgetting time constant.
MEMORY_RATINGS = 300.0
# Newest ratings that are compared with the long-run estimate.
RECENT_RATINGS = 12
# Standard errors between the newest ratings and the long run that mean a change.
CHANGE_LIMIT = 3.5
# Ratings that a prior counts as.
PRIOR_RATINGS = 4.0
# Scores of a good and of a poor answer, as a prior has them.
GOOD_SCORE = 0.92
POOR_SCORE = 0.35
# Share of the variance of scores that is true quality, before it is measured.
PRIOR_RELIABILITY = 0.9
# Weight of that prior, as a sum of squared deviations.
PRIOR_SQUARES = 1.0


def find_bin(score: float) -> int:
    """Index of the histogram bin that holds a score from 0 to 1."""
    return min(int(score * SCORE_BINS), SCORE_BINS - 1)


def is_score(score: float) -> bool:
    """Whether a number is a valid score; false for NaN."""
    return 0.0 <= score <= 1.0


@dataclass(slots=True)
class ScoreHistogram:
    """Weights and sums of scores by bin; older scores weigh less.

    Parameters
    ----------
    weights, totals : list of float
        Discounted number and sum of the scores in each bin.
    """

    weights: list[float] = field(default_factory=lambda: [0.0] * SCORE_BINS)
    totals: list[float] = field(default_factory=lambda: [0.0] * SCORE_BINS)

    def add(self, score: float, weight: float = 1.0) -> None:
        """Count one score."""
        index = find_bin(score)
        self.weights[index] += weight
        self.totals[index] += score * weight

    def discount(self, factor: float) -> None:
        """Multiply the weight of everything counted so far."""
        self.weights = [weight * factor for weight in self.weights]
        self.totals = [total * factor for total in self.totals]

    @property
    def weight(self) -> float:
        """Discounted number of scores."""
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
    """Quality of one version for one kind of request.

    Parameters
    ----------
    prior_mean : float
        Quality believed before any rating; may be set anew.
    prior_weight : float
        Ratings that this belief counts as.
    ratings : ScoreHistogram
        The ratings, with forgetting.
    recent : deque of float
        Newest ratings, to notice a change.
    """

    prior_mean: float
    prior_weight: float = PRIOR_RATINGS
    ratings: ScoreHistogram = field(default_factory=ScoreHistogram)
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT_RATINGS))

    def add(self, score: float) -> None:
        """Take one rating in; forget the past when quality has changed."""
        self.ratings.discount(1.0 - 1.0 / MEMORY_RATINGS)
        self.ratings.add(score)
        self.recent.append(score)
        if self._has_changed():
            self._restart()

    @property
    def weight(self) -> float:
        """Discounted number of ratings, with what the prior counts as."""
        return self.ratings.weight + self.prior_weight

    @property
    def mean(self) -> float:
        """Mean quality."""
        total = sum(self.ratings.totals) + self.prior_mean * self.prior_weight
        return total / self.weight

    @property
    def standard_error(self) -> float:
        """Standard error of `mean`."""
        histogram = self._add_prior()
        return sqrt(histogram.variance / histogram.weight)

    def list_acceptance(
        self, thresholds: Sequence[float], reliability: float
    ) -> list[tuple[float, float]]:
        """Chance that a score reaches each threshold, and true quality given that.

        Parameters
        ----------
        thresholds : sequence of float
            Least accepted scores.
        reliability : float
            Share of the scores' variance that is true quality, 0 to 1.

        Returns
        -------
        list of tuple of float
            Chance of acceptance and mean quality of what is accepted.
        """
        histogram = self._add_prior()
        mean = histogram.mean
        weight = histogram.weight
        found: list[tuple[float, float]] = []
        for threshold in thresholds:
            first = round(threshold * SCORE_BINS)
            accepted = sum(histogram.weights[first:])
            above = sum(histogram.totals[first:])
            score = above / accepted if accepted > 0.0 else threshold
            found.append((accepted / weight, mean + reliability * (score - mean)))
        return found

    def _add_prior(self) -> ScoreHistogram:
        histogram = ScoreHistogram([*self.ratings.weights], [*self.ratings.totals])
        good = (self.prior_mean - POOR_SCORE) / (GOOD_SCORE - POOR_SCORE)
        good = min(max(good, 0.0), 1.0)
        histogram.add(GOOD_SCORE, self.prior_weight * good)
        histogram.add(POOR_SCORE, self.prior_weight * (1.0 - good))
        return histogram

    def _has_changed(self) -> bool:
        count = len(self.recent)
        older = self.ratings.weight - count
        if count < RECENT_RATINGS or older < count:
            return False
        newest = sum(self.recent)
        past = (sum(self.ratings.totals) - newest) / older
        error = sqrt(self._add_prior().variance * (1.0 / count + 1.0 / older))
        return abs(newest / count - past) > CHANGE_LIMIT * error

    def _restart(self) -> None:
        self.ratings = ScoreHistogram()
        for score in self.recent:
            self.ratings.add(score)


@dataclass(slots=True)
class Reliability:
    """Share of the variance of scores that is true quality.

    Learned from answers that were rated twice: the regression of the second score
    on the first, around the mean of their kind.
    """

    products: float = PRIOR_RELIABILITY * PRIOR_SQUARES
    squares: float = PRIOR_SQUARES

    def add(self, mean: float, first: float, second: float) -> None:
        """Take in two scores of one answer."""
        factor = 1.0 - 1.0 / MEMORY_RATINGS
        self.products = self.products * factor + (second - mean) * (first - mean)
        self.squares = self.squares * factor + (first - mean) ** 2

    @property
    def value(self) -> float:
        """The share, 0 to 1."""
        return min(max(self.products / self.squares, 0.0), 1.0)
