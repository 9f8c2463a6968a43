"""Simulated answers of the versions and scores of the rating service."""

from dataclasses import dataclass

import numpy as np
from scipy.special import ndtri

from benchmarks.workloads import (
    GOOD_PRECISION,
    GOOD_QUALITY,
    POOR_PRECISION,
    POOR_QUALITY,
    SHARED_DIFFICULTY,
    Drift,
    Floats,
    RatingSettings,
    Workload,
    draw_probabilities,
)

# Standard deviation of the logarithm of token counts and of times.
LOGNORMAL_SIGMA = 0.3


@dataclass(frozen=True, slots=True)
class Answers:
    """Simulated answer of every version to every request of a run.

    Parameters
    ----------
    classes : ndarray
        Class index of each request.
    times : ndarray
        Arrival times in seconds.
    prompts : ndarray
        Prompt tokens.
    outputs, qualities, first_scores, second_scores : ndarray
        Output tokens, true quality, and two independent scores by request and version.
    first_tokens, totals : ndarray
        Seconds to the first token and to the end, by request and version.
    costs : ndarray
        Cost units by request and version.
    probabilities : ndarray
        True probability of a good answer by request, class and version.
    """

    classes: np.ndarray
    times: Floats
    prompts: Floats
    outputs: Floats
    qualities: Floats
    first_scores: Floats
    second_scores: Floats
    first_tokens: Floats
    totals: Floats
    costs: Floats
    probabilities: Floats


def draw_qualities(probabilities: Floats, rng: np.random.Generator) -> Floats:
    """Draw the true quality of one answer for each request and version.

    The qualities for one request are correlated, as all versions share a part of its
    difficulty.
    """
    shared = rng.standard_normal((probabilities.shape[0], 1)) * np.sqrt(
        SHARED_DIFFICULTY
    )
    own = rng.standard_normal(probabilities.shape) * np.sqrt(1.0 - SHARED_DIFFICULTY)
    good = shared + own < ndtri(probabilities)
    means = np.where(good, GOOD_QUALITY, POOR_QUALITY)
    precision = np.where(good, GOOD_PRECISION, POOR_PRECISION)
    return rng.beta(means * precision, (1.0 - means) * precision)


def draw_scores(
    qualities: Floats, rating_settings: RatingSettings, rng: np.random.Generator
) -> Floats:
    """Draw a score for each answer; its mean is the true quality."""
    bounded = np.clip(qualities, 1e-3, 1.0 - 1e-3)
    return rng.beta(
        bounded * rating_settings.precision, (1.0 - bounded) * rating_settings.precision
    )


def draw_answers(
    workload: Workload,
    drift: Drift,
    rating_settings: RatingSettings,
    count: int,
    seed: int,
) -> Answers:
    """Draw the answers, scores, times and costs of a whole run."""
    rng = np.random.default_rng(seed)
    shares = [traits.share for traits in workload.classes]
    classes = rng.choice(len(shares), size=count, p=shares)
    probabilities = draw_probabilities(workload, drift, count, rng)
    qualities = draw_qualities(probabilities[np.arange(count), classes], rng)
    shape = qualities.shape
    prompt_medians = np.array([traits.prompt_tokens for traits in workload.classes])
    prompts = np.round(
        prompt_medians[classes] * rng.lognormal(0.0, LOGNORMAL_SIGMA, count)
    )
    output_medians = np.array([traits.output_tokens for traits in workload.classes])
    outputs = output_medians[classes][:, None] * rng.lognormal(
        0.0, LOGNORMAL_SIGMA, shape
    )
    outputs = np.round(outputs)
    first_token_medians = np.array([v.first_token_seconds for v in workload.versions])
    token_seconds = np.array([v.token_seconds for v in workload.versions])
    first_tokens = first_token_medians[None, :] * rng.lognormal(
        0.0, LOGNORMAL_SIGMA, shape
    )
    input_prices = np.array([v.input_price for v in workload.versions])
    output_prices = np.array([v.output_price for v in workload.versions])
    return Answers(
        classes=classes,
        times=np.cumsum(rng.exponential(1.0 / workload.requests_per_second, count)),
        prompts=prompts,
        outputs=outputs,
        qualities=qualities,
        first_scores=draw_scores(qualities, rating_settings, rng),
        second_scores=draw_scores(qualities, rating_settings, rng),
        first_tokens=first_tokens,
        totals=first_tokens + outputs * token_seconds[None, :],
        costs=(prompts[:, None] * input_prices + outputs * output_prices) / 1_000.0,
        probabilities=probabilities,
    )
