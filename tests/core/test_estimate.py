from random import Random

import pytest

from bergamotwood_core.estimate import RATING_TIME_CONSTANT, Estimate, SelectionBias


def draw(rng, good):
    return rng.betavariate(18, 2) if rng.random() < good else rng.betavariate(4, 7)


def test_mean_follows_the_ratings_and_its_error_shrinks():
    rng = Random(1)
    estimate = Estimate(0.6)
    before = estimate.standard_error
    scores = [draw(rng, 0.8) for _ in range(200)]
    for score in scores:
        estimate.add(score)
    mean = sum(scores) / len(scores)
    assert estimate.mean == pytest.approx(mean, abs=4 * estimate.standard_error)
    assert estimate.standard_error < before / 3


def test_mean_is_the_prior_without_ratings():
    assert Estimate(0.7).mean == pytest.approx(0.7)


def test_quality_drop_is_detected_within_a_few_ratings():
    rng = Random(2)
    estimate = Estimate(0.6)
    for _ in range(300):
        estimate.add(draw(rng, 0.95))
    for _ in range(15):
        estimate.add(draw(rng, 0.1))
    assert estimate.mean < 0.6


def test_estimate_follows_slow_drift():
    rng = Random(3)
    estimate = Estimate(0.6)
    for index in range(2_000):
        estimate.add(draw(rng, 0.9 - 0.5 * index / 2_000))
    assert estimate.mean < 0.75


def test_weight_is_bounded():
    estimate = Estimate(0.6)
    for _ in range(10_000):
        estimate.add(0.9)
    assert estimate.ratings.weight <= RATING_TIME_CONSTANT


def test_acceptance_matches_the_observed_scores():
    rng = Random(4)
    estimate = Estimate(0.6)
    scores = [draw(rng, 0.7) for _ in range(250)]
    for score in scores:
        estimate.add(score)
    chance, quality = estimate.list_acceptance((0.6,), 0.0)[0]
    accepted = [score for score in scores if score >= 0.6]
    assert chance == pytest.approx(len(accepted) / len(scores), abs=0.08)
    assert quality == pytest.approx(sum(accepted) / len(accepted), abs=0.05)


def test_selection_bias_is_the_score_drop_on_a_second_rating():
    rng = Random(5)
    exact, noisy = SelectionBias(), SelectionBias()
    for _ in range(400):
        score = draw(rng, 0.7)
        if score >= 0.6:
            exact.add(score, score)
            noisy.add(score, max(score - rng.uniform(0.0, 0.4), 0.0))
    assert exact.value == pytest.approx(0.0, abs=0.005)
    assert noisy.value == pytest.approx(0.2, abs=0.04)
