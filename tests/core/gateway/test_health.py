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


def note(table, result, now=0.0, incarnation=FIRST):
    table.record_result(E1, incarnation, result, 0.1, Seconds(now))
    return table.find(E1, incarnation)


def test_unreachable_endpoints_pause_longer_each_time_up_to_a_bound():
    table = HealthTable()
    pauses = [note(table, AttemptResult.UNREACHABLE).paused_until for _ in range(6)]
    assert pauses == [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    assert max(pauses) == MAX_PAUSE_SECONDS
    note(table, AttemptResult.OK)
    assert note(table, AttemptResult.UNREACHABLE, now=10.0).paused_until == 10.5


def test_an_endpoint_that_hangs_or_breaks_comes_to_count_as_failing():
    for result in (AttemptResult.SILENT, AttemptResult.BROKEN, AttemptResult.ERROR):
        table = HealthTable()
        for _ in range(4):
            health = note(table, result)
        assert health.failure_rate > FAILING_RATE
        for _ in range(10):
            health = note(table, AttemptResult.OK)
        assert health.failure_rate < FAILING_RATE


def test_a_new_incarnation_begins_anew_and_old_news_of_it_is_void():
    table = HealthTable()
    assert note(table, AttemptResult.REPLACED).is_replaced
    second = Incarnation(2)
    assert not table.find(E1, second).is_replaced
    table.retain(set())
    assert not table.find(E1, FIRST).is_replaced
