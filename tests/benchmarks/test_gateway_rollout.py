"""Plays roll-outs under load, and checks what a slower version gets."""

import pytest

from benchmarks.gateway_rollout import CASES, play
from bergamotwood_core.gateway.orders import RolloutOutcome

SEEDS = 20
BAD_CASES = [case for case in CASES if case.is_bad]
GOOD_CASES = [case for case in CASES if not case.is_bad]


@pytest.mark.parametrize("case", BAD_CASES, ids=lambda case: case.name)
def test_a_slower_version_is_rolled_back_while_its_slow_answers_are_open(case):
    runs = play(case, 1, SEEDS)
    assert {run.outcome for run in runs} == {RolloutOutcome.ROLLED_BACK}
    assert not any(run.is_overexposed for run in runs)


@pytest.mark.parametrize("case", GOOD_CASES, ids=lambda case: case.name)
def test_a_sound_version_is_completed(case):
    runs = play(case, 1, SEEDS)
    assert {run.outcome for run in runs} == {RolloutOutcome.COMPLETED}
