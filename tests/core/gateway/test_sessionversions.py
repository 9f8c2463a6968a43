from hypothesis import given
from hypothesis import strategies as st

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.sessionversions import SLACK_SECONDS, SessionVersions
from bergamotwood_core.ids import LogIndex, ServiceName, SessionId

SERVICE = ServiceName("models")
ROLLOUT = ServiceRollout(
    SERVICE, "v2", 20.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
)
TIMEOUT = 5.0


def record(sessions, session, version, now):
    sessions.begin(SERVICE, SessionId(session), version)
    sessions.end(SERVICE, SessionId(session), Seconds(now))


def test_open_sessions_of_other_versions_are_listed_until_they_expire():
    sessions = SessionVersions(TIMEOUT)
    for index in range(200):
        record(sessions, f"s{index}", "v1", 10.0)
    record(sessions, "s0", "v2", 10.0)
    listed = sessions.list_open(ROLLOUT, Seconds(11.0))
    assert 5 < len(listed) < 35
    assert "s0" not in listed
    end = 10.0 + TIMEOUT + SLACK_SECONDS
    assert sessions.find_version(SERVICE, SessionId("s1"), Seconds(14.9)) == "v1"
    assert sessions.find_version(SERVICE, SessionId("s1"), Seconds(end + 0.1)) is None
    assert sessions.list_open(ROLLOUT, Seconds(end + 0.1)) == []


def test_more_open_sessions_are_listed_for_a_larger_share():
    """Guards against sessions that move at one entry while open at another."""
    sessions = SessionVersions(TIMEOUT)
    for index in range(200):
        record(sessions, f"s{index}", "v1", 10.0)
    first = sessions.list_open(ROLLOUT, Seconds(11.0))
    more = sessions.list_open(ROLLOUT, Seconds(11.0), 0.4)
    assert set(first) < set(more)
    assert 55 < len(more) < 105


# A session counted as closed while a request of it took longer than the time-out.
def test_a_session_is_open_while_its_request_runs_and_for_a_time_after_its_end():
    sessions = SessionVersions(TIMEOUT)
    for index in range(200):
        sessions.begin(SERVICE, SessionId(f"s{index}"), "v1")
    running = sessions.list_open(ROLLOUT, Seconds(100.0))
    assert 5 < len(running) < 35
    session = running[0]
    assert sessions.find_version(SERVICE, session, Seconds(100.0)) == "v1"
    sessions.end(SERVICE, session, Seconds(100.0))
    assert sessions.find_version(SERVICE, session, Seconds(104.9)) == "v1"
    assert session in sessions.list_open(ROLLOUT, Seconds(104.9))
    # One that runs does not hide that others before it have expired.
    assert session not in sessions.list_open(ROLLOUT, Seconds(110.0))
    assert len(sessions.list_open(ROLLOUT, Seconds(110.0))) == len(running) - 1


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["begin", "end"]),
            st.sampled_from(["a", "b"]),
            st.sampled_from(["v1", "v2"]),
            st.floats(0.0, 4.0),
        )
    )
)
def test_a_session_is_on_the_version_of_its_latest_request(steps):
    sessions = SessionVersions(TIMEOUT)
    now = 0.0
    running = {"a": 0, "b": 0}
    last = {}
    ended_at = {}
    for step, session, version, pause in steps:
        now += pause
        if step == "begin":
            sessions.begin(SERVICE, SessionId(session), version)
            running[session] += 1
            last[session] = version
        elif running[session]:
            sessions.end(SERVICE, SessionId(session), Seconds(now))
            running[session] -= 1
            ended_at[session] = now
        for name in ("a", "b"):
            is_open = running[name] or (
                name in last and now - ended_at.get(name, now) <= TIMEOUT
            )
            found = sessions.find_version(SERVICE, SessionId(name), Seconds(now))
            if is_open:
                assert found == last[name]
            elif now - ended_at.get(name, -99.0) > TIMEOUT + SLACK_SECONDS:
                assert found is None
