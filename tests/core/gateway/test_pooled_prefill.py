"""Load: 195 entries, each of which sees one prompt in a while, many of them queued."""

from random import Random

import pytest

from bergamotwood_core.gateway.prefill import (
    BUCKETS_PER_OCTAVE,
    PrefillRate,
    estimate_rates,
    merge_histograms,
)
from bergamotwood_core.ids import ModelName

MODEL = ModelName("small")
SECONDS_PER_TOKEN = 5e-6
TOKENS = 10_000
# Relative width of a bucket.
RESOLUTION = 2.0 ** (1.0 / BUCKETS_PER_OCTAVE)


def observe(rate, rng, prompts):
    for _ in range(prompts):
        is_queued = rng.random() < 0.6
        seconds = SECONDS_PER_TOKEN * TOKENS + (rng.random() * 3.0 if is_queued else 0)
        rate.record(MODEL, TOKENS, seconds)


@pytest.mark.parametrize("prompts", [1, 2, 5])
def test_entries_that_see_few_prompts_know_the_rate_together(prompts):
    rng = Random(1)
    rates = [PrefillRate() for _ in range(195)]
    for rate in rates:
        observe(rate, rng, prompts)
    pooled = estimate_rates(merge_histograms(rate.list_histograms() for rate in rates))
    assert pooled[MODEL] == pytest.approx(SECONDS_PER_TOKEN, rel=RESOLUTION - 1.0)


def test_the_pooled_rate_is_used_also_before_an_own_sample():
    rate = PrefillRate()
    rate.pooled = {MODEL: SECONDS_PER_TOKEN}
    assert rate.estimate(MODEL, TOKENS) == SECONDS_PER_TOKEN * TOKENS
    other = ModelName("large")
    assert rate.estimate(other, TOKENS) == PrefillRate().estimate(other, TOKENS)


def test_histograms_merge_in_any_grouping():
    rng = Random(2)
    reports = []
    for _ in range(9):
        rate = PrefillRate()
        observe(rate, rng, 4)
        reports.append(rate.list_histograms())
    groups = [merge_histograms(reports[at : at + 3]) for at in (0, 3, 6)]
    assert merge_histograms(groups) == merge_histograms(reports)


def test_no_time_or_an_endless_one_is_counted():
    rate = PrefillRate()
    rate.record(MODEL, TOKENS, 0.0)
    rate.record(MODEL, TOKENS, 1e9)
    assert sum(rate.list_histograms()[MODEL].values()) == 2
    assert estimate_rates({MODEL: {}}) == {}
