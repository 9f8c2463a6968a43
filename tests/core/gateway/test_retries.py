from collections import deque
from random import Random

import pytest
from core.gateway.samples import PLAIN, make_call, make_route

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.configuration import RouteKind
from bergamotwood_core.gateway.retries import (
    MAX_USAGE_AGE_SECONDS,
    RetryBudget,
    RetryUsage,
    may_retry,
    merge_usage,
)
from bergamotwood_core.ids import EndpointId

NOW = Seconds(0.0)


def test_request_that_may_have_run_is_retried_only_on_a_retryable_route():
    once = make_call(
        make_route(kind=RouteKind.NON_IDEMPOTENT, max_attempts=3), possible_executions=1
    )
    often = make_call(make_route(max_attempts=3), possible_executions=1)
    assert not may_retry(once, has_run=True, now=NOW)
    assert may_retry(often, has_run=True, now=NOW)


def test_refused_request_is_retried_on_every_kind_of_route():
    call = make_call(make_route(kind=RouteKind.NON_IDEMPOTENT, max_attempts=1))
    call.tried_endpoints = [EndpointId("e-1")]
    assert may_retry(call, has_run=False, now=NOW)
    call.tried_endpoints = [EndpointId(f"e-{at}") for at in range(3)]
    assert not may_retry(call, has_run=False, now=NOW)


def test_attempts_and_deadline_limit_retries():
    call = make_call(make_route(max_attempts=2), possible_executions=2)
    assert not may_retry(call, has_run=True, now=NOW)
    late = make_call(make_route(max_attempts=2), possible_executions=1)
    assert not may_retry(late, has_run=True, now=Seconds(2.99))


def test_all_entries_together_stay_within_the_fleet_budget_in_every_window():
    budgets = [RetryBudget(0.5, 30.0, 10.0) for _ in range(5)]
    requests, retries = [], []
    for step in range(600):
        now = Seconds(step * 0.1)
        for budget in budgets:
            budget.entry_count = len(budgets)
            if 200 <= step < 300:
                budget.record_request(PLAIN, now)
                requests.append(now)
            for _ in range(3):
                if budget.allows(PLAIN, now):
                    budget.record_retry(PLAIN, now)
                    retries.append(now)
    for start in range(0, 50):
        inside = [at for at in retries if start <= at < start + 10.0]
        # Requests up to one window earlier still allow retries in this one.
        counted = [at for at in requests if start - 10.0 <= at < start + 10.0]
        assert len(inside) <= 0.5 * len(counted) + 30.0


class Fleet:
    """Entries that report to each other with a delay."""

    def __init__(self, size, seed=1):
        self.rng = Random(seed)
        self.budgets = [RetryBudget(0.9, 430.0, 10.0, 0.5) for _ in range(size)]
        for budget in self.budgets:
            budget.entry_count = size
        self.requests, self.retries = [], []
        self.wanted = self.granted = 0
        self.delayed = deque()

    def report(self, now):
        """Exchange what was reported 0.6 s ago: a poll and a relay."""
        usage = merge_usage(budget.list_usage(now) for budget in self.budgets)
        self.delayed.append((now, usage))
        while self.delayed and self.delayed[0][0] <= now - 0.6:
            at, usage = self.delayed.popleft()
            for budget in self.budgets:
                budget.set_fleet_usage(usage, Seconds(at + 0.6))

    def send(self, now, retries_wanted):
        budget = self.rng.choice(self.budgets)
        budget.record_request(PLAIN, now)
        self.requests.append(now)
        for _ in range(retries_wanted):
            self.wanted += 1
            if budget.allows(PLAIN, now):
                self.granted += 1
                budget.record_retry(PLAIN, now)
                self.retries.append(now)

    def play(self, seconds, rate, want_retries):
        steps = 20
        for step in range(seconds * steps):
            now = Seconds(step / steps)
            if step % 8 == 0:
                self.report(now)
            for _ in range(rate // steps):
                self.send(now, want_retries(now))


def test_callers_of_many_entries_get_the_larger_model_that_they_need():
    """Load: 195 entries, 110 requests a second, half of which need a second model."""
    fleet = Fleet(195)
    # Nothing has been reported yet in the first second.
    fleet.play(20, 120, lambda now: int(now > 1.0 and fleet.rng.random() < 0.5))
    assert fleet.wanted > 1_000
    assert fleet.granted == fleet.wanted


def test_by_shares_alone_many_of_them_would_not_get_it():
    """The load of the test before, without reports."""
    fleet = Fleet(195)
    fleet.report = lambda now: None
    fleet.play(20, 120, lambda now: int(now > 1.0 and fleet.rng.random() < 0.5))
    assert fleet.granted < 0.9 * fleet.wanted


@pytest.mark.parametrize("size", [9, 195])
def test_a_retry_storm_stays_within_the_fleet_budget(size):
    """Load: every request fails and is tried twice more, in a burst from 10 s on."""
    fleet = Fleet(size)
    fleet.play(40, 120, lambda now: 2 if 10.0 <= now < 30.0 else 0)
    for start in range(0, 31):
        requests = sum(start <= at < start + 10.0 for at in fleet.requests)
        retries = sum(start <= at < start + 10.0 for at in fleet.retries)
        assert retries <= 0.9 * requests + 430.0


def test_an_entry_that_knows_no_usage_keeps_to_its_share():
    budget = RetryBudget(0.9, 430.0, 10.0, 0.5)
    budget.entry_count = 195
    budget.record_request(PLAIN, NOW)
    budget.set_fleet_usage({PLAIN: RetryUsage(1_000, 0)}, NOW)
    later = Seconds(MAX_USAGE_AGE_SECONDS + 0.1)
    allowed = 0
    while budget.allows(PLAIN, later):
        budget.record_retry(PLAIN, later)
        allowed += 1
    assert allowed == 1


def test_a_budget_without_extra_allows_nothing_before_the_first_request():
    budget = RetryBudget(0.9, 0.0, 10.0)
    budget.set_fleet_usage({PLAIN: RetryUsage(0, 0)}, NOW)
    assert not budget.allows(PLAIN, NOW)
    budget.record_request(PLAIN, NOW)
    assert budget.list_usage(NOW) == {PLAIN: RetryUsage(1, 0)}
    assert budget.list_usage(Seconds(20.0)) == {}
