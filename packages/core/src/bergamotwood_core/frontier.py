"""Cascade options of least cost for each quality, and their allocation."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from itertools import combinations

from bergamotwood_core.estimate import Estimate
from bergamotwood_core.ids import VersionId

# Rated steps that one option may hold before its last step.
MAX_RATED_STEPS = 2
THRESHOLDS = (0.45, 0.55, 0.65, 0.75)
# Expected quality below the target that no request is given, whatever the mean.
MAX_SHORTFALL = 0.2


@dataclass(frozen=True, slots=True)
class Step:
    """One version to try.

    Parameters
    ----------
    version : VersionId
        What runs.
    rate : bool
        Whether its answer is rated before it is returned.
    threshold : float
        Least score with which a rated answer is accepted.
    """

    version: VersionId
    rate: bool = False
    threshold: float = 0.0


@dataclass(frozen=True, slots=True)
class Prospect:
    """What one version is expected to do with one kind of request.

    Parameters
    ----------
    version : VersionId
        The version.
    cost : float
        Cost units of one answer.
    first_token_seconds, total_seconds : float
        Time to the first token and to the end of the answer.
    fresh, escalated : Estimate
        Quality on all requests, and on those that another version failed.
    """

    version: VersionId
    cost: float
    first_token_seconds: float
    total_seconds: float
    fresh: Estimate
    escalated: Estimate


@dataclass(frozen=True, slots=True)
class Terms:
    """What the options of one workspace are weighed by.

    Parameters
    ----------
    latency_weight : float
        Cost units that one second to the first token is worth.
    rating_seconds : float
        Time that one rating takes.
    reliability : float
        Share of the variance of scores that is true quality.
    caution : float
        Standard errors that unrated quality is lowered by.
    """

    latency_weight: float
    rating_seconds: float
    reliability: float
    caution: float


@dataclass(frozen=True, slots=True)
class Option:
    """A sequence of steps and what it is expected to give for one request."""

    steps: tuple[Step, ...]
    cost: float
    quality: float
    ratings: float = 0.0


@dataclass(frozen=True, slots=True)
class Mix:
    """Two options of one class; `share` of the requests take the higher one."""

    low: Option
    high: Option
    share: float = 0.0


def list_options(prospects: Sequence[Prospect], terms: Terms) -> list[Option]:
    """Every single version and every short rated cascade, in the given order."""
    options = [_weigh_last(prospect, terms, escalated=False) for prospect in prospects]
    for count in range(2, min(MAX_RATED_STEPS + 1, len(prospects)) + 1):
        for chosen in combinations(prospects, count):
            options += _list_rated(chosen, terms)
    return options


def _list_rated(chosen: Sequence[Prospect], terms: Terms) -> Iterator[Option]:
    for threshold in THRESHOLDS:
        option = _weigh_last(chosen[-1], terms, escalated=True)
        for index in range(len(chosen) - 2, -1, -1):
            option = _put_before(chosen[index], option, threshold, terms, index > 0)
        yield option


def _weigh_last(prospect: Prospect, terms: Terms, escalated: bool) -> Option:
    estimate = prospect.escalated if escalated else prospect.fresh
    quality = estimate.mean - terms.caution * estimate.standard_error
    cost = prospect.cost + terms.latency_weight * prospect.first_token_seconds
    return Option((Step(prospect.version),), cost, max(quality, 0.0))


def _put_before(
    prospect: Prospect, rest: Option, threshold: float, terms: Terms, escalated: bool
) -> Option:
    estimate = prospect.escalated if escalated else prospect.fresh
    chance, quality = estimate.accept(threshold, terms.reliability)
    wait = prospect.total_seconds + terms.rating_seconds
    cost = prospect.cost + terms.latency_weight * wait
    return Option(
        steps=(Step(prospect.version, True, threshold), *rest.steps),
        cost=cost + (1.0 - chance) * rest.cost,
        quality=chance * quality + (1.0 - chance) * rest.quality,
        ratings=1.0 + (1.0 - chance) * rest.ratings,
    )


def drop_poor(options: Sequence[Option], target: float) -> list[Option]:
    """Leave out options far below the target; keep the best one at least."""
    kept = [o for o in options if o.quality >= target - MAX_SHORTFALL]
    return kept or [max(options, key=lambda o: o.quality)]


def trace_hull(options: Sequence[Option], rating_price: float = 0.0) -> list[Option]:
    """Options on the lower convex hull of cost over quality, cheapest first.

    Parameters
    ----------
    options : sequence of Option
        At least one.
    rating_price : float
        Cost units that one rating counts as, when ratings are short.

    Returns
    -------
    list of Option
        Rising in cost and quality, with rising cost for each gain of quality.
    """
    priced = [replace(o, cost=o.cost + rating_price * o.ratings) for o in options]
    hull: list[Option] = []
    for option in sorted(priced, key=lambda o: (o.cost, -o.quality)):
        if hull and option.quality <= hull[-1].quality:
            continue
        while len(hull) > 1 and _find_slope(hull[-2], hull[-1]) >= _find_slope(
            hull[-1], option
        ):
            hull.pop()
        hull.append(option)
    return hull


def allocate(
    hulls: Sequence[Sequence[Option]], weights: Sequence[float], target: float
) -> list[Mix]:
    """Mix of options for each class, of least cost at a mean quality.

    Parameters
    ----------
    hulls : sequence of sequence of Option
        One hull for each class.
    weights : sequence of float
        Share of the requests in each class; they sum to 1.
    target : float
        Wanted mean quality over all classes.

    Returns
    -------
    list of Mix
        One for each class; the best quality there is if the target is too high.
    """
    mixes = [Mix(hull[0], hull[0]) for hull in hulls]
    quality = sum(w * m.low.quality for w, m in zip(weights, mixes, strict=True))
    segments = sorted(
        (_find_slope(low, high), index, low, high)
        for index, hull in enumerate(hulls)
        for low, high in _list_pairs(hull)
    )
    for _, index, low, high in segments:
        if quality >= target:
            break
        gain = weights[index] * (high.quality - low.quality)
        share = min(1.0, (target - quality) / gain) if gain > 0.0 else 1.0
        mixes[index] = Mix(low, high, share)
        quality += gain * share
    return mixes


def _list_pairs(hull: Sequence[Option]) -> Iterator[tuple[Option, Option]]:
    return zip(hull, hull[1:], strict=False)


def _find_slope(low: Option, high: Option) -> float:
    return (high.cost - low.cost) / (high.quality - low.quality)
