from functools import partial
from threading import Event as ThreadEvent

import pytest
from daemon.loggroups import NAMES, Cluster, ListMachine, read_clock, wait_until
from gevent import get_hub, joinall, spawn

from bergamotwood_core.errors import (
    BuildTooOldError,
    Code,
    NotLeaderError,
    ReplicationError,
)
from bergamotwood_core.ids import InstanceId
from bergamotwood_core.states import Run


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(tmp_path, snapshot_entries=200, kept_entries=20)
    yield cluster
    cluster.stop_all()


def propose_many(group, count, prefix=b"x"):
    jobs = [spawn(group.propose, prefix + b"%d" % at, 10.0) for at in range(count)]
    joinall(jobs, raise_error=True)
    return [job.value for job in jobs]


def test_committed_command_is_answered_and_applied_by_every_replica(cluster):
    leader = cluster.start_all()
    answer = leader.propose(b"one", 5.0)
    assert answer.endswith(b":one")
    for name in NAMES:
        wait_until(partial(lambda n: cluster.machines[n].commands == [b"one"], name))


def test_follower_rejects_a_proposal_and_names_the_leader(cluster):
    leader = cluster.start_all()
    follower = next(g for g in cluster.groups.values() if not g.is_leader)
    wait_until(lambda: follower.leader is not None)
    with pytest.raises(NotLeaderError) as caught:
        follower.propose(b"one", 5.0)
    assert cluster.groups[caught.value.leader] is leader
    assert caught.value.run is Run.NOT_RUN


def test_isolated_leader_reports_unknown_outcome_and_steps_down(cluster):
    leader = cluster.start_all()
    wait_until(lambda: leader.holds_lease(read_clock()))
    cluster.isolated.update(
        name for name in NAMES if cluster.groups[name] is not leader
    )
    with pytest.raises(ReplicationError) as caught:
        leader.propose(b"lost?", 0.5)
    assert caught.value.run is Run.MAY_HAVE_RUN
    wait_until(lambda: not leader.is_leader)
    assert not leader.holds_lease(read_clock())
    assert leader.measure_age(read_clock()) > 0.4
    with pytest.raises(NotLeaderError):
        leader.propose(b"refused", 5.0)


def test_planned_stop_transfers_leadership(cluster):
    leader = cluster.start_all()
    leader.propose(b"one", 5.0)
    name = next(n for n in NAMES if cluster.groups[n] is leader)
    term = leader.term
    cluster.stop(name, handover=True)
    successor = cluster.wait_for_leader()
    assert successor.term == term + 1
    successor.propose(b"two", 5.0)


# Guards against a process that ends before a learner has its vote.
@pytest.mark.parametrize("leads", (False, True))
def test_planned_stop_hands_the_vote_to_a_learner(tmp_path, leads):
    cluster = Cluster(tmp_path, open_membership=True)
    leader = cluster.start_all()
    cluster.start(InstanceId("d"))
    wait_until(lambda: len(leader.membership.members) == 4)
    wait_until(lambda: cluster.groups["d"].measure_age(read_clock()) < 1.0)
    assert len(leader.membership.voters) == 3
    name = next(n for n in NAMES if cluster.groups[n].is_leader == leads)
    cluster.stop(name, handover=True)
    members = cluster.wait_for_leader().membership.members
    voters = {member.instance for member in members if member.voting}
    assert voters == {"a", "b", "c", "d"} - {name}
    cluster.stop_all()


def test_restart_of_all_replicas_keeps_commands_in_order(cluster):
    # All replicas share one event loop, which 1,200 proposals hold for a while.
    cluster.settings.update(election_seconds=3.0, lease_seconds=2.5)
    leader = cluster.start_all()
    propose_many(leader, 1200)
    kept = list(leader._machine.commands)
    cluster.stop_all()
    leader = cluster.start_all()
    leader.read_barrier(5.0)
    assert leader._machine.commands == kept
    assert len(kept) == 1200


def test_follower_far_behind_catches_up_by_snapshot_and_later_entries(cluster):
    leader = cluster.start_all()
    lagging = next(n for n in NAMES if cluster.groups[n] is not leader)
    cluster.stop(lagging)
    for part in range(7):
        propose_many(leader, 100, b"%d-" % part)
    cluster.start(lagging)
    wait_until(lambda: len(cluster.machines[lagging].commands) == 700)
    assert cluster.machines[lagging].commands == leader._machine.commands
    assert cluster.groups[lagging].snapshot_index >= 200


def test_replacing_two_wiped_replicas_in_turn_loses_no_command(cluster):
    leader = cluster.start_all()
    propose_many(leader, 50)
    others = [n for n in NAMES if cluster.groups[n] is not leader]
    for lost in others:
        leader = cluster.wait_for_leader()
        identities = leader.membership.voters
        cluster.stop(lost)
        for file in (cluster.folder / lost / "control").iterdir():
            file.unlink()
        cluster.start(lost)
        wait_until(
            lambda before=identities: (
                len(set(cluster.wait_for_leader().membership.voters) - set(before)) == 1
                and len(cluster.wait_for_leader().membership.voters) == 3
            )
        )
        propose_many(cluster.wait_for_leader(), 10)
    leader = cluster.wait_for_leader()
    assert len(leader._machine.commands) == 70
    for name in NAMES:
        wait_until(partial(lambda n: len(cluster.machines[n].commands) == 70, name))


def test_two_wiped_replicas_do_not_form_a_second_group(cluster):
    leader = cluster.start_all()
    propose_many(leader, 5)
    cluster.stop_all()
    for name in NAMES[:2]:
        for file in (cluster.folder / name / "control").iterdir():
            file.unlink()
    for name in NAMES:
        cluster.start(name)
    for name in NAMES[:2]:
        wait_until(partial(lambda n: cluster.groups[n].membership.members != (), name))
    assert all(not group.is_leader for group in cluster.groups.values())
    voters = cluster.groups["c"].membership.voters
    assert cluster.groups["a"].membership.voters == voters
    assert cluster.groups["a"]._replica.state.replica not in voters


def test_single_voter_commits_alone_and_recovers_after_restart(tmp_path):
    cluster = Cluster(tmp_path, names=NAMES[:1])
    leader = cluster.start_all()
    assert len(propose_many(leader, 100)) == 100
    cluster.stop_all()
    leader = cluster.start_all()
    leader.read_barrier(5.0)
    assert len(leader._machine.commands) == 100
    cluster.stop_all()


def test_group_adds_voters_when_settings_name_more_instances(tmp_path):
    cluster = Cluster(tmp_path, names=NAMES[:1])
    leader = cluster.start_all()
    propose_many(leader, 20)
    cluster.stop_all()
    cluster.names = NAMES
    cluster.start_all()
    wait_until(lambda: len(cluster.wait_for_leader().membership.voters) == 3)
    for name in NAMES:
        wait_until(partial(lambda n: len(cluster.machines[n].commands) == 20, name))
    cluster.stop_all()


def test_failed_replica_ends_all_pending_calls(cluster, monkeypatch):
    leader = cluster.start_all()

    def fail(commands, now):
        raise OSError("broken")

    monkeypatch.setattr(leader._replica, "propose", fail)
    waiting = spawn(leader.propose, b"one", 10.0)
    reading = spawn(leader.read_barrier, 10.0)
    joinall([waiting, reading], timeout=10.0)
    assert isinstance(waiting.exception, ReplicationError)
    assert waiting.exception.run is Run.NOT_RUN
    assert reading.ready()


def test_concurrent_proposals_share_journal_writes(cluster, monkeypatch):
    leader = cluster.start_all()
    writes = []
    save = leader._journal.save
    monkeypatch.setattr(
        leader._journal, "save", lambda records: (writes.append(1), save(records))
    )
    propose_many(leader, 150)
    assert len(writes) < 50


def test_large_snapshot_is_not_rewritten_after_few_changes(tmp_path):
    class LargeMachine(ListMachine):
        def snapshot(self):
            return super().snapshot() + bytes(100_000)

        def restore(self, snapshot):
            super().restore(snapshot[:-100_000])

    cluster = Cluster(tmp_path, names=NAMES[:1], snapshot_entries=50)
    cluster.start(NAMES[0], LargeMachine())
    leader = cluster.wait_for_leader()
    propose_many(leader, 60)
    wait_until(lambda: leader.snapshot_index >= 50)
    first = leader.snapshot_index
    propose_many(leader, 200)
    assert leader.snapshot_index == first
    propose_many(leader, 60, b"x" * 2000)
    wait_until(lambda: leader.snapshot_index > first)
    cluster.stop_all()


def test_leader_with_failing_disk_is_replaced_and_rejoins_when_writes_succeed(
    cluster, monkeypatch
):
    leader = cluster.start_all()
    others = [group for group in cluster.groups.values() if group is not leader]
    is_full = True
    save = leader._journal.save

    def refuse(records):
        if is_full:
            raise OSError("no space")
        save(records)

    monkeypatch.setattr(leader._journal, "save", refuse)
    with pytest.raises(ReplicationError) as caught:
        leader.propose(b"one", 0.3)
    assert caught.value.run is Run.MAY_HAVE_RUN
    wait_until(lambda: any(group.is_leader for group in others))
    assert not leader.holds_lease(read_clock())
    with pytest.raises(ReplicationError):
        leader.propose(b"two", 0.3)
    successor = next(group for group in others if group.is_leader)
    successor.propose(b"three", 5.0)
    is_full = False
    wait_until(lambda: leader.applied == successor.applied)
    assert leader.failure is None
    successor.propose(b"four", 5.0)
    wait_until(lambda: leader.applied == successor.applied)
    machines = list(cluster.machines.values())
    wait_until(lambda: machines[0].commands == machines[1].commands)
    assert machines[0].commands[-2:] == [b"three", b"four"]


def test_group_commits_while_the_hub_thread_pool_is_exhausted(cluster):
    leader = cluster.start_all()
    release = ThreadEvent()
    pool = get_hub().threadpool
    blocked = [pool.spawn(release.wait) for _ in range(pool.maxsize)]
    try:
        assert leader.propose(b"one", 5.0).endswith(b":one")
    finally:
        release.set()
        joinall(blocked)


class OlderMachine(ListMachine):
    """State machine of a build that does not know commands that begin with `new`."""

    def apply(self, index, command):
        if command.startswith(b"new"):
            raise BuildTooOldError(f"command {index}", 1, 2)
        return super().apply(index, command)

    def restore(self, snapshot):
        if b"new" in snapshot:
            raise BuildTooOldError("snapshot", 1, 2)
        super().restore(snapshot)


def start_with_older(cluster, name=NAMES[0]):
    """Start all replicas, one with an older build; return the leader of the others."""
    for other in NAMES:
        cluster.start(other, OlderMachine() if other == name else None)
    leader = cluster.wait_for_leader()
    while leader is cluster.groups[name]:
        leader._transfer_leadership()
        leader = cluster.wait_for_leader()
    return leader


def test_a_replica_that_meets_a_newer_command_leaves_the_work_of_the_group(cluster):
    leader = start_with_older(cluster)
    older = cluster.groups["a"]
    propose_many(leader, 5)
    wait_until(lambda: len(cluster.machines["a"].commands) == 5)
    kept = older.applied
    jobs = [spawn(leader.propose, body, 10.0) for body in (b"x", b"new", b"y")]
    joinall(jobs, raise_error=True)
    wait_until(lambda: older.failure is not None)
    assert isinstance(older.failure, BuildTooOldError)
    # What came before in the same batch is applied, nothing after it.
    assert cluster.machines["a"].commands[5:] in ([], [b"x"], [b"y"], [b"x", b"y"])
    assert older.applied >= kept
    assert not (older.is_leader or older.is_voter)
    with pytest.raises(ReplicationError) as caught:
        older.propose(b"z", 1.0)
    assert caught.value.code is Code.BUILD_TOO_OLD
    assert caught.value.run is Run.NOT_RUN
    # The others go on without it.
    assert cluster.wait_for_leader().propose(b"later", 5.0).endswith(b":later")


def test_the_disk_of_a_replica_that_was_too_old_serves_a_newer_build(cluster):
    """Nothing may be written that leaves out what the older build could not read."""
    leader = start_with_older(cluster)
    propose_many(leader, 5)
    leader.propose(b"new", 5.0)
    wait_until(lambda: cluster.groups["a"].failure is not None)
    propose_many(leader, 300)
    cluster.stop("a")
    cluster.start("a")
    expected = leader._machine.commands
    wait_until(lambda: cluster.machines["a"].commands == expected)
    assert len(expected) == 306


def test_a_replica_whose_snapshot_is_too_new_starts_without_taking_part(cluster):
    leader = start_with_older(cluster)
    leader.propose(b"new", 5.0)
    propose_many(leader, 300)
    cluster.stop("a")
    cluster.start("a")
    wait_until(lambda: len(cluster.machines["a"].commands) == 301)
    wait_until(lambda: cluster.groups["a"].snapshot_index > 0)
    cluster.stop("a")
    files = read_files(cluster.folder / "a")
    cluster.start("a", OlderMachine())
    older = cluster.groups["a"]
    assert isinstance(older.failure, BuildTooOldError)
    with pytest.raises(ReplicationError) as caught:
        older.propose(b"z", 1.0)
    assert caught.value.code is Code.BUILD_TOO_OLD
    cluster.stop("a")
    assert read_files(cluster.folder / "a") == files
    cluster.start("a")
    wait_until(lambda: len(cluster.machines["a"].commands) == 301)


def test_a_replica_that_receives_a_newer_snapshot_keeps_it_on_disk(cluster):
    leader = start_with_older(cluster)
    cluster.stop("a")
    leader.propose(b"new", 5.0)
    propose_many(leader, 700)
    cluster.start("a", OlderMachine())
    wait_until(lambda: cluster.groups["a"].failure is not None)
    cluster.stop("a")
    cluster.start("a")
    wait_until(lambda: len(cluster.machines["a"].commands) == 701)


def read_files(folder):
    return {
        path.name: path.read_bytes() for path in folder.rglob("*") if path.is_file()
    }
