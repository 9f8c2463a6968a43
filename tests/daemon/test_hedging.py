import pytest
from gevent import sleep
from gevent.event import Event

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import EndpointError
from bergamotwood_core.retry import HEDGE_MIN_SAMPLES, HedgeBudget, RetryBudget
from bergamotwood_daemon.hedging import run_hedged


class Attempts:
    """Attempts with given outcomes: an answer, an error, or None to never end."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.started = 0
        self.cancelled = 0

    def __call__(self):
        outcome = self.outcomes[self.started]
        self.started += 1
        try:
            if isinstance(outcome, Exception):
                raise outcome
            if outcome is None:
                Event().wait()
            return outcome
        except BaseException as error:
            self.cancelled += not isinstance(error, EndpointError)
            raise


@pytest.fixture
def budget():
    retries = RetryBudget()
    retries.tokens = retries.max_tokens
    budget = HedgeBudget(retries)
    for _ in range(HEDGE_MIN_SAMPLES):
        budget.record_latency(0.01)
    return budget


def run(attempts, budget):
    return run_hedged(attempts, budget, lambda: Seconds(0.0))


def test_second_attempt_answers_a_late_call_and_the_first_is_cancelled(budget):
    attempts = Attempts(None, "second")
    assert run(attempts, budget) == "second"
    sleep(0)
    assert (attempts.started, attempts.cancelled) == (2, 1)


def test_call_in_time_runs_once(budget):
    attempts = Attempts("first")
    assert run(attempts, budget) == "first"
    assert attempts.started == 1


def test_empty_budget_allows_no_second_attempt(budget):
    class LateAttempt(Attempts):
        def __call__(self):
            self.started += 1
            sleep(0.1)
            return f"attempt {self.started}"

    budget.retries.tokens = 0.0
    attempts = LateAttempt()
    assert run(attempts, budget) == "attempt 1"
    assert attempts.started == 1
    budget.retries.tokens = budget.retries.max_tokens
    run(attempts, budget)
    assert attempts.started == 3


def test_first_error_is_raised_when_both_attempts_fail(budget):
    class SlowFirstAttempt(Attempts):
        def __call__(self):
            number = self.started
            if number == 0:
                self.started += 1
                sleep(0.05)
                raise EndpointError("first")
            return super().__call__()

    attempts = SlowFirstAttempt(None, EndpointError("second"))
    with pytest.raises(EndpointError, match="first"):
        run(attempts, budget)
    assert attempts.started == 2
