"""Counts of good and bad requests on versions that are being rolled out."""

from collections.abc import Callable

from msgspec import Struct

from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.latency import Progress
from bergamotwood_core.gateway.orders import ServiceRollout
from bergamotwood_core.gateway.rollout import VersionEvidence
from bergamotwood_core.ids import LogIndex, ServiceName

# Service, version and route.
VersionKey = tuple[ServiceName, str, str]


class OpenRequest:
    """A request on one version that has not ended.

    Parameters
    ----------
    key : VersionKey
        Service, version and route.
    rollout : LogIndex
        Roll-out during which it was sent.
    measure : callable
        Returns how far its answer has got.
    is_slow : callable
        Returns whether an answer that has got so far has taken too long.
    """

    def __init__(
        self,
        key: VersionKey,
        rollout: LogIndex,
        measure: Callable[[], Progress],
        is_slow: Callable[[Progress], bool],
    ) -> None:
        self.key = key
        self.rollout = rollout
        self.measure = measure
        self.is_slow = is_slow
        self.is_judged = False


class VersionCounts(Struct):
    """Counts of one version and route; see `VersionEvidence`."""

    trials: int = 0
    bad: int = 0
    open: int = 0
    ended: int = 0
    seconds: float = 0.0
    sent: int = 0


class EvidenceCounter:
    """Counts requests by version and route since the start of each roll-out."""

    def __init__(self) -> None:
        self._rollouts: dict[ServiceName, LogIndex] = {}
        self._counts: dict[VersionKey, VersionCounts] = {}
        self._open: set[OpenRequest] = set()

    def open(
        self,
        rollout: ServiceRollout,
        version: str,
        call: Call,
        measure: Callable[[], Progress],
        is_slow: Callable[[Progress], bool],
    ) -> OpenRequest:
        """Record a request that is sent during a roll-out.

        The counts of a service restart with each new roll-out.
        """
        if self._rollouts.get(rollout.service) != rollout.index:
            self._rollouts[rollout.service] = rollout.index
            self._clear(rollout.service)
        key = (rollout.service, version, call.route.name)
        request = OpenRequest(key, rollout.index, measure, is_slow)
        self._open.add(request)
        self._counts.setdefault(key, VersionCounts()).sent += 1
        return request

    def close(self, request: OpenRequest, is_bad: bool | None) -> None:
        """Count a request that has ended; None if its end says nothing."""
        if request not in self._open:
            return
        self._open.remove(request)
        if is_bad is None:
            return
        self._judge(request, is_bad)
        counts = self._counts[request.key]
        counts.ended += 1
        counts.seconds += request.measure().seconds

    def list_counts(self) -> tuple[VersionEvidence, ...]:
        """Return the counts of all services, versions and routes."""
        open_counts: dict[VersionKey, int] = {}
        open_seconds: dict[VersionKey, float] = {}
        for request in self._open:
            progress = request.measure()
            key = request.key
            open_seconds[key] = open_seconds.get(key, 0.0) + progress.seconds
            if not request.is_judged and request.is_slow(progress):
                self._judge(request, is_bad=True)
            if not request.is_judged:
                open_counts[key] = open_counts.get(key, 0) + 1
        evidence = []
        for key in dict.fromkeys((*self._counts, *open_seconds)):
            counts = self._counts.get(key, VersionCounts())
            seconds = counts.seconds + open_seconds.get(key, 0.0)
            evidence.append(
                VersionEvidence(
                    *key,
                    counts.trials,
                    counts.bad,
                    open_counts.get(key, 0),
                    counts.ended,
                    round(seconds, 3),
                    counts.sent,
                    self._rollouts[key[0]],
                )
            )
        return tuple(evidence)

    def _judge(self, request: OpenRequest, is_bad: bool) -> None:
        if request.is_judged:
            return
        request.is_judged = True
        counts = self._counts.setdefault(request.key, VersionCounts())
        counts.trials += 1
        counts.bad += is_bad

    def _clear(self, service: ServiceName) -> None:
        for key in [key for key in self._counts if key[0] == service]:
            del self._counts[key]
        self._open = {item for item in self._open if item.key[0] != service}
