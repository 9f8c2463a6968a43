from time import time

from core.gateway.samples import MODELS, make_heartbeat
from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.endpoints import EndpointDirectory
from bergamotwood_core.gateway.evacuations import Evacuation
from bergamotwood_core.gateway.levels import FeatureLevel
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.rollout import (
    FIRST_SHARE,
    MAX_EARLY_SHARE,
    VersionEvidence,
)
from bergamotwood_core.gateway.state_machine import (
    GatewayStateMachine,
)
from bergamotwood_core.ids import DataCentre, LogIndex
from bergamotwood_daemon.gateway import rollouts
from bergamotwood_daemon.gateway.entries import EntryTable
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
