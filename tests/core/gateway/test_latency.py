from bergamotwood_core.gateway.latency import LatencyTable, Timing
from bergamotwood_core.ids import ModelName

SMALL = ModelName("small")
USUAL = Timing(0.5, 1.5, 10)


def make_table(timing=USUAL, samples=10):
    table = LatencyTable()
    for _ in range(samples):
        table.record("r", SMALL, timing)
    return table


def test_nothing_is_slow_before_the_usual_is_known():
    assert not make_table(samples=3).is_slow("r", SMALL, Timing(50.0, 500.0, 10))
    assert not make_table().is_slow("other", SMALL, Timing(50.0, 500.0, 10))


def test_slow_events_and_a_late_start_are_slow():
    table = make_table()
    assert table.is_slow("r", SMALL, Timing(0.5, 8.5, 10))
    assert table.is_slow("r", SMALL, Timing(4.5, 5.5, 10))
    assert not table.is_slow("r", SMALL, Timing(2.0, 3.5, 10))


def test_plain_answers_are_slow_by_their_whole_time():
    table = make_table(Timing(0.02, 0.02))
    assert table.is_slow("r", SMALL, Timing(0.16, 0.16))
    assert not table.is_slow("r", SMALL, Timing(0.05, 0.05))


def test_a_stream_is_estimated_from_its_expected_tokens():
    table = LatencyTable()
    assert table.estimate("r", SMALL, 300) is None
    for factor in (0.5, 1.0, 2.0, 1.0, 0.5, 2.0):
        table.record("r", SMALL, USUAL, int(30 * factor))
    assert abs(table.estimate("r", SMALL, 300) - 10.5) < 0.5


def test_answers_without_an_expectation_give_no_estimate():
    assert make_table().estimate("r", SMALL, 300) is None
