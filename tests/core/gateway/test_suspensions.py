import pytest

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.suspects import Cause, CauseKind
from bergamotwood_core.gateway.suspensions import (
    FIRST_TRIAL_SECONDS,
    MAX_TRIAL_SECONDS,
    TRIAL_VALIDITY_SECONDS,
    VERSION_TRIAL_SECONDS,
    Suspension,
    SuspensionTable,
    compute_trial_delay,
)
from bergamotwood_core.ids import (
    Incarnation,
    InstanceId,
    LogIndex,
    PromptPartId,
    ServiceName,
)

CAUSE = Cause(CauseKind.PROMPT_PART, ServiceName("models"), PromptPartId("bad"))
RUN = (InstanceId("i1"), Incarnation(5))


def suspend(index=1, *granted_to):
    return Suspension(CAUSE, ("v1",), LogIndex(index), 0.0, 0, *granted_to)


@pytest.fixture
def table():
    return SuspensionTable(*RUN)


def test_a_request_with_a_suspended_cause_is_found(table):
    other = Cause(CauseKind.REQUEST, ServiceName("models"), PromptPartId("bad"))
    table.update([suspend()], Seconds(1.0))
    assert table.find_suspended([other]) is None
    assert table.find_suspended([other, CAUSE]) == suspend()
    table.update([], Seconds(2.0))
    assert table.find_suspended([CAUSE]) is None


def test_only_the_chosen_run_of_an_entry_uses_a_trial_and_only_once(table):
    granted = suspend(2, *RUN)
    others = (
        SuspensionTable(InstanceId("i2"), RUN[1]),
        # The entry has started again since.
        SuspensionTable(RUN[0], Incarnation(6)),
    )
    for each in (table, *others):
        each.update([granted], Seconds(1.0))
    assert not any(other.take_trial(granted, Seconds(1.0)) for other in others)
    assert table.take_trial(granted, Seconds(1.5))
    table.update([granted], Seconds(1.6))
    assert not table.take_trial(granted, Seconds(1.7))
    again = suspend(3, *RUN)
    table.update([again], Seconds(9.0))
    assert table.take_trial(again, Seconds(9.5))


def test_a_trial_expires_also_for_an_entry_that_was_paused(table):
    granted = suspend(2, *RUN)
    table.update([granted], Seconds(1.0))
    late = Seconds(1.1 + TRIAL_VALIDITY_SECONDS)
    # The answer to a later poll doesn't renew it.
    table.update([granted], late)
    assert not table.take_trial(granted, late)


def test_trials_become_rarer_and_come_sooner_on_new_versions():
    delays = []
    for trials in (0, 1, 2, 50):
        suspension = Suspension(CAUSE, ("v1",), LogIndex(1), 0.0, trials)
        delays.append(compute_trial_delay(suspension, ("v1", "v2")))
        assert compute_trial_delay(suspension, ("v2",)) == VERSION_TRIAL_SECONDS
        assert compute_trial_delay(suspension, ()) == delays[-1]
    assert delays[0] == FIRST_TRIAL_SECONDS
    assert delays == sorted(delays)
    assert delays[-1] == MAX_TRIAL_SECONDS


def test_the_time_to_the_next_trial_is_told(table):
    table.update([suspend()], Seconds(1.0))
    assert table.measure_left(suspend(), Seconds(11.0)) == FIRST_TRIAL_SECONDS - 10.0
    assert table.measure_left(suspend(), Seconds(500.0)) > 0.0
