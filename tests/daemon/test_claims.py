from random import Random

import pytest
from gevent import sleep, spawn
from gevent.event import Event

from bergamotwood_core.errors import (
    Code,
    EndpointError,
    IdempotencyError,
    RefusedError,
    ReplicationError,
)
from bergamotwood_core.ledger import Attempt, Bill, LedgerMachine, StoredAnswer
from bergamotwood_core.states import ClaimState, Run
from bergamotwood_daemon.claims import Claims, KeyedRequest, Ran

ANSWER = StoredAnswer(200, "application/json", b"{}")


class FakeLedger:
    """A ledger machine whose next commits can fail, applied or not."""

    def __init__(self):
        self.machine = LedgerMachine()
        self.index = 0
        self.fail_before = 0
        self.fail_after = 0

    def propose(self, command, timeout_seconds):
        if self.fail_before > 0:
            self.fail_before -= 1
            raise ReplicationError("no quorum", run=Run.MAY_HAVE_RUN)
        self.index += 1
        answer = self.machine.apply(self.index, command)
        if self.fail_after > 0:
            self.fail_after -= 1
            raise ReplicationError("answer lost", run=Run.MAY_HAVE_RUN)
        return answer


class Site:
    """One key at entries that share a ledger; counts dispatches."""

    def __init__(self):
        self.ledger = FakeLedger()
        self.runs = 0
        self.error = None

    def run(self, id="a-1-1", digest="d", wait=1.0, hold=None):
        claims = Claims(self.ledger, 0.1, Random(1))
        request = KeyedRequest("karen", "k", digest, id)

        def act():
            self.runs += 1
            if hold is not None:
                hold.wait()
            if self.error is not None:
                raise self.error
            attempt = Attempt("parcels", "e1", cost=0.5)
            return Ran(ANSWER, Bill(id, "karen", "k", digest, (attempt,), 0.5))

        return claims.run_once(request, act, wait)

    def wait_for_state(self, state):
        while self.find_state() is not state:
            sleep(0.01)

    def find_state(self):
        record = self.ledger.machine.find_claim("karen", "k")
        return record.state if record else None

    @property
    def bills(self):
        return self.ledger.machine.total("karen").bills


@pytest.fixture
def site():
    return Site()


def test_resend_through_another_entry_gets_the_answer_and_does_not_run(site):
    assert site.run("a-1-1") == ANSWER
    assert site.run("b-1-1") == ANSWER
    assert (site.runs, site.bills) == (1, 1)


def test_same_key_with_another_body_is_a_conflict_and_does_not_run(site):
    site.run("a-1-1")
    with pytest.raises(IdempotencyError) as caught:
        site.run("b-1-1", digest="other")
    assert caught.value.code is Code.KEY_CONFLICT
    assert caught.value.run is Run.NOT_RUN
    assert site.runs == 1


def test_two_at_once_run_once_and_the_other_is_told(site):
    hold = Event()
    first = spawn(site.run, "a-1-1", hold=hold)
    site.wait_for_state(ClaimState.HELD)
    with pytest.raises(IdempotencyError) as caught:
        site.run("b-1-1")
    assert caught.value.code is Code.IN_PROGRESS
    hold.set()
    assert first.get() == ANSWER
    assert (site.runs, site.bills) == (1, 1)


def test_unconfirmed_claim_is_not_run_and_is_released_for_the_resend(site):
    site.ledger.fail_after = 1
    with pytest.raises(RefusedError) as caught:
        site.run("a-1-1")
    assert caught.value.run is Run.NOT_RUN
    site.wait_for_state(None)
    assert site.run("a-1-2") == ANSWER
    assert site.runs == 1


def test_failure_before_dispatch_releases_the_claim(site):
    site.error = EndpointError("refused", run=Run.NOT_RUN)
    with pytest.raises(EndpointError) as caught:
        site.run("a-1-1")
    assert caught.value.run is Run.NOT_RUN
    site.wait_for_state(None)
    site.error = None
    assert site.run("a-1-2") == ANSWER


def test_failure_after_dispatch_is_unknown_for_good(site):
    site.error = EndpointError("reset")
    with pytest.raises(IdempotencyError) as caught:
        site.run("a-1-1")
    assert caught.value.code is Code.OUTCOME_UNKNOWN
    site.wait_for_state(ClaimState.UNKNOWN)
    site.error = None
    with pytest.raises(IdempotencyError) as caught:
        site.run("b-1-1")
    assert caught.value.run is Run.MAY_HAVE_RUN
    assert (site.runs, site.bills) == (1, 0)


def test_late_answer_is_stored_and_billed_though_its_caller_has_gone(site):
    hold = Event()
    with pytest.raises(IdempotencyError) as caught:
        site.run("a-1-1", wait=0.01, hold=hold)
    assert caught.value.run is Run.MAY_HAVE_RUN
    hold.set()
    site.wait_for_state(ClaimState.DONE)
    assert site.run("b-1-1") == ANSWER
    assert (site.runs, site.bills) == (1, 1)


def test_bill_that_is_not_confirmed_at_once_is_settled_later(site):
    hold = Event()
    first = spawn(site.run, "a-1-1", hold=hold)
    site.wait_for_state(ClaimState.HELD)
    site.ledger.fail_before = 2
    hold.set()
    with pytest.raises(IdempotencyError) as caught:
        first.get()
    assert caught.value.run is Run.RAN
    site.wait_for_state(ClaimState.DONE)
    assert site.run("b-1-1") == ANSWER
    assert (site.runs, site.bills) == (1, 1)
