from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.health import (
    FAILING_RATE,
    MAX_PAUSE_SECONDS,
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
        for _ in range(4):
            health = record(table, result)
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
