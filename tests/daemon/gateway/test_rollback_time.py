"""Time from bad responses on a new version until no entry sends to it any more."""

from random import Random

import pytest
from core.gateway.samples import PLAIN
from daemon.gateway.fleet import DirectChannel, Fleet
from gevent import sleep
from msgspec.structs import replace

from bergamotwood_core.gateway.members import EntryAddress
from bergamotwood_core.gateway.orders import RolloutOutcome
from bergamotwood_core.gateway.rollout import VersionEvidence
from bergamotwood_core.ids import Incarnation, InstanceId
from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.gateway import channels, controlpoller, replica
from bergamotwood_daemon.gateway.controlpoller import ControlPoller
from bergamotwood_daemon.gateway.controlstate import ControlState
from bergamotwood_daemon.gateway.peermessages import EntryStatus

ENTRIES = 64
# Bad responses without a good one that suffice for a verdict.
RESPONSES = 12
# Bound of the platform: time from the 50th bad response on a version to the last
# request that it is sent. What follows the evidence may take a fifth of it: the sum of
# the steps in docs/PLATFORM.md is 0.55 s and the calls, more on a busy machine.
BAD_SECONDS = 5.0
MAX_ROLLBACK_SECONDS = BAD_SECONDS / 5.0
IN_PROGRESS = RolloutOutcome.IN_PROGRESS
OLD = VersionEvidence(PLAIN, "v1", "r", 40, 0)
NEW = VersionEvidence(PLAIN, "v2", "r", 0, 0)


class ReportingEntry:
    """An entry that polls the replicas of a fleet, and counts responses."""

    def __init__(self, fleet, number):
        self.evidence = ()
        self._sequence = 0
        self.instance = InstanceId(f"127.0.0.1:{number}")
        self._entry = EntryAddress(self.instance, f"e{number}:80", "karen", True)
        self.state = ControlState(fleet.dialect, read_clock, 4.0)
        self.poller = ControlPoller(
            self.state,
            self._make_status,
            lambda: fleet.seeds,
            "karen",
            list,
            read_clock,
            Random(number),
        )
        self.poller.start()

    def count_bad(self):
        """Count a bad response on the new version."""
        old, new = self.evidence
        self.evidence = (old, replace(new, trials=new.trials + 1, bad=new.bad + 1))
        self.poller.report_evidence()

    @property
    def outcome(self):
        views = self.state.rollouts.values()
        return next((view.rollout.outcome for view in views), None)

    def _make_status(self):
        self._sequence += 1
        return EntryStatus(
            self._entry, Incarnation(1), self._sequence, {}, self.evidence
        )


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    monkeypatch.setattr(channels, "PeerChannel", DirectChannel)
    fleet = Fleet(tmp_path, ("karen", "karen", "karen"))
    yield fleet
    fleet.stop()


def test_a_bad_version_gets_nothing_soon_after_its_bad_responses(fleet):
    """Guards against waits between the report, the verdict and the entries.

    One entry of a replica that does not lead sees the bad responses, some time after
    its last report.
    """
    assert max(run_turns(fleet, 6)) < MAX_ROLLBACK_SECONDS


def test_no_verdict_waits_for_a_timer(fleet, monkeypatch):
    """Guards against a verdict at the next expiry run or the end of a long poll."""
    monkeypatch.setattr(replica, "EXPIRY_INTERVAL_SECONDS", 5.0)
    monkeypatch.setattr(controlpoller, "LONG_POLL_SECONDS", 0.85)
    # The first interval has begun before it was changed.
    sleep(0.3)
    assert max(run_turns(fleet, 3)) < MAX_ROLLBACK_SECONDS


def test_a_new_leader_judges_the_bad_responses_before_its_time(fleet, monkeypatch):
    """Guards against a bad version that the leader after the next never rolls back."""
    monkeypatch.setattr(replica, "EXPIRY_INTERVAL_SECONDS", 5.0)
    sleep(0.3)
    seconds = run_turns(fleet, 1, lambda leader: leader.group._transfer_leadership())
    # An election, the next expiry run, and the bound above.
    assert max(seconds) < 1.0 + 5.0 + MAX_ROLLBACK_SECONDS


def run_turns(fleet, turns, disturb=lambda leader: None):
    """Return the times until versions are rolled back, one after the other."""
    rng = Random(1)
    entries = [ReportingEntry(fleet, number) for number in range(ENTRIES)]
    seconds = []
    try:
        fleet.wait_for(lambda: all(entry.state.boot for entry in entries))
        _, leader = fleet.find(leads=True)
        for turn in range(turns):
            version = f"v{turn + 2}"
            fleet.retry(lambda name=version: leader.begin_rollout(PLAIN, name, 15.0))
            fleet.wait_for(lambda: list_outcomes(entries) == {IN_PROGRESS})
            for entry in entries:
                index = entry.state.rollouts[PLAIN].rollout.index
                entry.evidence = (
                    replace(OLD, rollout=index),
                    replace(NEW, version=version, rollout=index),
                )
            # All replicas know the evidence of the previous version by then.
            sleep(1.0 + 0.4 * rng.random())
            disturb(leader)
            seconds.append(measure_rollback(fleet, leader, entries))
    finally:
        for entry in entries:
            entry.poller.stop()
    return seconds


def measure_rollback(fleet, leader, entries):
    """Return the time from bad responses at one entry until all know the verdict."""
    polling_leader = set(leader.entries.members)
    bad = next(entry for entry in entries if entry.instance not in polling_leader)
    started_at = read_clock()
    for _ in range(RESPONSES):
        bad.count_bad()
    fleet.wait_for(lambda: list_outcomes(entries) == {RolloutOutcome.ROLLED_BACK})
    return read_clock() - started_at


def list_outcomes(entries):
    return {entry.outcome for entry in entries}
