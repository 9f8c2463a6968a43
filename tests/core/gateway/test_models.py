from bergamotwood_core.gateway.models import choose_first_model, choose_next_model

MODELS = ("s", "m", "l")
HELD = set(MODELS)


def test_the_smallest_held_model_is_asked_first():
    assert choose_first_model(MODELS, HELD) == "s"
    assert choose_first_model(MODELS, {"m", "l"}) == "m"
    assert choose_first_model(MODELS, set()) is None


def test_a_doubtful_answer_is_asked_again_of_the_largest():
    assert choose_next_model(MODELS, HELD, "s", 0.2) == "l"
    assert choose_next_model(MODELS, {"s", "m"}, "s", 0.2) == "m"


def test_an_answer_is_kept_when_it_is_good_or_nothing_larger_is_there():
    assert choose_next_model(MODELS, HELD, "s", 0.9) is None
    assert choose_next_model(MODELS, HELD, "l", 0.1) is None
    assert choose_next_model(MODELS, HELD, "s", None) is None
    assert choose_next_model(MODELS, {"s"}, "s", 0.1) is None
