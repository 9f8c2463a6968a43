"""Bound of a cascade policy that knows the true chances at each moment."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations, product

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import block_diag

from benchmarks.answers import draw_qualities, draw_scores
from benchmarks.workloads import Floats, RatingTerms, Workload
from bergamotwood_core.frontier import MAX_SHORTFALL, THRESHOLDS

# Draws of answers that the expectations are means of.
DRAWS = 4_000


@dataclass(frozen=True, slots=True)
class KnownOption:
    """A cascade with its true expected cost, quality and ratings.

    Parameters
    ----------
    steps : tuple of tuple
        Version index and threshold; the last threshold is not used.
    cost, quality, ratings : float
        Expected for one request.
    """

    steps: tuple[tuple[int, float], ...]
    cost: float
    quality: float
    ratings: float


@dataclass(frozen=True, slots=True)
class KnownMix:
    """Options of each class with the share that takes each."""

    options: tuple[tuple[KnownOption, ...], ...]
    shares: tuple[Floats, ...]
    cost: float


def find_mix(
    workload: Workload,
    chances: Floats,
    terms: RatingTerms,
    rating_seconds: float,
    seed: int,
) -> KnownMix:
    """Find the cheapest mix of cascades that holds the target on average.

    Parameters
    ----------
    workload : Workload
        Classes, versions and target.
    chances : ndarray
        True chances by class and version.
    terms : RatingTerms
        Limit and noise of ratings.
    rating_seconds : float
        Time that one rating takes.
    seed : int
        Seed of the draws.

    Returns
    -------
    KnownMix
        Solution of a linear programme over every option of every class.
    """
    rng = np.random.default_rng(seed)
    options = [
        list(_list_options(workload, index, chances[index], terms, rating_seconds, rng))
        for index in range(len(workload.classes))
    ]
    options = [_drop_poor(listed, workload.target) for listed in options]
    return _solve(workload, options, terms.per_request)


def _drop_poor(options: list[KnownOption], target: float) -> list[KnownOption]:
    kept = [o for o in options if o.quality >= target - MAX_SHORTFALL]
    return kept or [max(options, key=lambda o: o.quality)]


def _list_options(
    workload: Workload,
    index: int,
    chances: Floats,
    terms: RatingTerms,
    rating_seconds: float,
    rng: np.random.Generator,
) -> Iterator[KnownOption]:
    traits = workload.classes[index]
    qualities = draw_qualities(np.tile(chances, (DRAWS, 1)), rng)
    scores = draw_scores(qualities, terms, rng)
    prices = [
        (v.input_price * traits.prompt_tokens + v.output_price * traits.output_tokens)
        * np.exp(0.045)
        / 1_000.0
        for v in workload.versions
    ]
    firsts = [v.first_token_seconds * np.exp(0.045) for v in workload.versions]
    waits = [
        first + v.token_seconds * traits.output_tokens * np.exp(0.045) + rating_seconds
        for first, v in zip(firsts, workload.versions, strict=True)
    ]
    weight = workload.latency_weight
    last = [p + weight * f for p, f in zip(prices, firsts, strict=True)]
    rated = [p + weight * w for p, w in zip(prices, waits, strict=True)]
    count = len(workload.versions)
    for version in range(count):
        quality = float(qualities[:, version].mean())
        yield KnownOption(((version, 0.0),), last[version], quality, 0.0)
    for first, second in combinations(range(count), 2):
        for threshold in THRESHOLDS:
            accepted = scores[:, first] >= threshold
            quality = np.where(accepted, qualities[:, first], qualities[:, second])
            cost = rated[first] + (1.0 - accepted.mean()) * last[second]
            steps = ((first, threshold), (second, 0.0))
            yield KnownOption(steps, float(cost), float(quality.mean()), 1.0)
    for first, second, third in combinations(range(count), 3):
        for one, two in product(THRESHOLDS, THRESHOLDS):
            accepted = scores[:, first] >= one
            other = ~accepted & (scores[:, second] >= two)
            rest = ~accepted & ~other
            quality = (accepted * qualities[:, first]).mean()
            quality += (other * qualities[:, second]).mean()
            quality += (rest * qualities[:, third]).mean()
            refused = 1.0 - accepted.mean()
            cost = rated[first] + refused * rated[second] + rest.mean() * last[third]
            steps = ((first, one), (second, two), (third, 0.0))
            yield KnownOption(steps, float(cost), float(quality), float(1.0 + refused))


def _solve(
    workload: Workload, options: list[list[KnownOption]], ratings: float
) -> KnownMix:
    shares = [traits.share for traits in workload.classes]
    flat = [
        (share, option)
        for share, listed in zip(shares, options, strict=True)
        for option in listed
    ]
    costs = np.array([share * option.cost for share, option in flat])
    qualities = np.array([share * option.quality for share, option in flat])
    rated = np.array([share * option.ratings for share, option in flat])
    sums = block_diag([np.ones((1, len(listed))) for listed in options])
    solved = linprog(
        costs,
        A_ub=np.vstack([-qualities, rated]),
        b_ub=[-workload.target, ratings],
        A_eq=sums,
        b_eq=np.ones(len(options)),
    )
    if not solved.success:
        return _take_best(shares, options)
    ends = np.cumsum([len(listed) for listed in options])[:-1]
    chosen = tuple(np.clip(part, 0.0, None) for part in np.split(solved.x, ends))
    chosen = tuple(part / part.sum() for part in chosen)
    return KnownMix(tuple(tuple(o) for o in options), chosen, float(solved.fun))


def _take_best(shares: list[float], options: list[list[KnownOption]]) -> KnownMix:
    best = [max(listed, key=lambda o: o.quality) for listed in options]
    cost = sum(share * option.cost for share, option in zip(shares, best, strict=True))
    ones = tuple(np.ones(1) for _ in best)
    return KnownMix(tuple((option,) for option in best), ones, cost)
