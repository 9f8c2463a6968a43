from bergamotwood_core.gateway.call import PromptPart
from bergamotwood_core.gateway.prefill import (
    INITIAL_SECONDS_PER_TOKEN,
    PrefillRate,
    PrefixCacheIndex,
)
from bergamotwood_core.ids import EndpointId, Incarnation, ModelName

E1, FIRST, SMALL = EndpointId("e-1"), Incarnation(1), ModelName("small")
PROMPT = (PromptPart("a", 100), PromptPart("b", 50))


def test_rate_ignores_prompts_that_waited():
    rate = PrefillRate()
    assert rate.estimate(SMALL, 1000) == 1000 * INITIAL_SECONDS_PER_TOKEN
    for waited in (0.0, 0.0, 3.0, 9.0, 1.0, 0.0, 5.0, 0.2):
        rate.record(SMALL, 1000, 0.1 + waited)
    assert abs(rate.estimate(SMALL, 2000) - 0.2) < 0.01
    rate.record(SMALL, 10, 5.0)
    assert rate.estimate(SMALL, 2000) < 0.3


def test_part_counts_as_cached_only_after_all_parts_before_it():
    index = PrefixCacheIndex()
    index.record(E1, FIRST, SMALL, PROMPT)
    assert index.count_cached(E1, FIRST, SMALL, PROMPT) == 150
    assert index.count_cached(E1, FIRST, SMALL, PROMPT[::-1]) == 150
    other = (PromptPart("x", 10), *PROMPT)
    assert index.count_cached(E1, FIRST, SMALL, other) == 0
    assert index.count_cached(E1, FIRST, ModelName("large"), PROMPT) == 0
    assert index.count_cached(E1, Incarnation(2), SMALL, PROMPT) == 0
