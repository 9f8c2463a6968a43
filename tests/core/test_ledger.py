import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from bergamotwood_core import bill_table, key_table
from bergamotwood_core.ledger import (
    Abandon,
    Attempt,
    Bill,
    Claim,
    Conflict,
    Done,
    Expired,
    Finish,
    Full,
    Granted,
    Held,
    LedgerMachine,
    RecordBill,
    Refused,
    Release,
    Released,
    StoredAnswer,
    Tick,
    Unknown,
    VoidBill,
    decode_answer,
    encode_command,
)
from bergamotwood_core.states import BillOutcome
from bergamotwood_core.watermark import WINDOW_SIZE

ANSWER = StoredAnswer(200, "application/json", b"{}")


class Driver:
    def __init__(self):
        self.machine = LedgerMachine()
        self.log = []

    def run(self, command):
        content = command if isinstance(command, bytes) else encode_command(command)
        self.log.append(content)
        return decode_answer(self.machine.apply(len(self.log), content))

    def claim(self, key="k", token="t1", request="a-1-1", digest="d"):
        return self.run(Claim("karen", key, digest, token, request))

    def finish(self, key="k", token="t1", answer=ANSWER, bill=None):
        return self.run(Finish("karen", key, token, answer, bill)).outcome

    def bill(self, request, key=None, digest="d", **fields):
        return self.run(RecordBill(make_bill(request, key, digest, **fields)))


def make_bill(request="a-1-1", key="k", digest="d", **fields):
    attempts = (Attempt("small:1", "e1", 10, 5, 0.1, "accepted"),)
    fields.setdefault("cost", 0.1)
    return Bill(request, "karen", key, digest, attempts, **fields)


@pytest.fixture
def driver():
    return Driver()


def test_claim_whose_answer_was_lost_is_granted_again(driver):
    assert driver.claim() == Granted()
    assert driver.claim() == Granted()
    assert driver.claim(token="t2", request="b-1-1") == Held("a-1-1")


def test_resend_gets_the_stored_answer_and_one_bill(driver):
    driver.claim()
    assert driver.finish(bill=make_bill()) is BillOutcome.RECORDED
    assert driver.claim(token="t2", request="b-1-1") == Done(ANSWER, "a-1-1")
    assert driver.finish(bill=make_bill()) is BillOutcome.DUPLICATE
    assert driver.machine.total("karen").bills == 1
    assert driver.machine.find_bill_of_key("karen", "k") == make_bill()


def test_key_with_another_digest_is_a_conflict_in_every_state(driver):
    driver.claim()
    assert driver.claim(digest="other", token="t2") == Conflict()
    driver.finish()
    assert driver.claim(digest="other", token="t2") == Conflict()
    other = driver.bill("b-1-1", "k", "other")
    assert other.outcome is BillOutcome.CONFLICT


def test_keys_are_scoped_to_their_workspace(driver):
    driver.claim()
    other = Claim("westlands", "k", "other", "t2", "b-1-1")
    assert driver.run(other) == Granted()


def test_release_frees_the_key_for_another_entry(driver):
    driver.claim()
    driver.run(Release("karen", "k", "wrong"))
    assert driver.claim(token="t2") == Held("a-1-1")
    driver.run(Release("karen", "k", "t1"))
    assert driver.claim(token="t2", request="b-1-1") == Granted()


def test_claim_that_commits_after_its_release_holds_nothing(driver):
    driver.run(Release("karen", "k", "t1"))
    assert driver.claim(token="t1") == Released()
    assert driver.claim(token="t2") == Granted()


def test_release_after_finish_changes_nothing(driver):
    driver.claim()
    driver.finish()
    driver.run(Release("karen", "k", "t1"))
    assert driver.claim(token="t2") == Done(ANSWER, "a-1-1")


def test_claims_of_a_dead_entry_become_unknown_and_accept_an_answer(driver):
    driver.claim()
    driver.claim("later", "t9", "a-2-1")
    driver.claim("other", "t8", "b-1-1")
    assert driver.run(Abandon("a", 1)).count == 1
    assert driver.claim(token="t2") == Unknown("a-1-1")
    assert driver.claim() == Unknown("a-1-1")
    assert driver.claim("later", "t7") == Held("a-2-1")
    assert driver.finish(token="wrong") is BillOutcome.CONFLICT
    assert driver.finish(bill=make_bill()) is BillOutcome.RECORDED
    assert driver.claim(token="t2") == Done(ANSWER, "a-1-1")


def test_claim_becomes_unknown_after_its_expiry_in_log_time(driver):
    driver.claim()
    assert driver.run(Tick(key_table.CLAIM_EXPIRY_SECONDS)).count == 0
    assert driver.run(Tick(1.0)).count == 1
    assert driver.claim(token="t2") == Unknown("a-1-1")


def test_finish_without_answer_or_bill_makes_the_claim_unknown(driver):
    driver.claim()
    driver.finish(answer=None)
    assert driver.claim(token="t2") == Unknown("a-1-1")


def test_bill_of_another_request_does_not_end_a_claim(driver):
    driver.claim()
    assert driver.finish(bill=make_bill(key="x")) is BillOutcome.INVALID
    assert driver.claim(token="t2") == Held("a-1-1")


def test_two_idempotent_runs_with_one_key_leave_one_bill(driver):
    assert driver.bill("a-1-1", "k").outcome is BillOutcome.RECORDED
    second = driver.bill("b-1-7", "k")
    assert second.outcome is BillOutcome.DUPLICATE
    assert second.request == "a-1-1"
    assert driver.machine.total("karen").bills == 1


def test_bills_of_one_entry_count_once_in_any_order(driver):
    order = [5, 1, 900, 3, 2, 900, 1]
    outcomes = [driver.bill(f"a-1-{number}").outcome for number in order]
    assert outcomes == [BillOutcome.RECORDED] * 5 + [BillOutcome.DUPLICATE] * 2
    assert driver.bill("a-2-1").outcome is BillOutcome.RECORDED
    assert driver.machine.total("karen").bills == 6


def test_bill_older_than_the_window_is_refused(driver):
    driver.bill("a-1-0")
    driver.bill(f"a-1-{WINDOW_SIZE + 10}")
    assert driver.bill("a-1-10").outcome is BillOutcome.EXPIRED
    assert driver.bill("a-1-11").outcome is BillOutcome.RECORDED
    for incarnation in (2, 3, 4):
        driver.bill(f"a-{incarnation}-1")
    assert driver.bill("a-1-20").outcome is BillOutcome.EXPIRED


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.lists(st.integers(0, 300), max_size=200))
def test_each_request_of_an_entry_is_billed_once(numbers):
    driver = Driver()
    for number in numbers:
        driver.bill(f"a-1-{number}", cost=0.1)
    total = driver.machine.total("karen")
    assert total.bills == len(set(numbers))
    assert total.cost_billionths == 100_000_000 * len(set(numbers))


def test_totals_stay_exact_when_old_bills_are_dropped(driver, monkeypatch):
    monkeypatch.setattr(bill_table, "MAX_BILLS", 10)
    for number in range(1_000):
        driver.bill(f"a-1-{number}")
    total = driver.machine.total("karen")
    assert (total.bills, total.cost) == (1_000, 100.0)
    assert (total.prompt_tokens, total.output_tokens) == (10_000, 5_000)
    newest = driver.machine.list_bills("karen", 3)
    assert [bill.request for bill in newest] == ["a-1-999", "a-1-998", "a-1-997"]
    assert len(driver.machine.list_bills(None, 99)) == 10
    assert driver.machine.find_bill("a-1-0") is None


@pytest.mark.parametrize(
    "bill",
    [
        make_bill(cost=float("nan")),
        make_bill(cost=-1.0),
        make_bill("no-number-x"),
        make_bill(key="k" * 300),
        replace(make_bill(), attempts=(Attempt("v", "e"),) * 65),
        replace(make_bill(), attempts=(Attempt("v", "e", -1),)),
    ],
)
def test_bill_with_bad_values_is_refused(driver, bill):
    assert driver.run(RecordBill(bill)).outcome is BillOutcome.INVALID
    assert driver.machine.total("karen").bills == 0


def test_expired_key_is_refused_and_never_run_again(driver, monkeypatch):
    monkeypatch.setattr(key_table, "MAX_KEYS", 3)
    for number in range(5):
        driver.claim(f"k{number}", f"t{number}", f"a-1-{number}")
        driver.finish(f"k{number}", f"t{number}")
    assert driver.claim("k0", "x") == Expired()
    assert driver.bill("b-1-1", "k1").outcome is BillOutcome.EXPIRED
    assert driver.claim("k2", "x") == Done(ANSWER, "a-1-2")


def test_held_claims_are_never_evicted(driver, monkeypatch):
    monkeypatch.setattr(key_table, "MAX_KEYS", 2)
    driver.claim("k1", "t1")
    driver.claim("k2", "t2", "a-1-2")
    assert driver.claim("k3", "t3", "a-1-3") == Full()
    assert driver.bill("a-1-4", "k4").outcome is BillOutcome.FULL
    driver.finish("k2", "t2")
    assert driver.claim("k3", "t3", "a-1-3") == Granted()
    assert driver.claim("k1", "x") == Held("a-1-1")


def test_new_keys_are_refused_until_an_expired_one_can_be_dropped(driver, monkeypatch):
    monkeypatch.setattr(key_table, "MAX_KEYS", 1)
    monkeypatch.setattr(key_table, "MAX_EXPIRED_KEYS", 1)
    monkeypatch.setattr(key_table, "KEY_RETENTION_SECONDS", 100.0)
    for number in (1, 2):
        driver.claim(f"k{number}", f"t{number}")
        driver.finish(f"k{number}", f"t{number}")
    assert driver.claim("k3", "t3") == Full()
    driver.run(Tick(100.0))
    assert driver.claim("k3", "t3") == Granted()
    assert driver.claim("k2", "x") == Expired()


def test_stored_answers_are_bounded_and_the_key_stays_done(driver, monkeypatch):
    monkeypatch.setattr(key_table, "MAX_TOTAL_ANSWER_BYTES", 5)
    for number in (1, 2, 3):
        driver.claim(f"k{number}", f"t{number}")
        driver.finish(f"k{number}", f"t{number}")
    assert driver.claim("k1", "x") == Done(None, "a-1-1")
    assert driver.claim("k3", "x") == Done(ANSWER, "a-1-1")
    assert driver.machine.count_entities()["answer_bytes"] == 4


def test_late_bill_of_an_expired_claim_counts_once(driver, monkeypatch):
    monkeypatch.setattr(key_table, "MAX_KEYS", 1)
    driver.claim()
    driver.run(Abandon("a", 1))
    driver.claim("k2", "t2", "b-1-1")
    assert driver.finish(bill=make_bill()) is BillOutcome.RECORDED
    assert driver.finish(bill=make_bill()) is BillOutcome.DUPLICATE
    assert driver.machine.total("karen").bills == 1


@pytest.mark.parametrize(
    "command",
    [
        b"",
        b"\xff",
        Tick(float("nan")),
        Tick(-1.0),
        Claim("karen", "k" * 300, "d", "t", "a-1-1"),
        Claim("karen", "k", "d", "t", "made elsewhere"),
    ],
)
def test_invalid_command_is_refused(driver, command):
    assert isinstance(driver.run(command), Refused)
    assert driver.machine.index == 1


commands = st.one_of(
    st.builds(
        Claim,
        st.just("karen"),
        st.sampled_from("xyz"),
        st.sampled_from("de"),
        st.sampled_from("pqr"),
        st.sampled_from(["a-1-1", "a-1-2", "b-1-1"]),
    ),
    st.builds(
        Release, st.just("karen"), st.sampled_from("xyz"), st.sampled_from("pqr")
    ),
    st.builds(
        Finish,
        st.just("karen"),
        st.sampled_from("xyz"),
        st.sampled_from("pqr"),
        st.sampled_from([None, ANSWER]),
        st.builds(
            make_bill, st.sampled_from(["a-1-1", "b-1-3"]), st.sampled_from("xyz")
        ),
    ),
    st.builds(
        lambda request, key: RecordBill(make_bill(request, key)),
        st.sampled_from(["a-1-1", "a-1-9", "b-1-2"]),
        st.sampled_from(["x", "y", None]),
    ),
    st.builds(Abandon, st.sampled_from("ab"), st.integers(1, 2)),
    st.builds(Tick, st.floats(0.0, 4_000.0)),
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(commands, max_size=30), st.integers(0, 30))
def test_snapshot_and_tail_equal_replay(script, cut):
    driver = Driver()
    middle = driver.machine.snapshot()
    for position, command in enumerate(script, 1):
        driver.run(command)
        if position <= cut:
            middle = driver.machine.snapshot()
    follower = LedgerMachine()
    follower.restore(middle)
    start = int(follower.index)
    for index, content in enumerate(driver.log[start:], start + 1):
        follower.apply(index, content)
    assert follower.snapshot() == driver.machine.snapshot()
    assert follower.count_entities() == driver.machine.count_entities()


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(commands, max_size=40))
def test_one_holder_and_one_bill_for_each_key(script):
    driver = Driver()
    holders = {}
    billed = {}
    for command in script:
        answer = driver.run(command)
        if isinstance(command, Release) and answer.count:
            holders.pop(command.key, None)
        if isinstance(command, Claim) and answer == Granted():
            assert holders.setdefault(command.key, command.token) == command.token
        bill = getattr(command, "bill", None)
        if bill is None or answer.outcome is not BillOutcome.RECORDED:
            continue
        if bill.key is not None:
            assert billed.setdefault(bill.key, command) is command
    total = driver.machine.total("karen").bills
    assert total >= len(billed)


def test_voided_bill_is_removed_and_cannot_be_recorded_later(driver):
    driver.bill("a-1-1")
    driver.bill("a-1-2")
    assert driver.run(VoidBill(make_bill("a-1-1", None))).count == 1
    assert driver.run(VoidBill(make_bill("a-1-3", None))).count == 0
    assert driver.bill("a-1-1").outcome is BillOutcome.DUPLICATE
    assert driver.bill("a-1-3").outcome is BillOutcome.DUPLICATE
    assert driver.machine.total("karen").bills == 1
    assert driver.machine.total("karen").cost == 0.1


def test_a_resend_answered_before_the_first_bill_is_voided_stays_billed(driver):
    driver.bill("a-1-1", key="k")
    assert driver.bill("b-1-1", key="k").outcome is BillOutcome.DUPLICATE
    driver.run(VoidBill(make_bill("a-1-1", "k")))
    assert driver.machine.find_bill_of_key("karen", "k").request == "b-1-1"
    assert driver.machine.total("karen").bills == 1
    assert driver.machine.find_bill("a-1-1") is None


def test_a_voided_resend_does_not_replace_a_voided_first_bill(driver):
    driver.bill("a-1-1", key="k")
    driver.bill("b-1-1", key="k")
    driver.run(VoidBill(make_bill("b-1-1", "k")))
    assert driver.machine.find_bill_of_key("karen", "k").request == "a-1-1"
    driver.run(VoidBill(make_bill("a-1-1", "k")))
    assert driver.machine.find_bill_of_key("karen", "k") is None
    assert driver.machine.total("karen").bills == 0


def test_the_bill_of_a_resend_survives_a_snapshot(driver):
    driver.bill("a-1-1", key="k")
    driver.bill("b-1-1", key="k")
    driver.machine.restore(driver.machine.snapshot())
    driver.run(VoidBill(make_bill("a-1-1", "k")))
    assert driver.machine.find_bill_of_key("karen", "k").request == "b-1-1"


def test_key_of_a_voided_bill_can_be_billed_by_its_resend(driver):
    driver.bill("a-1-1", key="k")
    driver.run(VoidBill(make_bill("a-1-1", "k")))
    assert driver.bill("b-1-1", key="k").outcome is BillOutcome.RECORDED
    assert driver.machine.find_bill_of_key("karen", "k").request == "b-1-1"
    assert driver.machine.total("karen").bills == 1
