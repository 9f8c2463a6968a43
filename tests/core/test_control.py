import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotwood_core.control import (
    MAX_SUSPECTS,
    MAX_TICKETS,
    ApplyTicket,
    ClearSuspect,
    ControlMachine,
    RecordCrash,
    RecordProgress,
    decode_answer,
    encode_command,
)
from bergamotwood_core.states import RolloutState, TicketOutcome, VersionState

MODEL = {
    "name": "small",
    "current": "small:1",
    "versions": [{"id": "small:1"}, {"id": "small:2"}],
}
ROLLOUT = {"name": "r", "model": "small", "candidate": "small:2"}


class Driver:
    def __init__(self):
        self.machine = ControlMachine()
        self.log = []

    def run(self, command):
        content = command if isinstance(command, bytes) else encode_command(command)
        self.log.append(content)
        return decode_answer(self.machine.apply(len(self.log), content))

    def apply(self, number, **sections):
        content = json.dumps({"number": number, **sections}).encode()
        return self.run(ApplyTicket(content, "wanjiru"))


@pytest.fixture
def driver():
    return Driver()


@pytest.fixture
def rollout_driver(driver):
    driver.apply(1, models=[MODEL], rollouts=[ROLLOUT])
    return driver


def test_ticket_number_is_accepted_once_and_a_resend_is_idempotent(driver):
    first = driver.apply(5, services=[{"name": "a"}])
    assert first.outcome is TicketOutcome.ACCEPTED
    assert driver.apply(5, services=[{"name": "b"}]).outcome is TicketOutcome.CONFLICT
    driver.apply(6, services=[{"name": "a", "price": 3.0}])
    again = driver.apply(5, services=[{"name": "a"}])
    assert again.outcome is TicketOutcome.REPEATED
    assert again.index == first.index
    assert driver.machine.tables.services["a"].price == 3.0
    assert driver.apply(4).outcome is TicketOutcome.STALE
    assert list(driver.machine.tables.services) == ["a"]


def test_invalid_ticket_changes_nothing_and_leaves_its_number_free(driver):
    bad = driver.apply(
        1, services=[{"name": "a"}], cascades=[{"name": "c", "models": ["none"]}]
    )
    assert bad.outcome is TicketOutcome.INVALID
    assert bad.faults == ("cascade c: unknown model none",)
    assert not driver.machine.tables.services
    assert driver.apply(1, services=[{"name": "a"}]).outcome is TicketOutcome.ACCEPTED


@pytest.mark.parametrize("content", [b"", b"\xff\x00", b"\x81\xa4type\xa4none"])
def test_invalid_command_is_answered_and_advances_the_index(driver, content):
    answer = driver.run(content)
    assert not answer.applied
    assert driver.machine.tables.index == 1


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=64))
def test_arbitrary_bytes_never_make_the_machine_raise(content):
    machine = ControlMachine()
    decode_answer(machine.apply(1, content))
    decode_answer(machine.apply(2, encode_command(ApplyTicket(content))))
    assert machine.tables.index == 2


def test_lower_index_changes_nothing(driver):
    driver.apply(1, services=[{"name": "a"}])
    command = encode_command(ApplyTicket(b'{"number": 2, "services": [{"name": "b"}]}'))
    assert not decode_answer(driver.machine.apply(1, command)).applied
    assert list(driver.machine.tables.services) == ["a"]


def test_snapshot_and_restore_equal_replay_after_many_tickets(rollout_driver):
    for number in range(2, 1_102):
        service = {"name": f"s{number % 40}", "price": number / 7}
        assert rollout_driver.apply(number, services=[service]).outcome == "accepted"
        if number == 600:
            middle = rollout_driver.machine.snapshot()
            tail = len(rollout_driver.log)
    rollout_driver.run(RecordCrash("f", "e", 1))
    rollout_driver.run(RecordProgress("r", 1, 2, RolloutState.STOPPED, 7, "errors"))
    replayed = ControlMachine()
    for index, command in enumerate(rollout_driver.log, 1):
        replayed.apply(index, command)
    follower = ControlMachine()
    follower.restore(middle)
    for index, command in enumerate(rollout_driver.log[tail:], tail + 1):
        follower.apply(index, command)
    restarted = ControlMachine()
    restarted.restore(rollout_driver.machine.snapshot())
    for machine in (replayed, follower, restarted):
        assert machine.snapshot() == rollout_driver.machine.snapshot()
        assert machine.tables == rollout_driver.machine.tables


def test_restore_keeps_the_tables_object(driver):
    driver.apply(1, services=[{"name": "a"}])
    other = ControlMachine()
    tables = other.tables
    other.restore(driver.machine.snapshot())
    assert other.tables is tables
    assert "a" in tables.services


def test_answers_of_the_newest_tickets_are_kept(driver):
    for number in range(1, MAX_TICKETS + 3):
        driver.apply(number)
    assert len(driver.machine.records) == MAX_TICKETS
    assert driver.apply(2).outcome is TicketOutcome.STALE
    assert driver.apply(3).outcome is TicketOutcome.REPEATED


def test_completed_rollout_makes_the_candidate_current(rollout_driver):
    done = RecordProgress("r", 1, 3, RolloutState.COMPLETED, 100, "")
    assert rollout_driver.run(done).applied
    tables = rollout_driver.machine.tables
    assert tables.models["small"].current == "small:2"
    assert not rollout_driver.run(done).applied
    back = rollout_driver.apply(2, models=[MODEL])
    assert "would undo roll-out r" in back.faults[0]
    accepted = rollout_driver.apply(2, models=[MODEL], remove={"rollouts": ["r"]})
    assert accepted.outcome is TicketOutcome.ACCEPTED
    assert tables.models["small"].current == "small:1"


def test_stopped_rollout_withdraws_its_candidate(rollout_driver):
    rollout_driver.run(RecordProgress("r", 1, 1, RolloutState.STOPPED, 9, "errors"))
    version = rollout_driver.machine.tables.versions["small:2"]
    assert version.state is VersionState.WITHDRAWN
    assert rollout_driver.machine.tables.models["small"].versions[1] is version
    again = rollout_driver.apply(2, models=[MODEL])
    assert again.outcome is TicketOutcome.INVALID


def test_step_decided_for_an_earlier_ticket_is_refused(rollout_driver):
    rollout_driver.apply(2, rollouts=[{**ROLLOUT, "state": "paused"}])
    late = RecordProgress("r", 1, 3, RolloutState.COMPLETED)
    assert not rollout_driver.run(late).applied
    assert not rollout_driver.run(
        RecordProgress("r", 2, 3, RolloutState.COMPLETED)
    ).applied
    assert rollout_driver.run(RecordProgress("r", 2, 1, RolloutState.PAUSED, 4)).applied
    rollout_driver.apply(3, rollouts=[ROLLOUT])
    progress = rollout_driver.machine.tables.progress["r"]
    assert (progress.stage, progress.exposed) == (1, 4)
    assert progress.state is RolloutState.RUNNING


def test_stage_and_exposure_never_decrease(rollout_driver):
    rollout_driver.run(RecordProgress("r", 1, 2, RolloutState.RUNNING, 50))
    assert not rollout_driver.run(
        RecordProgress("r", 1, 1, RolloutState.RUNNING, 60)
    ).applied
    assert not rollout_driver.run(
        RecordProgress("r", 1, 9, RolloutState.RUNNING, 60)
    ).applied
    rollout_driver.run(RecordProgress("r", 1, 2, RolloutState.RUNNING, 40))
    assert rollout_driver.machine.tables.progress["r"].exposed == 50


def test_one_crash_reported_by_two_entries_counts_once(driver):
    assert driver.run(RecordCrash("f", "e1", 3)).applied
    assert not driver.run(RecordCrash("f", "e1", 3)).applied
    assert driver.machine.tables.suspects["f"].crashes == 1
    assert driver.run(ClearSuspect("f")).applied
    assert not driver.run(RecordCrash("f", "e1", 3)).applied
    assert "f" not in driver.machine.tables.suspects


def test_clearing_does_not_lift_a_quarantine_unless_forced(driver):
    driver.run(RecordCrash("f", "e1", 3))
    driver.run(RecordCrash("f", "e2", 1))
    assert not driver.run(ClearSuspect("f")).applied
    assert driver.run(ClearSuspect("f", forced=True)).applied


def test_suspects_are_bounded_and_quarantined_ones_stay(driver):
    driver.run(RecordCrash("bad", "e1", 1))
    driver.run(RecordCrash("bad", "e2", 1))
    for number in range(MAX_SUSPECTS + 5):
        driver.run(RecordCrash(f"f{number}", "e1", 1))
    suspects = driver.machine.tables.suspects
    assert len(suspects) == MAX_SUSPECTS
    assert suspects["bad"].crashes == 2
    assert "f0" not in suspects
