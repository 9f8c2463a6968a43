import pytest

from bergamotwood_core.gateway.streamprogress import (
    MAX_USELESS_BYTES,
    StreamProgress,
    compute_useless_timeout,
    is_later_id,
)


def test_silence_is_no_reason_to_give_up():
    progress = StreamProgress(0.0)
    assert not progress.is_useless(100.0, 2.0)
    progress.record_bytes(10, 100.0)
    progress.record_event(100.0)
    assert not progress.is_useless(200.0, 2.0)


def test_bytes_without_an_event_are_given_up_after_the_time_out():
    progress = StreamProgress(0.0)
    # The first bytes may have waited while the caller read slowly.
    progress.record_bytes(10, 50.0)
    progress.record_bytes(10, 52.0)
    assert not progress.is_useless(52.0, 2.0)
    assert progress.is_useless(52.1, 2.0)


def test_many_useless_bytes_are_given_up_at_once():
    progress = StreamProgress(0.0)
    progress.record_bytes(MAX_USELESS_BYTES, 0.0)
    assert not progress.is_useless(0.0, 2.0)
    progress.record_bytes(1, 0.0)
    assert progress.is_useless(0.0, 2.0)


def test_callers_wait_longer_where_events_are_rare():
    assert compute_useless_timeout(0.1) == 4.0
    assert compute_useless_timeout(1.0) == 8.0


@pytest.mark.parametrize(
    ("event", "last", "is_later"),
    [
        ("2", "1", True),
        ("10", "9", True),
        ("9", "10", False),
        ("007", "7", False),
        ("1", "", True),
        ("b", "a", True),
        ("a", "a", False),
        # `int` refuses so many digits.
        ("9" * 5_000, "1", True),
        ("1", "9" * 5_000, False),
    ],
)
def test_decimal_ids_are_ordered(event, last, is_later):
    assert is_later_id(event, last) is is_later
