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
from bergamotwood_daemon.claims import Claims, CompletedRun, KeyedRequest

ANSWER = StoredAnswer(200, "application/json", b"{}")


class FakeLedger:
    """A ledger whose next proposals can fail, before or after they are applied."""

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


class SharedKey:
    """Runs requests with one key at entries that share a ledger; counts the runs."""

    def __init__(self):
        self.ledger = FakeLedger()
        self.runs = 0
        self.error = None

    def run(self, id="a-1-1", digest="d", wait=1.0, may_finish=None):
        claims = Claims(self.ledger, 0.1, Random(1))
        request = KeyedRequest("karen", "k", digest, id)

        def dispatch():
            self.runs += 1
            if may_finish is not None:
                may_finish.wait()
            if self.error is not None:
                raise self.error
            attempt = Attempt("parcels", "e1", cost=0.5)
            return CompletedRun(ANSWER, Bill(id, "karen", "k", digest, (attempt,), 0.5))

        return claims.run_once(request, dispatch, wait)

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
def entries():
    return SharedKey()


def test_resend_through_another_entry_gets_the_answer_and_does_not_run(entries):
    assert entries.run("a-1-1") == ANSWER
    assert entries.run("b-1-1") == ANSWER
    assert (entries.runs, entries.bills) == (1, 1)


def test_same_key_with_another_body_is_a_conflict_and_does_not_run(entries):
    entries.run("a-1-1")
    with pytest.raises(IdempotencyError) as caught:
        entries.run("b-1-1", digest="other")
    assert caught.value.code is Code.KEY_CONFLICT
    assert caught.value.run is Run.NOT_RUN
    assert entries.runs == 1


def test_concurrent_request_with_the_same_key_is_refused_as_in_progress(entries):
    may_finish = Event()
    first = spawn(entries.run, "a-1-1", may_finish=may_finish)
    entries.wait_for_state(ClaimState.HELD)
    with pytest.raises(IdempotencyError) as caught:
        entries.run("b-1-1")
    assert caught.value.code is Code.IN_PROGRESS
    may_finish.set()
    assert first.get() == ANSWER
    assert (entries.runs, entries.bills) == (1, 1)


def test_unconfirmed_claim_is_not_run_and_is_released_for_the_resend(entries):
    entries.ledger.fail_after = 1
    with pytest.raises(RefusedError) as caught:
        entries.run("a-1-1")
    assert caught.value.run is Run.NOT_RUN
    entries.wait_for_state(None)
    assert entries.run("a-1-2") == ANSWER
    assert entries.runs == 1


def test_failure_before_dispatch_releases_the_claim(entries):
    entries.error = EndpointError("refused", run=Run.NOT_RUN)
    with pytest.raises(EndpointError) as caught:
        entries.run("a-1-1")
    assert caught.value.run is Run.NOT_RUN
    entries.wait_for_state(None)
    entries.error = None
    assert entries.run("a-1-2") == ANSWER


def test_failure_after_dispatch_leaves_the_outcome_unknown(entries):
    entries.error = EndpointError("reset")
    with pytest.raises(IdempotencyError) as caught:
        entries.run("a-1-1")
    assert caught.value.code is Code.OUTCOME_UNKNOWN
    entries.wait_for_state(ClaimState.UNKNOWN)
    entries.error = None
    with pytest.raises(IdempotencyError) as caught:
        entries.run("b-1-1")
    assert caught.value.run is Run.MAY_HAVE_RUN
    assert (entries.runs, entries.bills) == (1, 0)


def test_late_answer_is_stored_and_billed_after_its_caller_timed_out(entries):
    may_finish = Event()
    with pytest.raises(IdempotencyError) as caught:
        entries.run("a-1-1", wait=0.01, may_finish=may_finish)
    assert caught.value.run is Run.MAY_HAVE_RUN
    may_finish.set()
    entries.wait_for_state(ClaimState.DONE)
    assert entries.run("b-1-1") == ANSWER
    assert (entries.runs, entries.bills) == (1, 1)


def test_unconfirmed_bill_is_submitted_again_until_it_commits(entries):
    may_finish = Event()
    first = spawn(entries.run, "a-1-1", may_finish=may_finish)
    entries.wait_for_state(ClaimState.HELD)
    entries.ledger.fail_before = 2
    may_finish.set()
    with pytest.raises(IdempotencyError) as caught:
        first.get()
    assert caught.value.run is Run.RAN
    entries.wait_for_state(ClaimState.DONE)
    assert entries.run("b-1-1") == ANSWER
    assert (entries.runs, entries.bills) == (1, 1)
