from random import Random

import pytest

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.notices import (
    LEAVE_REPORT_SECONDS,
    MAX_PAUSE_SECONDS,
    PAUSE_SPREAD,
    RETURN_STEP_SECONDS,
    LeavingEndpoint,
    NoticeTable,
    compute_return,
)
from bergamotwood_core.ids import EndpointId, Incarnation

E1 = EndpointId("e-1")
FIRST, SECOND = Incarnation(1), Incarnation(2)
NOW = Seconds(100.0)


@pytest.fixture
def table():
    return NoticeTable(Random(1))


def test_a_leaving_incarnation_stays_so_and_a_new_one_does_not(table):
    assert table.record_leaving(E1, FIRST, NOW)
    assert not table.record_leaving(E1, FIRST, NOW + 1.0)
    table.expire(Seconds(NOW + 600.0))
    assert table.is_leaving(E1, FIRST)
    assert not table.is_leaving(E1, SECOND)


def test_a_leave_notice_is_reported_for_a_short_time(table):
    table.record_leaving(E1, FIRST, NOW)
    assert table.list_leaving(NOW) == (LeavingEndpoint(E1, FIRST),)
    assert table.list_leaving(Seconds(NOW + LEAVE_REPORT_SECONDS)) == ()


def test_a_pause_lasts_as_long_as_asked_and_ends_spread(table):
    table.record_pause(E1, FIRST, 4.0, NOW)
    assert 4.0 <= table.measure_pause(E1, FIRST, NOW) <= 4.0 * (1.0 + PAUSE_SPREAD)
    assert table.measure_pause(E1, FIRST, Seconds(NOW + 5.0)) == 0.0
    assert table.measure_pause(E1, SECOND, NOW) == 0.0


def test_a_later_shorter_pause_does_not_end_a_longer_one(table):
    table.record_pause(E1, FIRST, 10.0, NOW)
    table.record_pause(E1, FIRST, 0.5, Seconds(NOW + 1.0))
    assert table.measure_pause(E1, FIRST, Seconds(NOW + 9.0)) > 0.0


def test_a_pause_is_bounded(table):
    table.record_pause(E1, FIRST, 1e12, NOW)
    limit = MAX_PAUSE_SECONDS * (1.0 + PAUSE_SPREAD)
    assert table.measure_pause(E1, FIRST, NOW) <= limit


def test_urgent_callers_return_first_and_equal_ones_are_spread():
    rng = Random(1)
    urgent = [compute_return(2.0, 0, rng) for _ in range(100)]
    other = [compute_return(2.0, 1, rng) for _ in range(100)]
    assert min(urgent) >= 2.0
    assert max(urgent) < min(other)
    assert max(urgent) - min(urgent) > 0.5 * RETURN_STEP_SECONDS
