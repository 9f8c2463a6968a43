"""Counts of good and bad requests on versions that are being rolled out."""

from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.rollout import VersionEvidence
from bergamotwood_core.gateway.state_machine import ServiceRollout
from bergamotwood_core.ids import LogIndex, ServiceName


class EvidenceCounter:
    """Counts requests by version and route since the start of each roll-out."""

    def __init__(self) -> None:
        self._rollouts: dict[ServiceName, LogIndex] = {}
        self._counts: dict[tuple[ServiceName, str, str], tuple[int, int]] = {}

    def record(
        self, rollout: ServiceRollout, version: str, call: Call, is_bad: bool
    ) -> None:
        """Count a request that ended during a roll-out.

        The counts of a service restart with each new roll-out.
        """
        if self._rollouts.get(rollout.service) != rollout.index:
            self._rollouts[rollout.service] = rollout.index
            self._clear(rollout.service)
        key = (rollout.service, version, call.route.name)
        trials, bad = self._counts.get(key, (0, 0))
        self._counts[key] = (trials + 1, bad + is_bad)

    def list_counts(self) -> tuple[VersionEvidence, ...]:
        """Return the counts of all services, versions and routes."""
        return tuple(
            VersionEvidence(*key, trials, bad)
            for key, (trials, bad) in self._counts.items()
        )

    def _clear(self, service: ServiceName) -> None:
        for key in [key for key in self._counts if key[0] == service]:
            del self._counts[key]
