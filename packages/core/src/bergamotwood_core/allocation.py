"""Allocation of a workspace's requests to cascade options."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from bergamotwood_core.frontier import (
    Option,
    compute_hull,
    compute_slope,
    filter_low_quality,
)

# Price of a rating while there are enough, as a share of the least cost.
MIN_RATING_PRICE_SHARE = 0.02
# Steps of the search for the price of a rating.
PRICE_SEARCH_STEPS = 6


@dataclass(frozen=True, slots=True)
class OptionMix:
    """Two options of one class; `share` of the requests take the higher one."""

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
    """Mixes of least cost at a mean quality, within a limit on ratings.

    Parameters
    ----------
    options : sequence of sequence of Option
        Options of each class.
    weights : sequence of float
        Share of the requests in each class.
    target : float
        Wanted mean quality over all classes.
    ratings_per_request : float
        Ratings that may be used for each request.
    allow_excess : bool
        Whether saved ratings allow to go a little over that limit.

    Returns
    -------
    list of Mix
        One for each class.
    """
    costs = [option.cost for listed in options for option in listed]
    low, high = MIN_RATING_PRICE_SHARE * min(costs), max(costs)
    over = _allocate_at_price(options, weights, target, low)
    if _count_ratings(over, weights) <= ratings_per_request:
        return over
    within = find_unrated_mixes(options, weights, target)
    for _ in range(PRICE_SEARCH_STEPS):
        price = 0.5 * (low + high)
        found = _allocate_at_price(options, weights, target, price)
        if _count_ratings(found, weights) <= ratings_per_request:
            high, within = price, found
        else:
            low, over = price, found
    return over if allow_excess else within


def find_unrated_mixes(
    options: Sequence[Sequence[Option]], weights: Sequence[float], target: float
) -> list[OptionMix]:
    """Mixes of least cost that need no ratings."""
    singles = [[o for o in listed if not o.ratings] for listed in options]
    return _allocate_at_price(singles, weights, target, 0.0)


def allocate(
    hulls: Sequence[Sequence[Option]], weights: Sequence[float], target: float
) -> list[OptionMix]:
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
    mixes = [OptionMix(hull[0], hull[0]) for hull in hulls]
    quality = sum(w * m.low.quality for w, m in zip(weights, mixes, strict=True))
    segments = sorted(
        (compute_slope(low, high), index, low, high)
        for index, hull in enumerate(hulls)
        for low, high in _list_neighbours(hull)
    )
    for _, index, low, high in segments:
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
