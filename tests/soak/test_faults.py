from collections import Counter
from random import Random

from bergamotwood_soak.faults import (
    LINK_FAULT_SECONDS,
    WEIGHTS,
    DisturbLink,
    draw_fault,
)


def test_fault_kinds_are_drawn_in_proportion_to_their_weights():
    rng = Random(4)
    drawn = [draw_fault(rng) for _ in range(10_000)]
    counts = Counter(type(fault) for fault in drawn)
    for kind, weight in WEIGHTS.items():
        assert abs(counts[kind] / 100.0 - weight) < 2.0
    shortest, longest = LINK_FAULT_SECONDS
    assert all(
        shortest <= fault.seconds <= longest
        for fault in drawn
        if isinstance(fault, DisturbLink)
    )


def test_same_seed_draws_the_same_fault():
    assert draw_fault(Random(213)) == draw_fault(Random(213))
