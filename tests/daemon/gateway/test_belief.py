from core.gateway.samples import make_configuration
from daemon.gateway.desk import PlainDialect
from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.rollout import RolloutView
from bergamotwood_core.gateway.state_machine import (
    RolloutOutcome,
    ServiceRollout,
    compress_document,
)
from bergamotwood_core.ids import LogIndex, ServiceName
from bergamotwood_daemon.gateway.belief import Belief
from bergamotwood_daemon.gateway.peering import SyncReply

SERVICE = ServiceName("models")


class Clock:
    now = 100.0

    def __call__(self):
        return Seconds(self.now)


def make_belief(number=5):
    dialect = PlainDialect(make_configuration(number=number))
    clock = Clock()
    return Belief(dialect, clock, 4.0), dialect, clock


def make_reply(number=5, document=b"x", **changes):
    reply = SyncReply(
        age_seconds=0.2,
        replicas=("c:1",),
        number=number,
        document=compress_document(document) if document else None,
        rollouts=(),
        boot="b",
        version=1,
        beats=(),
        entries=(),
    )
    return replace(reply, **changes)


def test_the_age_counts_from_when_the_question_was_sent():
    belief, _, clock = make_belief()
    belief.take(make_reply(), Seconds(99.0))
    assert round(belief.age, 3) == 1.2
    belief.take(make_reply(document=None), Seconds(98.0))
    assert round(belief.age, 3) == 1.2
    clock.now += 3.0
    assert round(belief.age, 3) == 4.2


def test_an_older_configuration_never_comes_back():
    belief, dialect, clock = make_belief(7)
    belief.take(make_reply(7), clock())
    age = belief.age
    dialect.configuration = make_configuration(number=5)
    clock.now += 1.0
    belief.take(make_reply(5), clock())
    assert belief.number == 7
    # The replica is behind, so what it confirms says nothing of number 7.
    assert belief.age == age + 1.0


def test_an_unreadable_document_changes_nothing_and_confirms_nothing():
    belief, _, clock = make_belief()
    belief.take(make_reply(document=None, number=5), clock())
    assert belief.routing is None
    belief.take(replace(make_reply(), document=b"not compressed"), clock())
    assert belief.routing is None
    assert belief.age == float("inf")


def test_a_share_never_shrinks_while_a_rollout_is_in_progress():
    belief, _, clock = make_belief()
    rollout = ServiceRollout(
        SERVICE, "v2", 20.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
    )
    for share in (0.1, 0.5, 0.2):
        view = RolloutView(rollout, 3.0, share)
        belief.take(make_reply(rollouts=(view,)), clock())
    assert belief.rollouts[SERVICE].share == 0.5
    ended = replace(rollout, outcome=RolloutOutcome.ROLLED_BACK)
    belief.take(make_reply(rollouts=(RolloutView(ended, 4.0, 0.0),)), clock())
    assert belief.rollouts[SERVICE].share == 0.0
