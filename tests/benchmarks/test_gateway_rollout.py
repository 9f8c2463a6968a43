"""Plays roll-outs under load, and checks what a slower version gets."""

import pytest

from benchmarks.gateway_rollout import CASES, play
from bergamotwood_core.gateway.orders import RolloutOutcome

SEEDS = 20
BAD_CASES = [case for case in CASES if case.is_bad]
GOOD_CASES = [case for case in CASES if not case.is_bad and not case.is_hidden]
HIDDEN_CASES = [case for case in CASES if case.is_hidden]


@pytest.mark.parametrize("case", BAD_CASES, ids=lambda case: case.name)
def test_a_slower_version_is_rolled_back_while_its_slow_answers_are_open(case):
    runs = play(case, 1, SEEDS)
    assert {run.outcome for run in runs} == {RolloutOutcome.ROLLED_BACK}
    assert not any(run.is_overexposed for run in runs)


@pytest.mark.parametrize("case", GOOD_CASES, ids=lambda case: case.name)
def test_a_sound_version_is_completed(case):
    runs = play(case, 1, SEEDS)
    assert {run.outcome for run in runs} == {RolloutOutcome.COMPLETED}


# A version that fails under load only had a third of all requests by the deadline.
@pytest.mark.parametrize("case", HIDDEN_CASES, ids=lambda case: case.name)
def test_a_version_whose_fault_is_not_seen_keeps_within_the_allowed_exposure(case):
    runs = play(case, 1, SEEDS)
    assert not any(run.is_overexposed for run in runs)
    assert {run.outcome for run in runs} == {RolloutOutcome.COMPLETED}
