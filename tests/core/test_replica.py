from random import Random

import pytest
from core.logcluster import Cluster, InvariantError

from bergamotwood_core import follower, replica, replication
from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import InstanceId, ReplicaId, Term
from bergamotwood_core.logentries import HardState, SavedState
from bergamotwood_core.logmessages import Append
from bergamotwood_core.membership import Genesis, Member, Membership
from bergamotwood_core.replicastate import ReplicaSettings

STEPS = 3000


def run_seeds(seeds, **options):
    for seed in seeds:
        size = 5 if seed % 3 == 0 else 3
        Cluster(seed, size, **options).run(STEPS)


@pytest.mark.parametrize("seed", range(20))
def test_the_log_keeps_its_promises_through_faults(seed):
    cluster = Cluster(seed, size=5 if seed % 3 == 0 else 3)
    cluster.run(STEPS)
    reached = len(cluster.committed)
    cluster.settle(10.0)
    assert len(cluster.committed) > reached > 0


@pytest.mark.parametrize("seed", range(6))
def test_a_group_grows_through_faults(seed):
    cluster = Cluster(seed, size=5 if seed % 3 == 0 else 3, first=1)
    cluster.part_bytes = 2000
    cluster.run(500)
    cluster.grow()
    cluster.run(STEPS)
    cluster.settle(30.0)
    leader = cluster.find_leader()
    assert len(leader.replica.membership.voters) == len(cluster.names)


def test_a_leader_sends_nothing_in_a_term_that_is_not_on_disk():
    voter = Member(InstanceId("a"), ReplicaId("ra"), voting=True)
    learner = Member(InstanceId("b"), ReplicaId("rb"), voting=False)
    genesis = Genesis("ra", Membership((voter, learner)))
    saved = SavedState(voter.replica, genesis)
    settings = ReplicaSettings(voter.instance, (voter.instance,))
    alone = replica.Replica(settings, saved, 1, Random(1), Seconds(0.0))
    alone.tick(Seconds(0.1))
    effects = alone.take_effects()
    assert HardState(Term(1), voter.replica) in effects.records
    assert effects.eager == []
    assert [type(sent.message.body) for sent in effects.messages] == [Append]


def test_an_amnesiac_voter_that_votes_is_caught():
    with pytest.raises(InvariantError, match="lacks committed entry"):
        run_seeds((0, 4, 8), keep_identity=True)


def test_a_stale_leader_that_orders_is_caught(monkeypatch):
    monkeypatch.setattr(
        replica.Replica, "holds_lease", lambda self, now: self.is_leader
    )
    with pytest.raises(InvariantError, match="orders in term"):
        run_seeds((11, 16, 24))


def test_a_leader_that_counts_ages_from_receipt_is_caught(monkeypatch):
    def note_reply(progress, body, now):
        progress.acked_at = now
        progress.acked_sent = now
        progress.stamp = body.stamp

    monkeypatch.setattr(replication, "_note_reply", note_reply)
    with pytest.raises(InvariantError, match="says that it is as new as"):
        run_seeds((16, 53))


def test_a_follower_that_counts_ages_from_receipt_is_caught(monkeypatch):
    def note_age(state, body):
        if body.age is not None and state.commit >= body.commit:
            state.confirm(Seconds(state.heard_at - body.age))

    monkeypatch.setattr(follower, "_note_age", note_age)
    with pytest.raises(InvariantError, match="says that it is as new as"):
        run_seeds((0, 1, 2))


def overwrite_an_entry_of_an_old_term():
    """Replicate an entry of an old term to a majority, then elect its rival."""
    cluster = Cluster(seed=1, size=5, faults=False)
    cluster.settle(10.0)
    cluster.restart_all()
    a, b, c, d, e = sorted(
        cluster.nodes.values(),
        key=lambda node: node.replica.state.log.last_index,
        reverse=True,
    )
    cluster.elect(a, cluster.names)
    cluster.start_round(a)
    cluster.exchange(cluster.names)
    a.replica.propose([b"x" * 100], cluster.clock(a))
    disputed = a.replica.state.log.last_index
    cluster.work(a, lambda node: None)
    cluster.exchange({a.instance, b.instance})
    cluster.crash(a)
    cluster.elect(e, {c.instance, d.instance, e.instance})
    cluster.crash(e)
    cluster.start(a)
    old_side = {a.instance, b.instance, c.instance}
    cluster.elect(a, old_side)
    cluster.start_round(a)
    progress = a.replica.state.leadership.progress
    copies = [progress[node.disk.replica] for node in (b, c)]
    cluster.exchange(old_side, lambda: all(copy.match >= disputed for copy in copies))
    held = c.replica.state.log.find_term(disputed)
    cluster.crash(a)
    cluster.start(e)
    new_side = {c.instance, d.instance, e.instance}
    cluster.elect(e, new_side)
    cluster.start_round(e)
    cluster.exchange(new_side)
    return cluster, disputed, held


def test_an_entry_of_an_old_term_on_a_majority_is_not_committed():
    cluster, disputed, held = overwrite_an_entry_of_an_old_term()
    assert held is not None
    assert len(cluster.committed) >= disputed
    assert cluster.committed[disputed - 1].term > held


def test_a_commit_of_an_old_term_by_counting_is_caught(monkeypatch):
    def count_any_term(state, now):
        index = replication._find_majority_match(state)
        if state.leadership is not None and index > state.commit:
            state.commit_to(index)

    monkeypatch.setattr(replication, "count_own_log", count_any_term)
    monkeypatch.setattr(replica, "count_own_log", count_any_term)
    with pytest.raises(InvariantError, match="lacks committed entry|two committed"):
        overwrite_an_entry_of_an_old_term()
