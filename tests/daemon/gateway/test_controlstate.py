import pytest
from core.gateway.samples import make_configuration, make_heartbeat
from daemon.gateway.harness import PlainDialect
from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.changefeed import NO_CURSOR, ChangeFeed
from bergamotwood_core.gateway.limits import RequestCount
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.rollout import RolloutView
from bergamotwood_core.gateway.staleness import MAX_KEPT_AGE_SECONDS
from bergamotwood_core.gateway.state_machine import (
    compress_document,
)
from bergamotwood_core.ids import EndpointId, Incarnation, LogIndex, ServiceName
from bergamotwood_daemon.gateway import controlstate
from bergamotwood_daemon.gateway.controlstate import ControlState
from bergamotwood_daemon.gateway.peermessages import SyncReply

SERVICE = ServiceName("models")


class Clock:
    now = 100.0

    def __call__(self):
        return Seconds(self.now)


def make_control_state(number=5):
    dialect = PlainDialect(make_configuration(number=number))
    clock = Clock()
    return ControlState(dialect, clock, 4.0), dialect, clock


def make_reply(number=5, document=b"x", **changes):
    reply = SyncReply(
        age_seconds=0.2,
        number=number,
        document=compress_document(document) if document else None,
        boot="b",
    )
    return replace(reply, **changes)


def test_the_age_counts_from_when_the_request_was_sent():
    control_state, _, clock = make_control_state()
    control_state.update(make_reply(), Seconds(99.0))
    assert round(control_state.age, 3) == 1.2
    control_state.update(make_reply(document=None), Seconds(98.0))
    assert round(control_state.age, 3) == 1.2
    clock.now += 3.0
    assert round(control_state.age, 3) == 4.2


def test_an_older_configuration_never_replaces_a_newer_one():
    control_state, dialect, clock = make_control_state(7)
    control_state.update(make_reply(7), clock())
    age = control_state.age
    dialect.configuration = make_configuration(number=5)
    clock.now += 1.0
    control_state.update(make_reply(5), clock())
    assert control_state.number == 7
    # The replica lags behind, so its reply does not confirm configuration 7.
    assert control_state.age == age + 1.0


def test_an_unreadable_document_changes_neither_routing_nor_age():
    control_state, _, clock = make_control_state()
    control_state.update(make_reply(document=None, number=5), clock())
    assert control_state.routing is None
    control_state.update(replace(make_reply(), document=b"not compressed"), clock())
    assert control_state.routing is None
    assert control_state.age == float("inf")


def test_a_share_never_shrinks_while_a_rollout_is_in_progress():
    control_state, _, clock = make_control_state()
    rollout = ServiceRollout(
        SERVICE, "v2", 20.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
    )
    for share in (0.1, 0.5, 0.2):
        view = RolloutView(rollout, 3.0, share)
        control_state.update(make_reply(rollouts=(view,)), clock())
    assert control_state.rollouts[SERVICE].share == 0.5
    ended = replace(rollout, outcome=RolloutOutcome.ROLLED_BACK)
    control_state.update(make_reply(rollouts=(RolloutView(ended, 4.0, 0.0),)), clock())
    assert control_state.rollouts[SERVICE].share == 0.0


def test_changes_are_applied_and_those_of_another_run_replace_everything():
    control_state, _, clock = make_control_state()
    feed = ChangeFeed()
    feed.put("e-1", make_heartbeat("e-1"))
    feed.put("e-2", make_heartbeat("e-2"))

    def update(boot="b"):
        cursor = control_state.cursors.endpoints if boot == "b" else NO_CURSOR
        changes = feed.list_changes(cursor)
        control_state.update(make_reply(endpoints=changes, boot=boot), clock())

    update()
    feed.remove("e-1")
    feed.put("e-3", make_heartbeat("e-3"))
    update()
    assert set(control_state.heartbeats) == {"e-2", "e-3"}
    update()
    assert set(control_state.heartbeats) == {"e-2", "e-3"}
    feed.remove("e-2")
    update(boot="c")
    assert set(control_state.heartbeats) == {"e-3"}
    assert control_state.cursors.entries == NO_CURSOR


@pytest.mark.parametrize("age", [1.5, float("inf")], ids=["partitioned", "restarted"])
def test_a_replica_with_an_older_state_replaces_no_endpoints(age):
    """Guards against refusals because a replica has just started without endpoints."""
    control_state, _, clock = make_control_state()
    feed = ChangeFeed()
    feed.put("e-1", make_heartbeat("e-1"))
    current = feed.list_changes(NO_CURSOR)
    control_state.update(make_reply(endpoints=current, silent=("e-9",)), clock())
    cursors = control_state.cursors
    permits = (RequestCount(EndpointId("e-1"), Incarnation(1), 2),)
    old = make_reply(
        endpoints=ChangeFeed().list_changes(NO_CURSOR),
        boot="c",
        age_seconds=age,
        permits=permits,
    )
    control_state.update(old, clock())
    assert set(control_state.heartbeats) == {"e-1"}
    assert control_state.silent_endpoints == {"e-9"}
    assert (control_state.boot, control_state.cursors) == ("b", cursors)
    # What concerns this request only is applied.
    assert control_state.permits == permits
    # Without a confirmation for some time no other state is better.
    clock.now += MAX_KEPT_AGE_SECONDS + 0.1
    control_state.update(old, clock())
    assert control_state.heartbeats == {}


def test_the_first_state_is_applied_whatever_its_age():
    control_state, _, clock = make_control_state()
    feed = ChangeFeed()
    feed.put("e-1", make_heartbeat("e-1"))
    reply = make_reply(endpoints=feed.list_changes(NO_CURSOR), age_seconds=float("inf"))
    control_state.update(reply, clock())
    assert set(control_state.heartbeats) == {"e-1"}


def test_a_state_of_a_newer_level_is_not_applied_and_logged_once(monkeypatch):
    """An older build must not serve by a state that it does not understand."""
    lines = []
    monkeypatch.setattr(
        controlstate,
        "log_event",
        lambda *words, **fields: lines.append((words, fields)),
    )
    control_state, _, clock = make_control_state(7)
    control_state.update(make_reply(5), clock())
    lines.clear()
    own = control_state.own_level
    for _ in range(2):
        control_state.update(make_reply(7, level=own + 1), clock())
    assert control_state.is_too_old
    assert control_state.number == 7
    assert [words[1] for words, _ in lines] == ["Level too old."]
    assert (lines[0][1]["level"], lines[0][1]["group_level"]) == (own, own + 1)
