import pytest

from bergamotwood_core.gateway.latency import (
    MAX_PAIRS,
    LatencyTable,
    Timing,
    merge_latencies,
)
from bergamotwood_core.ids import ModelName

SMALL = ModelName("small")
TYPICAL = Timing(0.5, 1.5, 10)


def make_table(timing=TYPICAL, samples=10):
    table = LatencyTable()
    for _ in range(samples):
        table.record("r", SMALL, timing)
    return table


def test_no_answer_is_slow_before_enough_samples():
    assert not make_table(samples=3).is_slow("r", SMALL, Timing(50.0, 500.0, 10))
    assert not make_table().is_slow("other", SMALL, Timing(50.0, 500.0, 10))


def test_stream_with_slow_events_or_a_late_start_is_slow():
    table = make_table()
    assert table.is_slow("r", SMALL, Timing(0.5, 8.5, 10))
    assert table.is_slow("r", SMALL, Timing(4.5, 5.5, 10))
    assert not table.is_slow("r", SMALL, Timing(2.0, 3.5, 10))


def test_plain_answer_is_judged_by_its_total_time():
    table = make_table(Timing(0.02, 0.02))
    assert table.is_slow("r", SMALL, Timing(0.16, 0.16))
    assert not table.is_slow("r", SMALL, Timing(0.05, 0.05))


def test_stream_duration_is_estimated_from_expected_tokens():
    table = LatencyTable()
    assert table.estimate("r", SMALL, 300) is None
    for factor in (0.5, 1.0, 2.0, 1.0, 0.5, 2.0):
        table.record("r", SMALL, TYPICAL, int(30 * factor))
    assert abs(table.estimate("r", SMALL, 300) - 10.5) < 0.5


def test_no_estimate_from_answers_without_expected_tokens():
    assert make_table().estimate("r", SMALL, 300) is None


def test_entries_that_see_few_answers_know_their_duration_together():
    tables = [LatencyTable() for _ in range(50)]
    for table in tables:
        table.record("r", ModelName("large"), Timing(0.5, 5.5, 10), 100)
        assert table.estimate("r", ModelName("large"), 200) is None
    pooled = merge_latencies(table.list_averages() for table in tables)
    tables[0].pooled = pooled
    assert tables[0].estimate("r", ModelName("large"), 200) == pytest.approx(
        10.5, rel=0.01
    )
    assert tables[0].is_slow("r", ModelName("large"), Timing(6.0, 11.0, 10))
    assert not tables[0].is_slow("r", ModelName("large"), Timing(0.6, 5.5, 10))


def test_pooled_averages_are_weighted_by_samples():
    one, other = LatencyTable(), LatencyTable()
    for _ in range(3):
        one.record("r", ModelName(""), Timing(1.0, 1.0))
    other.record("r", ModelName(""), Timing(5.0, 5.0))
    merged = merge_latencies([one.list_averages(), other.list_averages()])
    assert merged["r"][ModelName("")].total_ms == 2_000
    again = merge_latencies([merged, one.list_averages()])
    assert again["r"][ModelName("")].samples == 7


def test_reports_stay_small_with_many_routes():
    tables = [LatencyTable() for _ in range(3)]
    for number, table in enumerate(tables):
        for at in range(1_400):
            table.record(f"r{number}-{at}", SMALL, TYPICAL)
        for _ in range(5):
            table.record("busy", SMALL, TYPICAL)
        assert len(table.list_averages()) == MAX_PAIRS
    merged = merge_latencies(table.list_averages() for table in tables)
    assert len(merged) == MAX_PAIRS
    assert merged["busy"][SMALL].samples == 15
