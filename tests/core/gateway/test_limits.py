import pytest

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.limits import LimitTable, is_valid_limit
from bergamotwood_core.ids import EndpointId, Incarnation

E1 = (EndpointId("e-1"), Incarnation(1))


@pytest.mark.parametrize("value", [0.0, 0.5, 1.0, 1e4])
def test_whole_and_decimal_limits_are_valid(value):
    assert is_valid_limit(value)


@pytest.mark.parametrize("value", [-1.0, 1e9, float("inf"), float("nan")])
def test_other_numbers_are_no_limits(value):
    assert not is_valid_limit(value)


def test_a_limit_ends_only_with_an_answer_to_a_later_request():
    table = LimitTable()
    assert not table.record_answer(E1, None, Seconds(0.0), Seconds(1.0))
    assert table.record_answer(E1, 2.0, Seconds(1.0), Seconds(2.0))
    assert not table.record_answer(E1, 2.0, Seconds(2.0), Seconds(3.0))
    assert not table.record_answer(E1, None, Seconds(2.5), Seconds(3.5))
    assert table.record_answer(E1, None, Seconds(3.1), Seconds(3.6))
    assert not table.record_answer(E1, None, Seconds(4.0), Seconds(4.5))
