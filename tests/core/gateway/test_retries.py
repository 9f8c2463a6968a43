from core.gateway.samples import PLAIN, make_call, make_route

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.configuration import RouteKind
from bergamotwood_core.gateway.retries import RetryBudget, may_retry
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
