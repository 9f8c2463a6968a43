"""Allocation of a workspace's requests to cascade options."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from bergamotwood_core.frontier import (
    Option,
    compute_hull,
    compute_slope,
    filter_low_quality,
)

# Price of a rating while the budget suffices, as a fraction of the lowest cost.
MIN_RATING_PRICE_SHARE = 0.02
# Bisection steps of the search for the price of a rating.
PRICE_SEARCH_STEPS = 6


@dataclass(frozen=True, slots=True)
class OptionMix:
    """Two options of one segment; `share` of the requests use the `high` one."""

    low: Option
    high: Option
    share: float = 0.0


def find_mixes(
    options: Sequence[Sequence[Option]],
    weights: Sequence[float],
    target: float,
    ratings_per_request: float,
    allow_excess: bool,
) -> list[OptionMix]:
    """Find the mixes of least cost for a mean quality, within a limit on ratings.

    Bisects a price per rating, in cost units, to find the lowest one at which the
    expected number of ratings stays within the limit.

    Parameters
    ----------
    options : sequence of sequence of Option
        Options of each segment.
    weights : sequence of float
        Share of the requests in each segment.
    target : float
        Target mean quality over all segments.
    ratings_per_request : float
        Limit on the mean number of ratings per request.
    allow_excess : bool
        Whether the limit may be exceeded slightly, because unused ratings have
        accumulated.

    Returns
    -------
    list of OptionMix
        One mix for each segment.
    """
    costs = [option.cost for listed in options for option in listed]
    low, high = MIN_RATING_PRICE_SHARE * min(costs), max(costs)
    over_limit = _allocate_at_price(options, weights, target, low)
    if _count_ratings(over_limit, weights) <= ratings_per_request:
        return over_limit
    within_limit = find_unrated_mixes(options, weights, target)
    for _ in range(PRICE_SEARCH_STEPS):
        price = 0.5 * (low + high)
        mixes = _allocate_at_price(options, weights, target, price)
        if _count_ratings(mixes, weights) <= ratings_per_request:
            high, within_limit = price, mixes
        else:
            low, over_limit = price, mixes
    return over_limit if allow_excess else within_limit


def find_unrated_mixes(
    options: Sequence[Sequence[Option]], weights: Sequence[float], target: float
) -> list[OptionMix]:
    """Find the mixes of least cost among options without ratings."""
    singles = [[o for o in listed if not o.ratings] for listed in options]
    return _allocate_at_price(singles, weights, target, 0.0)


def allocate(
    hulls: Sequence[Sequence[Option]], weights: Sequence[float], target: float
) -> list[OptionMix]:
    """Allocate a mix of options to each segment, at least cost for a mean quality.

    Upgrades along the hulls in the order of their marginal cost of quality until
    the target is reached.

    Parameters
    ----------
    hulls : sequence of sequence of Option
        Hull of each segment.
    weights : sequence of float
        Share of the requests in each segment; they sum to 1.
    target : float
        Target mean quality over all segments.

    Returns
    -------
    list of OptionMix
        One mix for each segment, with the best quality if the target is out of reach.
    """
    mixes = [OptionMix(hull[0], hull[0]) for hull in hulls]
    quality = sum(w * m.low.quality for w, m in zip(weights, mixes, strict=True))
    upgrades = sorted(
        (compute_slope(low, high), index, low, high)
        for index, hull in enumerate(hulls)
        for low, high in _list_neighbours(hull)
    )
    for _, index, low, high in upgrades:
        if quality >= target:
            break
        gain = weights[index] * (high.quality - low.quality)
        share = min(1.0, (target - quality) / gain) if gain > 0.0 else 1.0
        mixes[index] = OptionMix(low, high, share)
        quality += gain * share
    return mixes


def _allocate_at_price(
    options: Sequence[Sequence[Option]],
    weights: Sequence[float],
    target: float,
    rating_price: float,
) -> list[OptionMix]:
    hulls = [
        compute_hull(filter_low_quality(listed, target), rating_price)
        for listed in options
    ]
    return allocate(hulls, weights, target)


def _count_ratings(mixes: Sequence[OptionMix], weights: Sequence[float]) -> float:
    return sum(
        weight * (mix.low.ratings + mix.share * (mix.high.ratings - mix.low.ratings))
        for weight, mix in zip(weights, mixes, strict=True)
    )


def _list_neighbours(hull: Sequence[Option]) -> Iterator[tuple[Option, Option]]:
    return zip(hull, hull[1:], strict=False)
