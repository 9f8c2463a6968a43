from random import Random

from bergamotwood_core.retry import HedgeBudget, RetryBudget, compute_backoff


def test_an_outage_adds_at_most_a_tenth_of_the_offered_attempts():
    budget = RetryBudget()
    retries = 0
    for offered in range(1, 5_001):
        budget.record_offered()
        while budget.try_spend():
            retries += 1
        assert retries <= 0.1 * offered + 1e-6
    assert retries >= 499


def test_saved_up_retries_are_bounded():
    budget = RetryBudget(max_tokens=5)
    for _ in range(1_000):
        budget.record_offered()
    assert sum(budget.try_spend() for _ in range(100)) == 5


def test_hedges_leave_half_the_budget_to_retries():
    budget = RetryBudget(max_tokens=10)
    hedges = HedgeBudget(budget)
    for _ in range(1_000):
        budget.record_offered()
    assert sum(hedges.try_spend() for _ in range(100)) == 6
    assert sum(budget.try_spend() for _ in range(100)) == 4


def test_the_hedge_delay_is_a_quantile_of_recent_calls():
    hedges = HedgeBudget(RetryBudget(), window=100)
    assert hedges.delay_seconds is None
    for _ in range(1_000):
        hedges.record_latency(9.0)
    for step in range(100):
        hedges.record_latency(step / 100)
    assert hedges.delay_seconds == 0.94


def test_backoff_grows_to_its_cap_with_jitter():
    rng = Random(1)
    delays = [compute_backoff(attempt, rng) for attempt in range(200)]
    assert all(0.0 < delay <= 10.0 for delay in delays)
    assert max(delays[:2]) < 0.25
    assert min(delays[10:]) >= 5.0
    assert len({round(delay, 6) for delay in delays[10:]}) > 150
