"""Simulated entries and fake engines that exercise the routing decisions."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from benchmarks.engine import Engine, EngineHealth, EngineSettings, Job
from benchmarks.simulation import Simulation
from benchmarks.traffic import OfferedRequest
from bergamotwood_core.admission import (
    AdmissionController,
    AdmissionSettings,
    Admitted,
    Queued,
    Refused,
    compute_limit,
)
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Workspace
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    RequestId,
    Sequence,
    VersionId,
)
from bergamotwood_core.messages import Address, Announcement
from bergamotwood_core.outlier import (
    is_silent,
    record_failure,
    record_first_token,
    record_start,
    record_success,
)
from bergamotwood_core.placement import PlacementRequirements
from bergamotwood_core.retry import RetryBudget
from bergamotwood_core.states import EndpointKind
from bergamotwood_core.tables import DirectoryTables, Endpoint
from bergamotwood_core.target import VersionTarget

VERSION = VersionId("reader:1")
REPORT_SECONDS = 1.0
TICK_SECONDS = 0.1
SILENCE_CHECK_SECONDS = 0.5
EXPIRY_SECONDS = 5.0
MAX_ATTEMPTS = 3

ChooseEndpoint = Callable[
    [DirectoryTables, PlacementRequirements, Seconds, Random], EndpointId | None
]


@dataclass
class FleetSettings:
    """Size, report lag and limits of a fleet.

    Parameters
    ----------
    engines, entries, data_centres : int
        Numbers; engines and entries are spread evenly over the data centres.
    nearby : tuple of DataCentre
        Data centres within a few milliseconds of each other.
    lag_seconds : float
        Mean delay of a load report.
    loss : float
        Share of the load reports that are lost.
    admission : bool
        Whether entries use admission control.
    headroom : float
        Factor on the engines' slots when the admission limit is computed.
    silence_seconds : float
        Maximum time that an attempt waits for its first token.
    engine : EngineSettings
        Speed and size of each engine.
    limits : AdmissionSettings
        Settings of the entries' admission control.
    """

    engines: int = 10
    entries: int = 9
    data_centres: int = 3
    nearby: tuple[DataCentre, ...] = (
        DataCentre("dc0"),
        DataCentre("dc1"),
        DataCentre("dc2"),
    )
    lag_seconds: float = 1.0
    loss: float = 0.2
    admission: bool = True
    headroom: float = 1.0
    silence_seconds: float = 12.0
    engine: EngineSettings = field(default_factory=EngineSettings)
    limits: AdmissionSettings = field(
        default_factory=lambda: AdmissionSettings(max_queued=64, service_seconds=4.0)
    )


@dataclass(eq=False)
class EntryFake:
    """One entry with its tables, admission control and retry budget."""

    data_centre: DataCentre
    admission: AdmissionController
    tables: DirectoryTables = field(default_factory=DirectoryTables)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    waiting: dict[RequestId, OfferedRequest] = field(default_factory=dict)


class Fleet:
    """Runs requests through entries and engines.

    Parameters
    ----------
    settings : FleetSettings
        Sizes, lag and loss of load reports, and limits.
    choose : callable
        Placement policy under test.
    seed : int
        Seed of all random draws.
    workspaces : dict
        Workspaces by name.
    """

    def __init__(
        self,
        settings: FleetSettings,
        choose: ChooseEndpoint,
        seed: int,
        workspaces: dict[str, Workspace],
    ) -> None:
        self.settings = settings
        self.choose = choose
        self.rng = Random(seed)
        self.simulation = Simulation()
        self.workspaces = workspaces
        self.on_end: Callable[[OfferedRequest], None] = lambda request: None
        self.wasted_work = 0.0
        self.total_work = 0.0
        self.attempts = 0
        self.remote_attempts = 0
        self.engines = self._make_engines()
        self.entries = self._make_entries()
        self._last_report: dict[EndpointId, float] = {}

    def run(self, requests: list[OfferedRequest], seconds: float) -> None:
        """Submit requests at their arrival times and run for a time."""
        for request in requests:
            self.simulation.schedule(
                request.arrived_at, lambda request=request: self.submit(request)
            )
        until = seconds
        self.simulation.schedule_every(REPORT_SECONDS, self._report, until)
        self.simulation.schedule_every(TICK_SECONDS, self._tick, until)
        self.simulation.run(until)

    def submit(self, request: OfferedRequest) -> None:
        """Submit a request to a random entry."""
        entry = self.rng.choice(self.entries)
        entry.retry_budget.record_offered()
        if not self.settings.admission:
            self._dispatch(entry, request, frozenset())
            return
        request_id = make_request_id(request)
        decision = entry.admission.offer(
            request_id,
            self.workspaces[request.workspace],
            request.kind.priority,
            Seconds(request.arrived_at + request.kind.first_seconds * 0.8),
            self.simulation.now,
        )
        match decision:
            case Admitted():
                self._dispatch(entry, request, frozenset())
            case Queued(displaced):
                entry.waiting[request_id] = request
                self._refuse(entry, displaced)
            case Refused():
                self._finish(request, refused=True)

    def _make_engines(self) -> dict[EndpointId, Engine]:
        settings = self.settings
        return {
            EndpointId(f"e{number:04d}"): Engine(self.simulation, settings.engine)
            for number in range(settings.engines)
        }

    def _make_entries(self) -> list[EntryFake]:
        entries = []
        for number in range(self.settings.entries):
            entry = EntryFake(
                self.get_data_centre(number), AdmissionController(self.settings.limits)
            )
            for id_ in self.engines:
                entry.tables.endpoints[id_] = Endpoint(
                    self._announce(id_, 0), Seconds(0.0)
                )
            entries.append(entry)
        return entries

    def get_data_centre(self, number: int) -> DataCentre:
        """Return the data centre of the engine or entry with this number."""
        return DataCentre(f"dc{number % self.settings.data_centres}")

    def _announce(self, id_: EndpointId, load: float) -> Announcement:
        return Announcement(
            id=id_,
            incarnation=Incarnation(1),
            sequence=Sequence(1),
            address=Address("127.0.0.1", 1),
            data_centre=self.get_data_centre(int(id_[1:])),
            kind=EndpointKind.MODEL,
            versions=(VERSION,),
            capacity=self.settings.engine.capacity,
            load=load,
        )

    def _report(self) -> None:
        """Send each engine's load to each entry, with lag and loss."""
        for id_, engine in self.engines.items():
            if engine.health is EngineHealth.DEAD:
                continue
            announcement = self._announce(id_, engine.load)
            for entry in self.entries:
                if self.rng.random() < self.settings.loss:
                    continue
                lag = self.settings.lag_seconds * self.rng.uniform(0.5, 1.5)
                self.simulation.schedule(
                    lag,
                    lambda entry=entry, announcement=announcement: self._receive(
                        entry, announcement
                    ),
                )

    def _receive(self, entry: EntryFake, announcement: Announcement) -> None:
        row = entry.tables.endpoints.get(announcement.id)
        if row is None:
            row = Endpoint(announcement, self.simulation.now)
            entry.tables.endpoints[announcement.id] = row
            entry.tables.membership_version += 1
        row.announcement = announcement
        row.heard_at = self.simulation.now
        row.outstanding_at_report = row.outstanding

    def _tick(self) -> None:
        """Expire endpoints and queued requests; adapt the limit to the load."""
        now = self.simulation.now
        for entry in self.entries:
            self._expire(entry, now)
            if not self.settings.admission:
                continue
            self._refuse(entry, entry.admission.expire(now))
            self._start(
                entry, entry.admission.set_limit("", self._compute_limit(entry), now)
            )

    def _expire(self, entry: EntryFake, now: Seconds) -> None:
        rows = entry.tables.endpoints
        for id_ in [i for i, r in rows.items() if now - r.heard_at > EXPIRY_SECONDS]:
            del rows[id_]
            entry.tables.membership_version += 1

    def _compute_limit(self, entry: EntryFake) -> int:
        rows = entry.tables.endpoints.values()
        capacity = sum(row.announcement.capacity for row in rows)
        load = sum(row.announcement.load for row in rows)
        return compute_limit(
            capacity * self.settings.headroom,
            load,
            entry.admission.in_flight,
            len(self.entries),
        )

    def _start(self, entry: EntryFake, request_ids: tuple[RequestId, ...]) -> None:
        for request_id in request_ids:
            self._dispatch(entry, entry.waiting.pop(request_id), frozenset())

    def _refuse(self, entry: EntryFake, request_ids: tuple[RequestId, ...]) -> None:
        for request_id in request_ids:
            self._finish(entry.waiting.pop(request_id), refused=True)

    def _finish(
        self, request: OfferedRequest, refused: bool = False, failed: bool = False
    ) -> None:
        request.refused = refused
        request.failed = failed
        self.on_end(request)

    def _release(self, entry: EntryFake, request: OfferedRequest) -> None:
        if self.settings.admission:
            request_id = make_request_id(request)
            self._start(entry, entry.admission.release(request_id, self.simulation.now))

    def _dispatch(
        self, entry: EntryFake, request: OfferedRequest, excluded: frozenset[EndpointId]
    ) -> None:
        """Choose an endpoint for one attempt and send it."""
        requirements = PlacementRequirements(
            VersionTarget(VERSION),
            entry.data_centre,
            nearby=self.settings.nearby,
            prefix_hash=request.prefix,
            prefix_tokens=request.kind.prefix_tokens,
            excluded=excluded,
        )
        id_ = self.choose(entry.tables, requirements, self.simulation.now, self.rng)
        if id_ is None:
            self._finish(request, failed=True)
            self._release(entry, request)
            return
        Attempt(self, entry, request, id_, excluded).send()


def make_request_id(request: OfferedRequest) -> RequestId:
    """Make a unique id; the numbers of several generators may collide."""
    return RequestId(str(id(request)))


class Attempt:
    """One attempt of a request on one engine."""

    def __init__(
        self,
        fleet: Fleet,
        entry: EntryFake,
        request: OfferedRequest,
        id_: EndpointId,
        excluded: frozenset[EndpointId],
    ) -> None:
        self.fleet = fleet
        self.entry = entry
        self.request = request
        self.id = id_
        self.excluded = excluded
        self.engine = fleet.engines[id_]
        self.row = entry.tables.endpoints[id_]
        self.sent_at = fleet.simulation.now
        self.answered = False
        self.ended = False
        self.job = Job(
            request.prefix,
            request.kind.prefix_tokens,
            request.prompt_tokens,
            request.output_tokens,
            int(request.kind.priority),
            self._handle_first_token,
            self._handle_end,
            self._handle_failure,
        )

    def send(self) -> None:
        """Send the attempt and check for silence until its first token."""
        fleet = self.fleet
        fleet.attempts += 1
        self.request.attempts += 1
        if self.row.announcement.data_centre != self.entry.data_centre:
            fleet.remote_attempts += 1
        record_start(self.row, fleet.simulation.now)
        self.engine.submit(self.job)
        fleet.simulation.schedule(SILENCE_CHECK_SECONDS, self._check_silence)

    def _handle_first_token(self) -> None:
        now = self.fleet.simulation.now
        self.answered = True
        record_first_token(self.row, now - self.sent_at, now)
        if self.request.first_token_at is None:
            self.request.first_token_at = now
            self.request.cached_tokens = self.job.cached_tokens

    def _handle_end(self) -> None:
        self.ended = True
        now = self.fleet.simulation.now
        record_success(self.row, now)
        self.request.finished_at = now
        work = self.job.count_work(now)
        self.fleet.total_work += work
        if not self.request.met_deadline:
            self.fleet.wasted_work += work
        self.fleet._finish(self.request)
        self.fleet._release(self.entry, self.request)

    def _check_silence(self) -> None:
        if self.answered or self.ended:
            return
        now = self.fleet.simulation.now
        waited = now - self.sent_at
        timeout = self.fleet.settings.silence_seconds
        if waited < timeout and not is_silent(self.row, now):
            self.fleet.simulation.schedule(SILENCE_CHECK_SECONDS, self._check_silence)
            return
        self.engine.cancel(self.job)
        self._handle_failure()

    def _handle_failure(self) -> None:
        if self.ended:
            return
        self.ended = True
        fleet = self.fleet
        now = fleet.simulation.now
        record_failure(self.row, now, self.answered)
        work = self.job.count_work(now)
        fleet.total_work += work
        fleet.wasted_work += work
        if self.request.attempts < MAX_ATTEMPTS and self.entry.retry_budget.try_spend():
            fleet._dispatch(self.entry, self.request, self.excluded | {self.id})
            return
        fleet._finish(self.request, failed=True)
        fleet._release(self.entry, self.request)
