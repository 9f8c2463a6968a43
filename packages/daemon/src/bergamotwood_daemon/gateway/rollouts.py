"""Roll-outs at a control replica: traffic shares for entries, outcomes to commit."""

from collections.abc import Callable, Container
from time import time

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.endpoints import EndpointDirectory
from bergamotwood_core.gateway.evacuations import drop_evacuated, list_evacuated
from bergamotwood_core.gateway.exposure import ExposureLimit
from bergamotwood_core.gateway.levels import FeatureLevel
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.ordertimer import OrderTimer
from bergamotwood_core.gateway.rollout import (
    MIN_CAPACITY_FRACTION,
    RegressionDetector,
    RolloutView,
    VersionEvidence,
    choose_outcome,
    choose_share,
    compute_early_share,
    is_of_rollout,
)
from bergamotwood_core.gateway.state_machine import (
    GatewayStateMachine,
    SettleRollout,
)
from bergamotwood_core.ids import InstanceId, LogIndex
from bergamotwood_daemon.gateway.entries import EntryTable
from bergamotwood_daemon.log import log_event

# How long views are cached: less than an entry's polling interval, and negligible
# beside the seconds that a roll-out takes.
VIEW_CACHE_SECONDS = 0.1


class RolloutController:
    """Computes the share of each roll-out, and decides when one ends.

    Parameters
    ----------
    machine : GatewayStateMachine
        State machine that holds the roll-outs.
    directory : EndpointDirectory
        Lists the endpoints of each version.
    entries : EntryTable
        Gives the evidence and load that entries report.
    clock : callable
        Returns the current time.
    limit : ExposureLimit
        Requests that a bad version may get.
    """

    def __init__(
        self,
        machine: GatewayStateMachine,
        directory: EndpointDirectory,
        entries: EntryTable,
        clock: Callable[[], Seconds],
        limit: ExposureLimit = ExposureLimit(),  # noqa: B008
    ) -> None:
        self._limit = limit
        self._machine = machine
        self._directory = directory
        self._entries = entries
        self._clock = clock
        self._timer = OrderTimer()
        self._detectors: dict[LogIndex, RegressionDetector] = {}
        # Computed once for each roll-out, as entries exchange sessions up to it.
        self._early_shares: dict[LogIndex, float] = {}
        self._views: tuple[RolloutView, ...] = ()
        self._views_made_at = Seconds(float("-inf"))
        # Roll-outs in the last reply to each entry's poll.
        self._sent: dict[InstanceId, tuple[ServiceRollout, ...]] = {}

    def has_news(self, entry: InstanceId) -> bool:
        """Whether a roll-out began or ended since the last reply to an entry."""
        current = tuple(self._machine.state.rollouts.values())
        return self._sent.get(entry, current) != current

    def record_sent(self, entry: InstanceId) -> None:
        """Record that an entry is sent the current roll-outs."""
        self._sent[entry] = tuple(self._machine.state.rollouts.values())

    def retain_entries(self, entries: Container[InstanceId]) -> None:
        """Forget all entries except those that poll this replica."""
        self._sent = {key: sent for key, sent in self._sent.items() if key in entries}

    def list_views(self) -> tuple[RolloutView, ...]:
        """Return the newest roll-out of every service, with its share, for entries.

        The views are cached, so that evidence is merged once for many entries that
        poll at about the same time.
        """
        rollouts = self._list_rollouts()
        now = self._clock()
        is_stale = now - self._views_made_at > VIEW_CACHE_SECONDS
        if is_stale or [view.rollout for view in self._views] != rollouts:
            evidence = self._merge_evidence() if rollouts else []
            self._views = tuple(
                self._make_view(rollout, evidence) for rollout in rollouts
            )
            self._views_made_at = now
        return self._views

    def list_settlements(self) -> list[SettleRollout]:
        """Return the commands that settle the roll-outs that end now.

        To be called on the leader only.
        """
        self.observe()
        settlements = []
        running = [
            rollout
            for rollout in self._list_rollouts()
            if rollout.outcome is RolloutOutcome.IN_PROGRESS
        ]
        for rollout in running:
            outcome = self._decide_outcome(rollout)
            if outcome is not RolloutOutcome.IN_PROGRESS:
                command = SettleRollout(rollout.service, rollout.target, outcome)
                settlements.append(command)
        return settlements

    def _decide_outcome(self, rollout: ServiceRollout) -> RolloutOutcome:
        detector = self._detectors[rollout.index]
        evidence = self._merge_evidence()
        view = self._make_view(rollout, evidence)
        outstanding = self._count_old_version_requests(rollout)
        outcome = choose_outcome(
            rollout,
            view.elapsed_seconds,
            detector.regressed_route,
            view.share,
            outstanding,
            detector.suspected_route is not None,
            detector.is_undecided,
        )
        if outcome is not RolloutOutcome.IN_PROGRESS:
            log_event(
                "rollout",
                "Verdict.",
                service=rollout.service,
                target=rollout.target,
                outcome=outcome,
                harmed_route=detector.regressed_route,
                suspected_route=detector.suspected_route,
                is_undecided=detector.is_undecided,
                elapsed=round(view.elapsed_seconds, 2),
                outstanding_before=outstanding,
                evidence=[
                    (
                        item.version,
                        item.route,
                        item.trials,
                        item.bad,
                        item.open,
                        item.ended,
                        round(item.seconds, 1),
                        item.requests,
                    )
                    for item in evidence
                    if item.service == rollout.service
                ],
            )
        return outcome

    def _make_view(
        self, rollout: ServiceRollout, evidence: list[VersionEvidence]
    ) -> RolloutView:
        elapsed = self._timer.measure(rollout, self._clock())
        if rollout.outcome is not RolloutOutcome.IN_PROGRESS:
            share = 1.0 if rollout.outcome is RolloutOutcome.COMPLETED else 0.0
            return RolloutView(rollout, elapsed, share)
        detector = self._detectors.get(rollout.index)
        early_share = self._find_early_share(rollout, elapsed, evidence)
        share = choose_share(
            rollout,
            elapsed,
            evidence,
            self._has_capacity(rollout),
            detector is not None and detector.suspected_route is not None,
            early_share,
            self._limit,
        )
        return RolloutView(rollout, elapsed, share, early_share)

    def _find_early_share(
        self, rollout: ServiceRollout, elapsed: float, evidence: list[VersionEvidence]
    ) -> float:
        # Entries of an older build exchange too few sessions for a larger share.
        if self._machine.state.level < FeatureLevel.EVACUATIONS:
            return 0.0
        if rollout.index not in self._early_shares:
            share = compute_early_share(rollout, elapsed, evidence, self._limit)
            if share is None:
                return 0.0
            self._early_shares[rollout.index] = share
        return self._early_shares[rollout.index]

    def observe(self) -> None:
        """Note which roll-outs exist, and test them; to be called often.

        Every replica does so, as each computes the shares for its entries.
        """
        running = {
            rollout.index: rollout
            for rollout in self._list_rollouts()
            if rollout.outcome is RolloutOutcome.IN_PROGRESS
        }
        self._detectors = {
            index: self._detectors.get(index) or RegressionDetector()
            for index in running
        }
        for index in self._early_shares.keys() - running.keys():
            del self._early_shares[index]
        self._entries.departed.retain_rollouts(running)
        evidence = self._merge_evidence() if running else []
        for index, rollout in running.items():
            self._detectors[index].update(rollout, evidence, self._clock())

    def _list_rollouts(self) -> list[ServiceRollout]:
        rollouts = list(self._machine.state.rollouts.values())
        self._timer.observe(rollouts, time(), self._clock())
        return rollouts

    def _merge_evidence(self) -> list[VersionEvidence]:
        """Return the evidence of all entries on the newest roll-outs.

        That on withdrawn versions is left out.
        """
        state = self._machine.state
        return [
            item
            for item in self._entries.list_evidence()
            if item.version not in state.withdrawn.get(item.service, ())
            and item.service in state.rollouts
            and is_of_rollout(item, state.rollouts[item.service])
        ]

    def _has_capacity(self, rollout: ServiceRollout) -> bool:
        evacuated = frozenset(list_evacuated(self._machine.state.evacuations))
        withdrawn = self._machine.state.withdrawn.get(rollout.service, ())
        versions = [
            heartbeat.version
            for heartbeat in drop_evacuated(
                self._directory.list_heartbeats(), evacuated
            )
            if heartbeat.service == rollout.service
            and heartbeat.version not in withdrawn
        ]
        new_count = versions.count(rollout.target)
        return new_count > 0 and new_count >= MIN_CAPACITY_FRACTION * (
            len(versions) - new_count
        )

    def _count_old_version_requests(self, rollout: ServiceRollout) -> int:
        old_endpoints = {
            heartbeat.endpoint
            for heartbeat in self._directory.list_heartbeats()
            if heartbeat.service == rollout.service
            and heartbeat.version != rollout.target
        }
        return sum(
            load.requests
            for endpoint, load in self._entries.list_loads(None).items()
            if endpoint in old_endpoints
        )
