"""Estimates of quality from ratings, with uncertainty and forgetting."""

from collections import deque
from dataclasses import dataclass, field
from math import sqrt

SCORE_BINS = 20
# Ratings that the long-run estimate remembers, as a forgetting time constant.
MEMORY_RATINGS = 300.0
# Newest ratings that are compared with the long-run estimate.
RECENT_RATINGS = 12
# Standard errors between the newest ratings and the long run that mean a change.
CHANGE_LIMIT = 3.5
# Spread assumed while too few ratings are known.
PRIOR_SPREAD = 0.3
# Ratings that the prior spread counts as.
PRIOR_RATINGS = 2.0


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

    def add(self, score: float) -> None:
        """Count one score."""
        index = find_bin(score)
        self.weights[index] += 1.0
        self.totals[index] += score

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
        """Mean score; 0 without scores."""
        weight = self.weight
        return sum(self.totals) / weight if weight else 0.0

    @property
    def variance(self) -> float:
        """Variance of one score, shrunk to the prior spread."""
        mean = self.mean
        squares = sum(
            total * total / weight
            for weight, total in zip(self.weights, self.totals, strict=True)
            if weight
        )
        spread = max(squares - self.weight * mean * mean, 0.0)
        prior = PRIOR_RATINGS * PRIOR_SPREAD**2
        return (spread + prior) / (self.weight + PRIOR_RATINGS)

    def count_above(self, threshold: float) -> tuple[float, float]:
        """Weight and sum of the scores in bins at or above a threshold."""
        first = round(threshold * SCORE_BINS)
        return sum(self.weights[first:]), sum(self.totals[first:])


@dataclass(slots=True)
class Estimate:
    """Quality of one version for one kind of request.

    Parameters
    ----------
    prior_mean : float
        Quality believed before any rating.
    prior_weight : float
        Ratings that the belief counts as.
    histogram : ScoreHistogram
        Ratings, with forgetting.
    recent : deque of float
        Newest ratings, to notice a change.
    """

    prior_mean: float
    prior_weight: float = PRIOR_RATINGS
    histogram: ScoreHistogram = field(default_factory=ScoreHistogram)
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT_RATINGS))

    def add(self, score: float) -> None:
        """Take one rating in; forget the past when quality has changed."""
        self.histogram.discount(1.0 - 1.0 / MEMORY_RATINGS)
        self.histogram.add(score)
        self.recent.append(score)
        if self._has_changed():
            self._restart()

    @property
    def weight(self) -> float:
        """Discounted number of ratings."""
        return self.histogram.weight

    @property
    def mean(self) -> float:
        """Mean quality, shrunk to the prior."""
        weight = self.weight + self.prior_weight
        total = sum(self.histogram.totals) + self.prior_mean * self.prior_weight
        return total / weight

    @property
    def standard_error(self) -> float:
        """Standard error of `mean`."""
        return sqrt(self.histogram.variance / (self.weight + self.prior_weight))

    def accept(self, threshold: float, reliability: float) -> tuple[float, float]:
        """Chance that a score reaches a threshold, and true quality given that.

        Parameters
        ----------
        threshold : float
            Least accepted score.
        reliability : float
            Share of the scores' variance that is true quality, 0 to 1.

        Returns
        -------
        tuple of float
            Chance of acceptance and mean quality of what is accepted.
        """
        weight, total = self.histogram.count_above(threshold)
        mean = self.mean
        prior = self.prior_weight * mean
        chance = (weight + prior) / (self.weight + self.prior_weight)
        above = (total + prior * max(threshold, mean)) / (weight + prior + 1e-9)
        return chance, mean + reliability * (above - mean)

    def _has_changed(self) -> bool:
        count = len(self.recent)
        older = self.weight - count
        if count < RECENT_RATINGS or older < count:
            return False
        newest = sum(self.recent)
        past = (sum(self.histogram.totals) - newest) / older
        error = sqrt(self.histogram.variance * (1.0 / count + 1.0 / older))
        return abs(newest / count - past) > CHANGE_LIMIT * error

    def _restart(self) -> None:
        self.histogram = ScoreHistogram()
        for score in self.recent:
            self.histogram.add(score)
