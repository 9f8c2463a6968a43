"""Lower bound on cost: a cascade policy that knows the true probabilities."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations, product

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import block_diag

from benchmarks.answers import draw_qualities, draw_scores
from benchmarks.workloads import Floats, RatingSettings, Workload
from bergamotwood_core.frontier import MAX_SHORTFALL, THRESHOLDS

# Simulated answers over which the expectations are averaged.
DRAWS = 4_000


@dataclass(frozen=True, slots=True)
class CascadeOption:
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
class CascadeMix:
    """Options of each class, and the share of its requests that takes each option."""

    options: tuple[tuple[CascadeOption, ...], ...]
    shares: tuple[Floats, ...]
    cost: float


def find_optimal_mix(
    workload: Workload,
    probabilities: Floats,
    rating_settings: RatingSettings,
    rating_seconds: float,
    seed: int,
) -> CascadeMix:
    """Find the cheapest mix of cascades that meets the quality target on average.

    Parameters
    ----------
    workload : Workload
        Classes, versions and target.
    probabilities : ndarray
        True probabilities of a good answer by class and version.
    rating_settings : RatingSettings
        Limit and noise of the ratings.
    rating_seconds : float
        Time that one rating takes.
    seed : int
        Seed of the random draws.

    Returns
    -------
    CascadeMix
        Solution of a linear programme over all options of all classes; if it has
        none, the option with the highest quality of each class.
    """
    rng = np.random.default_rng(seed)
    options = [
        list(
            _list_options(
                workload,
                index,
                probabilities[index],
                rating_settings,
                rating_seconds,
                rng,
            )
        )
        for index in range(len(workload.classes))
    ]
    options = [
        _drop_low_quality(class_options, workload.target) for class_options in options
    ]
    return _solve(workload, options, rating_settings.per_request)


def _drop_low_quality(
    options: list[CascadeOption], target: float
) -> list[CascadeOption]:
    kept = [o for o in options if o.quality >= target - MAX_SHORTFALL]
    return kept or [max(options, key=lambda o: o.quality)]


def _list_options(
    workload: Workload,
    index: int,
    probabilities: Floats,
    rating_settings: RatingSettings,
    rating_seconds: float,
    rng: np.random.Generator,
) -> Iterator[CascadeOption]:
    traits = workload.classes[index]
    qualities = draw_qualities(np.tile(probabilities, (DRAWS, 1)), rng)
    scores = draw_scores(qualities, rating_settings, rng)
    # exp(0.045) is the mean of the lognormal factors on tokens and times, whose
    # LOGNORMAL_SIGMA is 0.3.
    prices = [
        (v.input_price * traits.prompt_tokens + v.output_price * traits.output_tokens)
        * np.exp(0.045)
        / 1_000.0
        for v in workload.versions
    ]
    first_token_seconds = [
        v.first_token_seconds * np.exp(0.045) for v in workload.versions
    ]
    rated_waits = [
        first + v.token_seconds * traits.output_tokens * np.exp(0.045) + rating_seconds
        for first, v in zip(first_token_seconds, workload.versions, strict=True)
    ]
    weight = workload.latency_weight
    final_costs = [
        p + weight * f for p, f in zip(prices, first_token_seconds, strict=True)
    ]
    rated_costs = [p + weight * w for p, w in zip(prices, rated_waits, strict=True)]
    count = len(workload.versions)
    for version in range(count):
        quality = float(qualities[:, version].mean())
        yield CascadeOption(((version, 0.0),), final_costs[version], quality, 0.0)
    for first, second in combinations(range(count), 2):
        for threshold in THRESHOLDS:
            accepted = scores[:, first] >= threshold
            quality = np.where(accepted, qualities[:, first], qualities[:, second])
            cost = rated_costs[first] + (1.0 - accepted.mean()) * final_costs[second]
            steps = ((first, threshold), (second, 0.0))
            yield CascadeOption(steps, float(cost), float(quality.mean()), 1.0)
    for first, second, third in combinations(range(count), 3):
        for first_threshold, second_threshold in product(THRESHOLDS, THRESHOLDS):
            accepted = scores[:, first] >= first_threshold
            accepted_second = ~accepted & (scores[:, second] >= second_threshold)
            escalated_twice = ~accepted & ~accepted_second
            quality = (accepted * qualities[:, first]).mean()
            quality += (accepted_second * qualities[:, second]).mean()
            quality += (escalated_twice * qualities[:, third]).mean()
            escalated = 1.0 - accepted.mean()
            cost = (
                rated_costs[first]
                + escalated * rated_costs[second]
                + escalated_twice.mean() * final_costs[third]
            )
            steps = ((first, first_threshold), (second, second_threshold), (third, 0.0))
            yield CascadeOption(
                steps, float(cost), float(quality), float(1.0 + escalated)
            )


def _solve(
    workload: Workload, options: list[list[CascadeOption]], ratings: float
) -> CascadeMix:
    shares = [traits.share for traits in workload.classes]
    flat = [
        (share, option)
        for share, class_options in zip(shares, options, strict=True)
        for option in class_options
    ]
    costs = np.array([share * option.cost for share, option in flat])
    qualities = np.array([share * option.quality for share, option in flat])
    rating_counts = np.array([share * option.ratings for share, option in flat])
    share_sums = block_diag(
        [np.ones((1, len(class_options))) for class_options in options]
    )
    solved = linprog(
        costs,
        A_ub=np.vstack([-qualities, rating_counts]),
        b_ub=[-workload.target, ratings],
        A_eq=share_sums,
        b_eq=np.ones(len(options)),
    )
    if not solved.success:
        return _choose_best_quality(shares, options)
    splits = np.cumsum([len(class_options) for class_options in options])[:-1]
    class_shares = tuple(
        np.clip(part, 0.0, None) for part in np.split(solved.x, splits)
    )
    class_shares = tuple(part / part.sum() for part in class_shares)
    return CascadeMix(tuple(tuple(o) for o in options), class_shares, float(solved.fun))


def _choose_best_quality(
    shares: list[float], options: list[list[CascadeOption]]
) -> CascadeMix:
    best = [max(class_options, key=lambda o: o.quality) for class_options in options]
    cost = sum(share * option.cost for share, option in zip(shares, best, strict=True))
    full_shares = tuple(np.ones(1) for _ in best)
    return CascadeMix(tuple((option,) for option in best), full_shares, cost)
