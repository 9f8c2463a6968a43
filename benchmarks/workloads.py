"""Workloads of both users' fleets: classes, versions and quality drift."""

from dataclasses import dataclass, replace
from enum import StrEnum

import numpy as np
from numpy.typing import NDArray

Floats = NDArray[np.float64]


class Drift(StrEnum):
    """How the versions' probabilities of a good answer change during a run."""

    STEADY = "steady"
    DRIFT = "drift"
    TURN_BAD = "turn-bad"


class Ratings(StrEnum):
    """Scenarios of the number, delay and noise of the ratings."""

    ENOUGH = "enough"
    ONE = "one"
    LIMITED = "limited"
    SCARCE = "scarce"
    DELAYED = "delayed"
    NOISY = "noisy"


@dataclass(frozen=True, slots=True)
class RatingSettings:
    """Limit, delay and noise of the rating service.

    Parameters
    ----------
    per_request : float
        Maximum number of ratings per request, on average.
    delay_seconds : float
        Time until the score of a sampled answer is available.
    precision : float
        Sum of the parameters of a score's beta distribution, whose mean is the true
        quality; higher is less noisy.
    """

    per_request: float
    delay_seconds: float
    precision: float


RATING_SETTINGS = {
    Ratings.ENOUGH: RatingSettings(2.0, 5.0, 8.0),
    Ratings.ONE: RatingSettings(1.0, 5.0, 8.0),
    Ratings.LIMITED: RatingSettings(0.2, 5.0, 8.0),
    Ratings.SCARCE: RatingSettings(0.05, 5.0, 8.0),
    Ratings.DELAYED: RatingSettings(2.0, 120.0, 8.0),
    Ratings.NOISY: RatingSettings(2.0, 5.0, 3.0),
}


@dataclass(frozen=True, slots=True)
class VersionTraits:
    """Prices per 1,000 tokens and speed of a version."""

    name: str
    input_price: float
    output_price: float
    first_token_seconds: float
    token_seconds: float


@dataclass(frozen=True, slots=True)
class ClassTraits:
    """A class of requests, and each version's probability of a good answer."""

    name: str
    share: float
    prompt_tokens: int
    output_tokens: int
    probabilities: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Workload:
    """Requests of one workspace and the versions that answer them.

    Parameters
    ----------
    name : str
        Fleet and number of versions.
    versions, classes : tuple
        Versions that answer, and classes of requests.
    target : float
        Target of the mean quality.
    latency_weight : float
        Cost units per second until the first token.
    requests_per_second : float
        Mean arrival rate.
    """

    name: str
    versions: tuple[VersionTraits, ...]
    classes: tuple[ClassTraits, ...]
    target: float
    latency_weight: float
    requests_per_second: float = 4.0


TINY = VersionTraits("tiny", 0.05, 0.15, 0.10, 0.006)
SMALL = VersionTraits("small", 0.15, 0.45, 0.15, 0.010)
MIDDLE = VersionTraits("middle", 0.50, 1.50, 0.25, 0.016)
LARGE = VersionTraits("large", 1.50, 4.50, 0.40, 0.025)
HUGE = VersionTraits("huge", 4.00, 12.00, 0.70, 0.040)
GIANT = VersionTraits("giant", 8.00, 24.00, 1.00, 0.055)

KUBWA_THREE = Workload(
    "kubwa-3",
    (SMALL, MIDDLE, HUGE),
    (
        ClassTraits("chapters", 0.2, 9_000, 900, (0.45, 0.80, 0.97)),
        ClassTraits("letters", 0.35, 1_500, 350, (0.72, 0.88, 0.97)),
        ClassTraits("notes", 0.45, 250, 200, (0.93, 0.96, 0.98)),
    ),
    target=0.85,
    latency_weight=0.002,
)
KUBWA_FIVE = Workload(
    "kubwa-5",
    (TINY, SMALL, MIDDLE, LARGE, HUGE),
    (
        ClassTraits("chapters", 0.2, 9_000, 900, (0.20, 0.45, 0.75, 0.92, 0.97)),
        ClassTraits("letters", 0.35, 1_500, 350, (0.50, 0.72, 0.88, 0.95, 0.97)),
        ClassTraits("notes", 0.45, 250, 200, (0.84, 0.93, 0.96, 0.97, 0.98)),
    ),
    target=0.85,
    latency_weight=0.002,
)
COLOFN_FOUR = Workload(
    "colofn-4",
    (SMALL, MIDDLE, LARGE, HUGE),
    (
        ClassTraits("catalogue", 0.3, 3_500, 1_200, (0.55, 0.82, 0.93, 0.96)),
        ClassTraits("rights", 0.15, 12_000, 500, (0.35, 0.70, 0.90, 0.96)),
        ClassTraits("availability", 0.55, 180, 60, (0.94, 0.96, 0.97, 0.98)),
    ),
    target=0.84,
    latency_weight=0.2,
)
COLOFN_SIX = Workload(
    "colofn-6",
    (TINY, SMALL, MIDDLE, LARGE, HUGE, GIANT),
    (
        ClassTraits(
            "catalogue", 0.3, 3_500, 1_200, (0.3, 0.55, 0.82, 0.93, 0.96, 0.98)
        ),
        ClassTraits("rights", 0.15, 12_000, 500, (0.15, 0.35, 0.70, 0.90, 0.96, 0.98)),
        ClassTraits(
            "availability", 0.55, 180, 60, (0.85, 0.94, 0.96, 0.97, 0.98, 0.98)
        ),
    ),
    target=0.84,
    latency_weight=0.2,
)
WORKLOADS = {w.name: w for w in (KUBWA_THREE, KUBWA_FIVE, COLOFN_FOUR, COLOFN_SIX)}

# Means of the quality of good and of poor answers, and the precisions (sums of the
# parameters) of their beta distributions.
GOOD_QUALITY = 0.93
POOR_QUALITY = 0.35
GOOD_PRECISION = 40.0
POOR_PRECISION = 10.0
# Share of the variance in a request's difficulty that is common to all versions.
SHARED_DIFFICULTY = 0.3
# Amplitude of the sine that is added to the logits of the probabilities in a drifting
# run, and its number of periods in the run.
DRIFT_LOGIT_AMPLITUDE = 0.8
DRIFT_CYCLES = 2.0
# Fractions of a run between which one version, never the last, is bad, and the factor
# on its probabilities meanwhile.
BAD_START = 0.4
BAD_END = 0.7
BAD_FACTOR = 0.4


def draw_probabilities(
    workload: Workload, drift: Drift, count: int, rng: np.random.Generator
) -> Floats:
    """Draw the probabilities of good answers by request, class and version."""
    base = np.array([traits.probabilities for traits in workload.classes])
    probabilities = np.broadcast_to(base, (count, *base.shape)).copy()
    times = np.arange(count) / count
    match drift:
        case Drift.DRIFT:
            phases = rng.uniform(0.0, 2.0 * np.pi, base.shape)
            angles = 2.0 * np.pi * DRIFT_CYCLES * times[:, None, None] + phases
            logits = np.log(
                probabilities / (1.0 - probabilities)
            ) + DRIFT_LOGIT_AMPLITUDE * np.sin(angles)
            probabilities = 1.0 / (1.0 + np.exp(-logits))
        case Drift.TURN_BAD:
            bad = (times >= BAD_START) & (times < BAD_END)
            version = rng.integers(0, base.shape[1] - 1)
            probabilities[bad, :, version] *= BAD_FACTOR
        case Drift.STEADY:
            pass
    return probabilities


def change_workload(workload: Workload, **changes: float) -> Workload:
    """Copy a workload with some traits changed."""
    return replace(workload, **changes)
