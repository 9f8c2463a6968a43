from dataclasses import dataclass

import pytest

from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.rollout import (
    FIRST_SHARE,
    RolloutView,
    hash_affinity_key,
)
from bergamotwood_core.gateway.sessionnews import SessionNews, is_news
from bergamotwood_core.ids import InstanceId, LogIndex, ServiceName, SessionId

ENTRY = InstanceId("e1")
SECONDS = 16.0


@dataclass
class Case:
    """Whether a session is news to the other entries.

    Parameters
    ----------
    point : tuple of float
        Range of the session's hash.
    version : str
        Version that its request is sent to.
    elapsed_seconds, early_share : float
        Of the roll-out.
    outcome : RolloutOutcome
        Of the roll-out.
    expected : bool
        Whether it is news.
    """

    expected: bool
    point: tuple[float, float] = (0.0, FIRST_SHARE)
    version: str = "v1"
    elapsed_seconds: float = 1.0
    early_share: float = 0.0
    outcome: RolloutOutcome = RolloutOutcome.IN_PROGRESS


@pytest.mark.parametrize(
    "case",
    [
        Case(True),
        Case(False, version="v2"),
        Case(False, elapsed_seconds=0.5 * SECONDS),
        Case(False, outcome=RolloutOutcome.COMPLETED),
        Case(False, point=(0.2, 0.3)),
        Case(True, point=(0.2, 0.3), early_share=0.3),
        Case(False, point=(0.5, 1.0), early_share=0.3),
    ],
)
def test_sessions_that_a_share_would_move_are_news(case):
    rollout = ServiceRollout(
        ServiceName("models"), "v2", SECONDS, case.outcome, LogIndex(4), 0.0
    )
    session = next(
        name
        for name in (SessionId(f"s-{at}") for at in range(1_000))
        if case.point[0] <= hash_affinity_key(rollout, name) < case.point[1]
    )
    view = RolloutView(rollout, case.elapsed_seconds, 0.0, case.early_share)
    assert is_news(view, session, case.version) is case.expected


def test_only_sessions_that_an_entry_was_not_told_are_news():
    news = SessionNews()
    # An entry that has not polled gets everything with its first reply.
    assert not news.has_news(ENTRY, ["s1"])
    news.record_sent(ENTRY, ["s1"])
    assert not news.has_news(ENTRY, ["s1"])
    assert not news.has_news(ENTRY, [])
    assert news.has_news(ENTRY, ["s1", "s2"])
    news.record_own(ENTRY, ["s2"])
    assert not news.has_news(ENTRY, ["s1", "s2"])
    news.retain([])
    assert not news.has_news(ENTRY, ["s3"])
