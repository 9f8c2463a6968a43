from time import time

import pytest
from core.gateway.samples import MODELS, make_heartbeat
from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.endpoints import EndpointDirectory
from bergamotwood_core.gateway.evacuations import Evacuation
from bergamotwood_core.gateway.levels import FeatureLevel
from bergamotwood_core.gateway.members import EntryAddress
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.rollout import (
    FIRST_SHARE,
    MAX_EARLY_SHARE,
    VersionEvidence,
)
from bergamotwood_core.gateway.state_machine import (
    GatewayStateMachine,
)
from bergamotwood_core.ids import DataCentre, Incarnation, InstanceId, LogIndex
from bergamotwood_daemon.gateway import rollouts
from bergamotwood_daemon.gateway.entries import EntryTable
from bergamotwood_daemon.gateway.peermessages import EntryStatus
from bergamotwood_daemon.gateway.rollouts import VIEW_CACHE_SECONDS, RolloutController

RUNNING = ServiceRollout(
    MODELS, "v2", 60.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), time()
)


class CountingTable(EntryTable):
    """Counts how often the evidence of all entries is collected."""

    collected = 0

    def list_evidence(self):
        self.collected += 1
        return super().list_evidence()


def make_controller():
    now = [Seconds(5.0)]
    machine = GatewayStateMachine()
    machine.state.rollouts[MODELS] = RUNNING
    entries = CountingTable(lambda: now[0])
    directory = EndpointDirectory(30.0)
    controller = RolloutController(machine, directory, entries, lambda: now[0])
    return controller, machine, entries, now


def test_evidence_is_merged_once_for_entries_that_poll_together():
    """Guards against a merge for every poll: entries poll several times a second."""
    controller, _, entries, now = make_controller()
    views = [controller.list_views() for _ in range(100)]
    assert {view[0].rollout for view in views} == {RUNNING}
    assert entries.collected == 1
    now[0] += VIEW_CACHE_SECONDS + 0.01
    controller.list_views()
    assert entries.collected == 2


def test_requests_of_an_earlier_rollout_tell_nothing_of_this_one():
    """Guards against a version that is ordered again and judged by its first order."""
    controller, _, entries, _ = make_controller()
    counts = (MODELS, "v2", "r", 30, 30)
    earlier = VersionEvidence(*counts, rollout=LogIndex(2))
    entries.list_evidence = lambda: [earlier]
    assert controller.list_settlements() == []
    current = replace(earlier, rollout=RUNNING.index)
    entries.list_evidence = lambda: [current]
    (command,) = controller.list_settlements()
    assert command.outcome is RolloutOutcome.ROLLED_BACK


def test_a_settled_rollout_bypasses_the_view_cache():
    controller, machine, _, _ = make_controller()
    controller.list_views()
    ended = replace(RUNNING, outcome=RolloutOutcome.ROLLED_BACK)
    machine.state.rollouts[MODELS] = ended
    (view,) = controller.list_views()
    assert (view.rollout, view.share) == (ended, 0.0)
    del machine.state.rollouts[MODELS]
    assert controller.list_views() == ()


def test_a_step_of_the_time_of_day_changes_no_share(monkeypatch):
    controller, machine, _, now = make_controller()
    times = [RUNNING.ordered_at]
    monkeypatch.setattr(rollouts, "time", lambda: times[0])
    (view,) = controller.list_views()
    elapsed = view.elapsed_seconds
    times[0] += 100.0
    now[0] += 1.0
    (view,) = controller.list_views()
    assert view.elapsed_seconds == elapsed + 1.0


def test_endpoints_in_an_evacuated_data_centre_are_no_capacity_of_a_version():
    """Guards against sessions that are sent to a version which nothing may run."""
    controller, machine, _, now = make_controller()
    karen, embakasi = DataCentre("karen"), DataCentre("embakasi")
    for name, place, version in (("e-1", embakasi, "v1"), ("e-2", karen, "v2")):
        heartbeat = make_heartbeat(
            name, service=MODELS, data_centre=place, version=version
        )
        controller._directory.apply_heartbeat(heartbeat, now[0])
    assert controller._has_capacity(RUNNING)
    machine.state.evacuations.append(Evacuation(karen, True, LogIndex(5), 1.0))
    assert not controller._has_capacity(RUNNING)
    machine.state.evacuations[:] = [Evacuation(embakasi, True, LogIndex(6), 1.0)]
    assert controller._has_capacity(RUNNING)


def test_the_first_share_grows_once_all_builds_exchange_the_sessions_for_it():
    """Guards against sessions that change their version beside an older build."""
    controller, machine, entries, now = make_controller()
    machine.state.rollouts[MODELS] = replace(RUNNING, ordered_at=time())
    heartbeat = make_heartbeat(service=MODELS, version="v2")
    controller._directory.apply_heartbeat(heartbeat, now[0])
    entries.list_evidence = lambda: [VersionEvidence(MODELS, "v1", "r", 20, 0)]
    controller.list_views()
    now[0] += 0.4 * RUNNING.duration_seconds
    (view,) = controller.list_views()
    assert (view.early_share, view.share) == (0.0, FIRST_SHARE)
    machine.state.level = FeatureLevel.EVACUATIONS
    now[0] += 1.0
    (view,) = controller.list_views()
    assert view.share == view.early_share == MAX_EARLY_SHARE
    # It stays: entries have exchanged the sessions up to it.
    entries.list_evidence = lambda: [VersionEvidence(MODELS, "v1", "r", 2_000, 0)]
    now[0] += 1.0
    (view,) = controller.list_views()
    assert view.share == view.early_share == MAX_EARLY_SHARE


@pytest.mark.parametrize(
    ("first", "interval", "together"),
    [(0.8, 99.0, True), (0.1, 3.0, True), (0.1, 1.3, False), (0.1, 0.5, False)],
)
@pytest.mark.parametrize("rate", [10.0, 30.0])
def test_a_version_gets_no_more_requests_while_entries_restart(
    rate, first, interval, together
):
    """Guards against restarts of entries that hide what a version has had."""
    controller, machine, entries, now = make_controller()
    seconds, step = 30.0, 0.25
    ordered = replace(RUNNING, duration_seconds=seconds, ordered_at=time())
    machine.state.rollouts[MODELS] = ordered
    machine.state.level = FeatureLevel.EVACUATIONS
    for version in ("v1", "v2"):
        heartbeat = make_heartbeat(version, service=MODELS, version=version)
        controller._directory.apply_heartbeat(heartbeat, now[0])
    senders = [Sender(number, ordered.index) for number in range(6)]
    restart_at = first * seconds
    for turn in range(int(seconds / step)):
        if turn * step >= restart_at:
            restart_at = turn * step + interval
            next_one = min(senders, key=lambda sender: sender.run)
            for sender in senders if together else [next_one]:
                sender.restart()
        share = controller.list_views()[0].share
        for sender in senders:
            sender.send(share, rate * step / len(senders))
            assert entries.update(sender.make_status())
        now[0] += step
        entries.expire()
        controller.observe()
    exposed = sum(sender.exposed for sender in senders)
    assert exposed <= 0.15 * rate * seconds + 30.0


class Sender:
    """An entry that sends requests to v1 and v2 without a bad response."""

    def __init__(self, number, rollout):
        self.run = 1
        self.exposed = 0
        self._rollout = rollout
        self._entry = EntryAddress(
            InstanceId(f"i{number}"), f"i{number}:80", "karen", True
        )
        self._sequence = 0
        self._due = {"v1": 0.0, "v2": 0.0}
        self._sent = {"v1": 0, "v2": 0}

    def restart(self):
        self.run += 1
        self._sent = {"v1": 0, "v2": 0}

    def send(self, share, requests):
        for version, part in (("v1", 1.0 - share), ("v2", share)):
            self._due[version] += part * requests
            count = int(self._due[version])
            self._due[version] -= count
            self._sent[version] += count
            if version == "v2":
                self.exposed += count

    def make_status(self):
        self._sequence += 1
        evidence = tuple(
            VersionEvidence(
                MODELS, version, "r", count, 0, sent=count, rollout=self._rollout
            )
            for version, count in self._sent.items()
        )
        return EntryStatus(
            self._entry, Incarnation(self.run), self._sequence, {}, evidence
        )
