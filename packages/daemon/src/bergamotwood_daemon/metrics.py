"""Metrics of a daemon, in the Prometheus text form."""

from collections.abc import Callable
from dataclasses import dataclass

from aioprometheus import Gauge, Registry, render

from bergamotwood_daemon.entry import Entry
from bergamotwood_daemon.replicas import Replicas
from bergamotwood_daemon.web import Response, WebRequest

NO_LABELS: dict[str, str] = {}
UNKNOWN_AGE_SECONDS = 1e9


@dataclass(frozen=True)
class Reading:
    """A gauge and where its value is read."""

    gauge: Gauge
    read: Callable[[], float]


class Metrics:
    """Gauges over the tables, read when they are asked for.

    Parameters
    ----------
    entry : Entry
        The entry's tables.
    replicas : Replicas or None
        The control role, where the instance has it.
    """

    def __init__(self, entry: Entry, replicas: Replicas | None) -> None:
        self._registry = Registry()
        self._readings: list[Reading] = []
        self._add_entry(entry)
        if replicas is not None:
            self._add_replicas(replicas)

    def answer(self, request: WebRequest) -> Response:
        """Answer a scrape."""
        for reading in self._readings:
            reading.gauge.set(NO_LABELS, reading.read())
        accepts = [request.read_header("accept") or "*/*"]
        body, headers = render(self._registry, accepts)
        content_type = headers.get("Content-Type", "text/plain")
        return Response(200, content_type, [body])

    def _add_entry(self, entry: Entry) -> None:
        tables = entry.tables
        self._add(
            "config_age_seconds",
            "Age of the configuration in force",
            lambda: min(entry.measure_age(), UNKNOWN_AGE_SECONDS),
        )
        self._add("config_index", "Log index in force", lambda: entry.watch.applied)
        self._add("poll_sent", "Bytes sent by polls", lambda: entry.watch.sent_bytes)
        self._add(
            "poll_received",
            "Bytes received by polls",
            lambda: entry.watch.received_bytes,
        )
        self._add("in_flight", "Requests in flight", lambda: len(tables.in_flight))
        self._add("queued", "Requests waiting", lambda: entry.admission.queued)
        self._add("settling", "Claims settling", lambda: entry.claims.settling)
        self._add("requests", "Requests since start", lambda: entry.sequence)
        self._add("retry_tokens", "Retries allowed", lambda: entry.retries.tokens)
        self._add(
            "endpoints", "Endpoints known", lambda: len(tables.directory.endpoints)
        )
        self._add("entries", "Entries known", lambda: len(tables.directory.entries))
        self._add(
            "suspects",
            "Fingerprints under suspicion",
            lambda: len(tables.configuration.suspects),
        )

    def _add_replicas(self, replicas: Replicas) -> None:
        for group in (replicas.control, replicas.ledger):
            name = group.name.replace("-", "_")
            self._add(f"{name}_term", "Term", lambda group=group: group.term)
            self._add(f"{name}_applied", "Applied", lambda group=group: group.applied)
            self._add(
                f"{name}_leader",
                "Whether this replica leads",
                lambda group=group: float(group.is_leader),
            )

    def _add(self, name: str, doc: str, read: Callable[[], float]) -> None:
        gauge = Gauge(f"bergamotwood_{name}", doc, registry=self._registry)
        self._readings.append(Reading(gauge, read))
