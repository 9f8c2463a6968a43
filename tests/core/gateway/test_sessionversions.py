from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.sessionversions import SessionVersions
from bergamotwood_core.ids import LogIndex, ServiceName, SessionId

SERVICE = ServiceName("models")
ROLLOUT = ServiceRollout(
    SERVICE, "v2", 20.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
)


def test_open_sessions_of_other_versions_are_listed_until_they_expire():
    sessions = SessionVersions(5.0)
    for index in range(200):
        sessions.record(SERVICE, SessionId(f"s{index}"), "v1", Seconds(10.0))
    sessions.record(SERVICE, SessionId("s0"), "v2", Seconds(10.0))
    listed = sessions.list_open(ROLLOUT, Seconds(11.0))
    assert 5 < len(listed) < 35
    assert "s0" not in listed
    assert sessions.find_version(SERVICE, SessionId("s1"), Seconds(14.9)) == "v1"
    assert sessions.find_version(SERVICE, SessionId("s1"), Seconds(15.1)) is None
    assert sessions.list_open(ROLLOUT, Seconds(15.1)) == []


def test_more_open_sessions_are_listed_for_a_larger_share():
    """Guards against sessions that move at one entry while open at another."""
    sessions = SessionVersions(5.0)
    for index in range(200):
        sessions.record(SERVICE, SessionId(f"s{index}"), "v1", Seconds(10.0))
    first = sessions.list_open(ROLLOUT, Seconds(11.0))
    more = sessions.list_open(ROLLOUT, Seconds(11.0), 0.4)
    assert set(first) < set(more)
    assert 55 < len(more) < 105
