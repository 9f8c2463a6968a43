import pytest

from bergamotwood_core.gateway.staleness import has_learned, is_outdated

INFINITE = float("inf")


@pytest.mark.parametrize(
    ("reply_age", "own_age", "expected"),
    [
        (0.2, 0.1, False),
        (0.8, 0.0, False),
        (1.5, 0.3, True),
        (INFINITE, 0.3, True),
        # Without a leader all replicas and copies grow old together.
        (2.5, 2.4, False),
        (2.5, 1.7, False),
        (INFINITE, 3.1, False),
        (INFINITE, INFINITE, False),
    ],
)
def test_a_state_is_outdated_beside_a_recent_copy_that_is_newer(
    reply_age, own_age, expected
):
    assert is_outdated(reply_age, own_age) is expected


@pytest.mark.parametrize(
    ("seconds", "relays", "expected"),
    [(0.1, 0, False), (0.9, 2, False), (0.3, 3, True), (1.0, 0, True)],
)
def test_a_replica_has_learned_after_some_relays_or_a_time(seconds, relays, expected):
    assert has_learned(seconds, relays) is expected
