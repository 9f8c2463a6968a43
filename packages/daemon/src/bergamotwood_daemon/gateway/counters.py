"""Request counters and latency histograms of an entry, rendered for Prometheus."""

from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.health import AttemptResult
from bergamotwood_daemon.gateway.callerconnection import Exchange

# Bucket bounds for objectives from 0.1 s to 4 s and deadlines up to 25 s.
BUCKET_SECONDS = (0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0)


class EntryCounters:
    """Counts callers' requests and attempts at endpoints."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], float] = {}
        self._buckets: dict[str, list[int]] = {}
        self._sums: dict[str, float] = {}

    def count_request(
        self, call: Call | None, exchange: Exchange, seconds: float
    ) -> None:
        """Count a request by route kind and status, and record its latency."""
        kind = call.route.kind.value if call else "none"
        status = exchange.status if exchange.is_finished else "broken"
        self._increment("requests_total", f'kind="{kind}",status="{status}"')
        buckets = self._buckets.setdefault(kind, [0] * (len(BUCKET_SECONDS) + 1))
        index = sum(seconds > bound for bound in BUCKET_SECONDS)
        buckets[index] += 1
        self._sums[kind] = self._sums.get(kind, 0.0) + seconds

    def count_attempt(self, call: Call, result: AttemptResult) -> None:
        """Count an attempt by service and result."""
        self._increment("attempts_total", f'service="{call.service}",result="{result}"')

    def count_relay(self, result: AttemptResult) -> None:
        """Count a request that was offered to another entry, by result."""
        self._increment("relays_total", f'result="{result}"')

    def count_evacuation_refusal(self, call: Call) -> None:
        """Count a request for which evacuations left no endpoint, by service."""
        self._increment("evacuation_refusals_total", f'service="{call.service}"')

    def count_early_rejection(self, call: Call, wait_seconds: float) -> None:
        """Count a request that could not be served in time, and its expected wait."""
        labels = f'service="{call.service}",priority="{call.priority}"'
        self._increment("early_rejections_total", labels)
        self._increment(
            "early_rejection_wait_seconds_total", labels, round(wait_seconds, 3)
        )

    def count(self, name: str, labels: str) -> float:
        """Return the value of a counter; 0 before it has counted anything."""
        return self._counts.get((name, labels), 0)

    def render(self, gauges: dict[str, float]) -> str:
        """Return gauges, counters and histograms in the Prometheus text format."""
        lines = render_gauges(gauges)
        for (name, labels), count in sorted(self._counts.items()):
            lines.append(f"bergamotwood_{name}{{{labels}}} {count}")
        for kind, buckets in sorted(self._buckets.items()):
            lines.extend(self._render_histogram(kind, buckets))
        return "\n".join(lines) + "\n"

    def _render_histogram(self, kind: str, buckets: list[int]) -> list[str]:
        name = "bergamotwood_request_seconds"
        lines = []
        total = 0
        for bound, count in zip((*BUCKET_SECONDS, "+Inf"), buckets, strict=True):
            total += count
            lines.append(f'{name}_bucket{{kind="{kind}",le="{bound}"}} {total}')
        lines.append(f'{name}_sum{{kind="{kind}"}} {self._sums[kind]:.6f}')
        lines.append(f'{name}_count{{kind="{kind}"}} {total}')
        return lines

    def _increment(self, name: str, labels: str, amount: float = 1) -> None:
        self._counts[name, labels] = self._counts.get((name, labels), 0) + amount


def render_gauges(gauges: dict[str, float]) -> list[str]:
    """Return gauges as lines of the Prometheus text format."""
    return [f"bergamotwood_{name} {value}" for name, value in gauges.items()]
