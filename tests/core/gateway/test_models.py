from random import Random

from bergamotwood_core.gateway.latency import LatencyTable, Timing
from bergamotwood_core.gateway.models import (
    can_finish_in_time,
    choose_first_model,
    choose_next_model,
)

MODELS = ("s", "m", "l")
HELD = set(MODELS)


def choose_next(held, current, confidence, in_time=HELD):
    return choose_next_model(
        MODELS, held, current, confidence, lambda model: model in in_time
    )


def test_the_smallest_held_model_is_asked_first():
    assert choose_first_model(MODELS, HELD) == "s"
    assert choose_first_model(MODELS, {"m", "l"}) == "m"
    assert choose_first_model(MODELS, set()) is None


def test_a_doubtful_answer_is_asked_again_of_the_largest():
    assert choose_next(HELD, "s", 0.2) == "l"
    assert choose_next({"s", "m"}, "s", 0.2) == "m"


def test_an_answer_is_kept_when_it_is_good_or_nothing_larger_is_there():
    assert choose_next(HELD, "s", 0.9) is None
    assert choose_next(HELD, "l", 0.1) is None
    assert choose_next(HELD, "s", None) is None
    assert choose_next({"s"}, "s", 0.1) is None


def test_a_larger_model_without_time_is_left_out():
    assert choose_next(HELD, "s", 0.2, in_time={"s", "m"}) == "m"
    assert choose_next(HELD, "s", 0.2, in_time=set()) is None


def test_an_unknown_time_allows_a_try():
    assert can_finish_in_time(None, 1.0)
    assert can_finish_in_time(9.9, 10.0)
    assert not can_finish_in_time(10.1, 10.0)


def play_long_answers(choose, rng, callers=400):
    """Return callers served, and engine seconds spent on answers that nobody got.

    The large model makes an event in 0.2 s and callers wait for 20 s; their
    estimates of the answer's length are off by half as a rule.
    """
    pace = LatencyTable()
    served = 0
    wasted = 0.0
    for _ in range(callers):
        events = int(rng.lognormvariate(3.6, 0.9)) + 1
        expected = int(3 * events * rng.lognormvariate(0.0, 0.5)) + 1
        if not choose(pace.estimate("r", "l", expected)):
            # The answer of the small model is delivered.
            served += 1
            continue
        seconds = 0.5 + 0.2 * events
        if seconds > 20.0:
            wasted += 20.0
            continue
        served += 1
        pace.record("r", "l", Timing(0.5, seconds, events), expected)
    return served, wasted


def test_long_answers_are_served_by_a_model_that_ends_in_time():
    before, wasted_before = play_long_answers(lambda seconds: True, Random(5))
    after, wasted_after = play_long_answers(
        lambda seconds: can_finish_in_time(seconds, 20.0), Random(5)
    )
    assert after > before
    assert wasted_after < 0.4 * wasted_before
