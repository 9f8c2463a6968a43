import pytest

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.health import (
    FAILING_RATE,
    MAX_PAUSE_SECONDS,
    SILENCE_SECONDS,
    AttemptResult,
    HealthTable,
)
from bergamotwood_core.ids import EndpointId, Incarnation

E1 = EndpointId("e-1")
FIRST = Incarnation(1)


def record(table, result, now=0.0, incarnation=FIRST):
    table.record_result(E1, incarnation, result, 0.1, Seconds(now))
    return table.find(E1, incarnation)


def test_pause_of_an_unreachable_endpoint_doubles_up_to_the_maximum():
    table = HealthTable()
    pauses = [record(table, AttemptResult.UNREACHABLE).paused_until for _ in range(6)]
    assert pauses == [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    assert max(pauses) == MAX_PAUSE_SECONDS
    record(table, AttemptResult.OK)
    assert record(table, AttemptResult.UNREACHABLE, now=10.0).paused_until == 10.5


def test_failed_attempts_raise_the_failure_rate_above_the_threshold():
    for result in (AttemptResult.SILENT, AttemptResult.BROKEN, AttemptResult.ERROR):
        table = HealthTable()
        for at in range(4):
            health = record(table, result, now=SILENCE_SECONDS * at)
        assert health.failure_rate > FAILING_RATE
        for _ in range(10):
            health = record(table, AttemptResult.OK)
        assert health.failure_rate < FAILING_RATE


def test_new_incarnation_or_removed_endpoint_starts_with_empty_health():
    table = HealthTable()
    assert record(table, AttemptResult.REPLACED).is_replaced
    second = Incarnation(2)
    assert not table.find(E1, second).is_replaced
    table.retain(set())
    assert not table.find(E1, FIRST).is_replaced


@pytest.mark.parametrize("pause", [0.5, 1.0, 1.5])
def test_an_endpoint_that_pauses_now_and_then_is_not_taken_for_failing(pause):
    # Ten requests a second, which are given up after 0.4 s; a pause every 3 s.
    table = HealthTable()
    for at in (0.1 * step for step in range(300)):
        is_silent = at % 3.0 < pause and (at + 0.4) % 3.0 < pause + 0.4
        result = AttemptResult.SILENT if is_silent else AttemptResult.OK
        if result is AttemptResult.OK:
            table.record_traffic(E1, FIRST, Seconds(at))
        assert record(table, result, now=at).failure_rate <= FAILING_RATE


def test_an_endpoint_that_leaves_every_other_request_unanswered_is_failing():
    table = HealthTable()
    for step in range(40):
        at = 0.1 * step
        if step % 2:
            table.record_traffic(E1, FIRST, Seconds(at))
        result = AttemptResult.OK if step % 2 else AttemptResult.SILENT
        health = record(table, result, now=at)
    assert health.failure_rate > FAILING_RATE
