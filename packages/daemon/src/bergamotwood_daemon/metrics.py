"""Metrics of a daemon, in the Prometheus text format."""

from collections.abc import Callable
from dataclasses import dataclass

from aioprometheus import Gauge, Registry, render

from bergamotwood_core.memory import MemoryAccount
from bergamotwood_daemon.controlreplica import ControlReplica
from bergamotwood_daemon.entry import Entry
from bergamotwood_daemon.web import Response, WebRequest

NO_LABELS: dict[str, str] = {}
# Reported in place of an infinite age, before the first confirmation.
UNKNOWN_AGE_SECONDS = 1e9


@dataclass(frozen=True)
class Reading:
    """A gauge and the function that reads its value."""

    gauge: Gauge
    read: Callable[[], float]


class Metrics:
    """Gauges whose values are read from the tables at each scrape.

    Parameters
    ----------
    entry : Entry
        The entry, with its tables.
    control_replica : ControlReplica or None
        The control role, if the instance has it.
    memory : MemoryAccount
        What the process holds for its callers.
    """

    def __init__(
        self,
        entry: Entry,
        control_replica: ControlReplica | None,
        memory: MemoryAccount,
    ) -> None:
        self._registry = Registry()
        self._readings: list[Reading] = []
        self._add_entry_gauges(entry)
        if control_replica is not None:
            self._add_replica_gauges(control_replica)
        for name in memory.list_gauges():
            self._add_gauge(
                name,
                "Memory and connections held for callers",
                lambda name=name: memory.list_gauges()[name],
            )

    def answer(self, request: WebRequest) -> Response:
        """Answer a scrape."""
        for reading in self._readings:
            reading.gauge.set(NO_LABELS, reading.read())
        accepts = [request.read_header("accept") or "*/*"]
        body, headers = render(self._registry, accepts)
        content_type = headers.get("Content-Type", "text/plain")
        return Response(200, content_type, [body])

    def _add_entry_gauges(self, entry: Entry) -> None:
        tables = entry.tables
        self._add_gauge(
            "config_age_seconds",
            "Age of the configuration in force",
            lambda: min(entry.measure_config_age(), UNKNOWN_AGE_SECONDS),
        )
        self._add_gauge(
            "config_index", "Log index in force", lambda: entry.watch.applied
        )
        self._add_gauge(
            "poll_sent", "Bytes sent by polls", lambda: entry.watch.sent_bytes
        )
        self._add_gauge(
            "poll_received",
            "Bytes received by polls",
            lambda: entry.watch.received_bytes,
        )
        self._add_gauge(
            "in_flight", "Requests in flight", lambda: len(tables.in_flight)
        )
        self._add_gauge("queued", "Requests waiting", lambda: entry.admission.queued)
        self._add_gauge(
            "settling", "Claims settling", lambda: entry.claims.unconfirmed_commands
        )
        self._add_gauge("requests", "Requests since start", lambda: entry.sequence)
        self._add_gauge(
            "retry_tokens", "Retries allowed", lambda: entry.retry_budget.tokens
        )
        self._add_gauge(
            "endpoints", "Endpoints known", lambda: len(tables.directory.endpoints)
        )
        self._add_gauge(
            "entries", "Entries known", lambda: len(tables.directory.entries)
        )
        self._add_gauge(
            "suspects",
            "Fingerprints under suspicion",
            lambda: len(tables.configuration.suspects),
        )

    def _add_replica_gauges(self, control_replica: ControlReplica) -> None:
        for group in (control_replica.control_group, control_replica.ledger_group):
            name = group.name.replace("-", "_")
            self._add_gauge(f"{name}_term", "Term", lambda group=group: group.term)
            self._add_gauge(
                f"{name}_applied", "Applied", lambda group=group: group.applied
            )
            self._add_gauge(
                f"{name}_leader",
                "Whether this replica leads",
                lambda group=group: float(group.is_leader),
            )

    def _add_gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        gauge = Gauge(f"bergamotwood_{name}", doc, registry=self._registry)
        self._readings.append(Reading(gauge, read))
