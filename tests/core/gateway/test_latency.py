from bergamotwood_core.gateway.latency import LatencyTable, Timing
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
