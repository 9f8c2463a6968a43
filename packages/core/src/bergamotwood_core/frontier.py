"""Cascade options and the lower convex hull of their cost over quality."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import combinations
from math import sqrt

from bergamotwood_core.estimate import Estimate
from bergamotwood_core.ids import VersionId

# Candidate thresholds for the score at which a rated answer is accepted.
THRESHOLDS = (0.5, 0.6, 0.7, 0.8)
# Options whose expected quality is further below the target are never used, even
# if the mean over all requests would reach the target.
MAX_SHORTFALL = 0.15


@dataclass(frozen=True, slots=True)
class Step:
    """Execution of one version in a cascade.

    Parameters
    ----------
    version : VersionId
        Version to run.
    rate : bool
        Whether the answer is rated before it is returned.
    threshold : float
        Minimum score at which a rated answer is accepted.
    """

    version: VersionId
    rate: bool = False
    threshold: float = 0.0


@dataclass(frozen=True, slots=True)
class VersionForecast:
    """Expected cost, latency and quality of one version on a class of requests.

    Parameters
    ----------
    version : VersionId
        The version.
    cost : float
        Cost of one answer, in cost units.
    first_token_seconds, total_seconds : float
        Expected time to the first token and to the end of the answer.
    direct, escalated : Estimate
        Quality on all requests, and on those where the answer of another version
        was rejected.
    """

    version: VersionId
    cost: float
    first_token_seconds: float
    total_seconds: float
    direct: Estimate
    escalated: Estimate


@dataclass(frozen=True, slots=True)
class OptionParameters:
    """Parameters for the evaluation of the options of one workspace.

    Parameters
    ----------
    latency_weight : float
        Cost units that one second of time to first token is worth.
    rating_seconds : float
        Duration of one rating.
    selection_bias : float
        Mean excess of accepted scores over true quality.
    uncertainty_penalty : float
        Standard errors subtracted from quality estimates; a negative value adds
        them.
    """

    latency_weight: float
    rating_seconds: float
    selection_bias: float
    uncertainty_penalty: float


@dataclass(frozen=True, slots=True)
class Option:
    """A cascade with its expected cost, quality and ratings per request."""

    steps: tuple[Step, ...]
    cost: float
    quality: float
    ratings: float = 0.0


@dataclass(frozen=True, slots=True)
class _EvaluatedVersion:
    """Cost and quality of one version as the first, an inner or the last step."""

    version: VersionId
    last_cost: float
    rated_cost: float
    direct_quality: float
    escalated_quality: float
    direct_acceptance: list[tuple[float, float]]
    escalated_acceptance: list[tuple[float, float]]


def list_options(
    forecasts: Sequence[VersionForecast], parameters: OptionParameters
) -> list[Option]:
    """List single versions and rated cascades of two or three, in the given order."""
    evaluated = [_evaluate_version(forecast, parameters) for forecast in forecasts]
    options = [
        Option((Step(item.version),), item.last_cost, item.direct_quality)
        for item in evaluated
    ]
    for first, last in combinations(evaluated, 2):
        options += _list_pairs(first, last)
    for first, second, last in combinations(evaluated, 3):
        options += _list_triples(first, second, last)
    return options


def bound_quality(estimate: Estimate, uncertainty_penalty: float) -> float:
    """Compute mean quality minus a multiple of its standard error, within 0 to 1."""
    quality = estimate.mean - uncertainty_penalty * estimate.standard_error
    return min(max(quality, 0.0), 1.0)


def _evaluate_version(
    forecast: VersionForecast, parameters: OptionParameters
) -> _EvaluatedVersion:
    wait = forecast.total_seconds + parameters.rating_seconds
    direct, escalated = forecast.direct, forecast.escalated
    return _EvaluatedVersion(
        version=forecast.version,
        last_cost=forecast.cost
        + parameters.latency_weight * forecast.first_token_seconds,
        rated_cost=forecast.cost + parameters.latency_weight * wait,
        direct_quality=bound_quality(direct, parameters.uncertainty_penalty),
        escalated_quality=bound_quality(escalated, parameters.uncertainty_penalty),
        direct_acceptance=_list_acceptance(direct, parameters),
        escalated_acceptance=_list_acceptance(escalated, parameters),
    )


def _list_acceptance(
    estimate: Estimate, parameters: OptionParameters
) -> list[tuple[float, float]]:
    acceptance = estimate.list_acceptance(THRESHOLDS, parameters.selection_bias)
    if parameters.uncertainty_penalty >= 0.0:
        loss = parameters.uncertainty_penalty * estimate.standard_error
        return [(chance, quality - loss) for chance, quality in acceptance]
    bonus = -parameters.uncertainty_penalty / sqrt(estimate.weight)
    return [
        (min(chance + bonus * sqrt(chance * (1.0 - chance)), 1.0), quality)
        for chance, quality in acceptance
    ]


def _list_pairs(first: _EvaluatedVersion, last: _EvaluatedVersion) -> Iterator[Option]:
    for threshold, (chance, quality) in zip(
        THRESHOLDS, first.direct_acceptance, strict=True
    ):
        rejected = 1.0 - chance
        yield Option(
            steps=(Step(first.version, True, threshold), Step(last.version)),
            cost=first.rated_cost + rejected * last.last_cost,
            quality=chance * quality + rejected * last.escalated_quality,
            ratings=1.0,
        )


def _list_triples(
    first: _EvaluatedVersion, second: _EvaluatedVersion, last: _EvaluatedVersion
) -> Iterator[Option]:
    for index, threshold in enumerate(THRESHOLDS):
        chance, quality = first.direct_acceptance[index]
        next_chance, next_quality = second.escalated_acceptance[index]
        rejected = 1.0 - chance
        rejected_again = 1.0 - next_chance
        escalated_quality = (
            next_chance * next_quality + rejected_again * last.escalated_quality
        )
        steps = (
            Step(first.version, True, threshold),
            Step(second.version, True, threshold),
            Step(last.version),
        )
        yield Option(
            steps=steps,
            cost=first.rated_cost
            + rejected * (second.rated_cost + rejected_again * last.last_cost),
            quality=chance * quality + rejected * escalated_quality,
            ratings=1.0 + rejected,
        )


def filter_low_quality(options: Sequence[Option], target: float) -> list[Option]:
    """Drop options far below the target quality; keep at least the best one."""
    kept = [o for o in options if o.quality >= target - MAX_SHORTFALL]
    return kept or [max(options, key=lambda o: o.quality)]


def compute_hull(options: Sequence[Option], rating_price: float = 0.0) -> list[Option]:
    """Compute the lower convex hull of cost over quality, cheapest option first.

    Parameters
    ----------
    options : sequence of Option
        Options, at least one.
    rating_price : float
        Cost units added per rating, to limit the use of scarce ratings.

    Returns
    -------
    list of Option
        Options with increasing cost, quality and marginal cost of quality.
    """
    if rating_price:
        options = [_add_rating_cost(option, rating_price) for option in options]
    hull: list[Option] = []
    for option in sorted(options, key=_sort_key):
        if hull and option.quality <= hull[-1].quality:
            continue
        while len(hull) > 1 and _is_above(hull[-2], hull[-1], option):
            hull.pop()
        hull.append(option)
    return hull


def _add_rating_cost(option: Option, price: float) -> Option:
    cost = option.cost + price * option.ratings
    return Option(option.steps, cost, option.quality, option.ratings)


def _sort_key(option: Option) -> tuple[float, float]:
    return option.cost, -option.quality


def _is_above(low: Option, middle: Option, high: Option) -> bool:
    return compute_slope(low, middle) >= compute_slope(middle, high)


def compute_slope(low: Option, high: Option) -> float:
    """Compute the marginal cost of quality between two options."""
    return (high.cost - low.cost) / (high.quality - low.quality)
