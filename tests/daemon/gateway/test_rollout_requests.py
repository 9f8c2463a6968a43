"""Requests at an entry while a version is rolled out."""

import pytest
from core.gateway.samples import PLAIN
from gevent import sleep
from msgspec.structs import replace

from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.rollout import (
    FIRST_SHARE,
    RolloutView,
    hash_affinity_key,
)
from bergamotwood_core.ids import LogIndex, SessionId

ROLLOUT = ServiceRollout(
    PLAIN, "v2", 15.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
)
ROLLED_BACK = replace(ROLLOUT, outcome=RolloutOutcome.ROLLED_BACK)
# A session that the first share moves.
SESSION = next(
    name
    for name in (SessionId(f"s-{at}") for at in range(1_000))
    if hash_affinity_key(ROLLOUT, name) < FIRST_SHARE
)
# One that it doesn't move.
OTHER_SESSION = next(
    name
    for name in (SessionId(f"s-{at}") for at in range(1_000))
    if hash_affinity_key(ROLLOUT, name) > 0.5
)
# The version of each endpoint in the tests.
VERSIONS = {"old": "v1", "new": "v2"}


def begin_rollout(harness, share):
    harness.heartbeats = [
        replace(heartbeat, version=VERSIONS[heartbeat.endpoint])
        for heartbeat in harness.heartbeats
    ]
    harness.sync(rollouts=(RolloutView(ROLLOUT, 10.0, share),))


def test_a_request_is_not_sent_to_a_version_that_was_rolled_back_meanwhile(
    make_harness,
):
    """Guards against sends after a verdict: opening a connection may take 0.6 s."""
    harness = make_harness(old=lambda a: a.answer(), new=lambda a: a.answer())
    begin_rollout(harness, 1.0)
    pool = harness.entry.pool
    acquire = pool.acquire

    def roll_back(address, must_be_new):
        pool.acquire = acquire
        harness.sync(rollouts=(RolloutView(ROLLED_BACK, 10.1, 0.0),))
        return acquire(address, must_be_new)

    pool.acquire = roll_back
    assert harness.connect().call().status == 200
    assert [a.headers["endpoint"] for a in harness.list_arrivals()] == ["old"]


@pytest.mark.parametrize(("share", "reports"), [(1.0, 1), (0.0, 0)])
def test_a_bad_response_of_the_new_version_is_reported_at_once(
    make_harness, share, reports
):
    """Guards against evidence that waits for the next poll."""
    harness = make_harness(
        old=lambda a: a.answer(status=500), new=lambda a: a.answer(status=500)
    )
    begin_rollout(harness, share)
    made = []
    harness.entry.poller.report_soon = lambda: made.append(1)
    for _ in range(3):
        harness.connect().call("POST", id="q-1")
    # Those that follow within 0.2 s wait for the next poll.
    assert len(made) == reports


def begin_next_rollout(harness):
    """Add an endpoint of a third version; return the view of its roll-out."""
    versions = {**VERSIONS, "next": "v3"}
    harness.heartbeats = [
        replace(heartbeat, version=versions[heartbeat.endpoint])
        for heartbeat in harness.heartbeats
    ]
    return RolloutView(replace(ROLLOUT, target="v3", index=LogIndex(9)), 2.0, 0.5)


def list_served(harness):
    for at in range(40):
        assert harness.connect().call(id=f"q-{at}").status == 200
    return {a.headers["endpoint"] for a in harness.list_arrivals()}


def answer(arrival):
    arrival.answer()


# With the order of a third version, the endpoints of a rolled-back one served again.
def test_a_rolled_back_version_gets_no_request_once_the_next_one_is_ordered(
    make_harness,
):
    harness = make_harness(old=answer, new=answer, next=answer)
    view = begin_next_rollout(harness)
    harness.sync(rollouts=(RolloutView(ROLLED_BACK, 3.0, 0.0),))
    harness.sync(rollouts=(view,))
    assert list_served(harness) == {"old", "next"}


def test_an_entry_that_hears_of_the_newest_order_only_is_told_of_those_before(
    make_harness,
):
    harness = make_harness(old=answer, new=answer, next=answer)
    view = begin_next_rollout(harness)
    harness.sync(
        rollouts=(view,), withdrawn={PLAIN: ("v2",)}, withdrawn_index=LogIndex(7)
    )
    assert list_served(harness) == {"old", "next"}


# A session of a rolled-back version went to the old one, and on to the new one later.
@pytest.mark.parametrize(("elapsed", "endpoint"), [(2.0, "old"), (10.0, "next")])
def test_a_session_of_a_rolled_back_version_moves_to_the_next_one_in_its_second_half(
    make_harness, elapsed, endpoint
):
    harness = make_harness(old=answer, new=answer, next=answer)
    view = begin_next_rollout(harness)
    session = next(
        name
        for name in (SessionId(f"s-{at}") for at in range(1_000))
        if hash_affinity_key(ROLLOUT, name) < FIRST_SHARE
        and hash_affinity_key(view.rollout, name) > FIRST_SHARE
    )
    harness.sync(rollouts=(RolloutView(ROLLOUT, 3.0, FIRST_SHARE),))
    assert harness.connect().call(session=session, id="q-1").status == 200
    harness.sync(rollouts=(RolloutView(ROLLED_BACK, 3.0, 0.0),))
    harness.sync(rollouts=(replace(view, elapsed_seconds=elapsed, share=FIRST_SHARE),))
    assert harness.connect().call(session=session, id="q-2").status == 200
    arrivals = {a.headers["endpoint"] for a in harness.list_arrivals()}
    assert arrivals == {"new", endpoint}


def test_sessions_on_a_rolled_back_version_are_reported_to_the_other_entries(
    make_harness,
):
    harness = make_harness(old=answer, new=answer, next=answer)
    view = begin_next_rollout(harness)
    harness.sync(rollouts=(RolloutView(ROLLOUT, 3.0, FIRST_SHARE),))
    assert harness.connect().call(session=SESSION, id="q-1").status == 200
    assert harness.entry._make_status().withdrawn_sessions == ()
    harness.sync(rollouts=(RolloutView(ROLLED_BACK, 3.0, 0.0),))
    harness.sync(rollouts=(view,))
    assert harness.entry._make_status().withdrawn_sessions == (SESSION,)
    harness.clock_offset += harness.entry.settings.bounds.session_timeout_seconds + 2.0
    assert harness.entry._make_status().withdrawn_sessions == ()


def test_a_session_that_another_entry_had_on_a_rolled_back_version_moves_at_once(
    make_harness,
):
    harness = make_harness(old=answer, new=answer, next=answer)
    view = replace(begin_next_rollout(harness), elapsed_seconds=10.0, share=0.01)
    harness.sync(rollouts=(view,), withdrawn_sessions=(OTHER_SESSION,))
    assert harness.connect().call(session=OTHER_SESSION, id="q-1").status == 200
    assert [a.headers["endpoint"] for a in harness.list_arrivals()] == ["next"]


# Requests longer than the time-out of a session let it move in the first half.
@pytest.mark.parametrize("ends_by_caller", [False, True])
def test_a_session_stays_on_its_version_while_a_long_request_of_it_runs(
    make_harness, ends_by_caller
):
    harness = make_harness(old=answer_slowly, new=answer)
    begin_rollout(harness, 0.0)
    harness.heartbeats = harness.heartbeats[:1]
    harness.sync()
    timeout = harness.entry.settings.bounds.session_timeout_seconds
    caller = harness.connect()
    caller.send(path="/a/slow", session=SESSION, id="q-1")
    harness.endpoints["old"].arrived.wait(5.0)
    harness.clock_offset += timeout + 2.0
    view = RolloutView(ROLLOUT, 5.0, 1.0)
    harness.sync(rollouts=(view,))
    status = harness.entry._make_status()
    assert status.open_sessions == (SESSION,)
    if ends_by_caller:
        caller.close()
    sleep(1.0)
    harness.clock_offset += timeout - 2.0
    assert harness.entry._make_status().open_sessions == (SESSION,)
    harness.clock_offset += 6.0
    assert harness.entry._make_status().open_sessions == ()


# A session moved when its second request came to another entry 0.1 s after the first.
@pytest.mark.parametrize(
    ("session", "share", "known", "reports"),
    [
        (SESSION, 0.0, (), 1),
        (SESSION, FIRST_SHARE, (), 0),
        (SESSION, 0.0, (SESSION,), 0),
        (OTHER_SESSION, 0.0, (), 0),
    ],
)
def test_a_session_that_begins_on_the_old_version_is_reported_at_once(
    make_harness, session, share, known, reports
):
    harness = make_harness(old=answer, new=answer)
    begin_rollout(harness, share)
    view = RolloutView(ROLLOUT, 1.0, share)
    harness.sync(rollouts=(view,), open_sessions=known)
    made = []
    harness.entry.poller.report_soon = lambda: made.append(1)
    for at in range(3):
        assert harness.connect().call(session=session, id=f"q-{at}").status == 200
    assert len(made) == reports


def answer_slowly(arrival):
    if arrival.target == "/a/slow":
        sleep(0.5)
    arrival.answer()
