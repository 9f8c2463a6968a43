from bergamotwood_core.turns import (
    MAX_SHARE_SECONDS,
    WINDOW_SECONDS,
    TurnShare,
    TurnTimer,
)


def test_the_longest_turn_is_kept_for_one_to_two_windows():
    timer = TurnTimer()
    timer.start(10.0)
    assert timer.stop(13.0) == 3.0
    timer.start(13.5)
    timer.stop(13.6)
    assert timer.find_longest(20.0) == 3.0
    assert timer.find_longest(13.0 + WINDOW_SECONDS) == 3.0
    assert timer.find_longest(13.0 + 2 * WINDOW_SECONDS) == 0.0


def test_an_old_turn_is_forgotten_after_a_long_time_without_a_look():
    timer = TurnTimer()
    timer.start(0.0)
    timer.stop(3.0)
    assert timer.find_longest(1_000.0) == 0.0


def test_waiting_counts_for_no_turn():
    timer = TurnTimer()
    assert timer.stop(5.0) == 0.0
    timer.start(10.0)
    timer.stop(10.5)
    assert timer.stop(20.0) == 0.0


def test_a_loop_pauses_once_its_share_of_a_turn_is_used():
    share = TurnShare()
    assert not share.is_used(1, 0.0)
    assert not share.is_used(1, MAX_SHARE_SECONDS)
    assert share.is_used(1, 1.1 * MAX_SHARE_SECONDS)
    assert share.is_used(1, 1.2 * MAX_SHARE_SECONDS)
    assert not share.is_used(2, 1.3 * MAX_SHARE_SECONDS)
