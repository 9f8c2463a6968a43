"""Entries before queueing fakes of engines, to drive the decisions."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from benchmarks.agenda import Agenda
from benchmarks.engine import Engine, EngineSettings, Health, Job
from benchmarks.workload import Offer
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

Choose = Callable[
    [DirectoryTables, PlacementRequirements, Seconds, Random], EndpointId | None
]


@dataclass
class FleetSettings:
    """Size, faults and lag of a fleet.

    Parameters
    ----------
    engines, entries, data_centres : int
        Sizes; engines and entries are spread evenly.
    nearby : tuple of DataCentre
        Data centres within a few milliseconds of each other.
    lag_seconds : float
        Mean age of a load report when it arrives.
    loss : float
        Share of reports that are lost.
    admission : bool
        Whether entries limit what they send.
    headroom : float
        Requests sent for each slot of the engines.
    silence_seconds : float
        How long an attempt may wait for its first token.
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
    """One entry: its tables, admission and retry budget."""

    data_centre: DataCentre
    admission: AdmissionController
    tables: DirectoryTables = field(default_factory=DirectoryTables)
    budget: RetryBudget = field(default_factory=RetryBudget)
    waiting: dict[RequestId, Offer] = field(default_factory=dict)


class Fleet:
    """Runs offers through entries and engines.

    Parameters
    ----------
    settings : FleetSettings
        Sizes and faults.
    choose : callable
        The placement under test.
    seed : int
        Seed of all draws.
    workspaces : dict
        Workspaces by name.
    """

    def __init__(
        self,
        settings: FleetSettings,
        choose: Choose,
        seed: int,
        workspaces: dict[str, Workspace],
    ) -> None:
        self.settings = settings
        self.choose = choose
        self.rng = Random(seed)
        self.agenda = Agenda()
        self.workspaces = workspaces
        self.on_end: Callable[[Offer], None] = lambda offer: None
        self.wasted = 0.0
        self.work = 0.0
        self.attempts = 0
        self.spilled = 0
        self.engines = self._make_engines()
        self.entries = self._make_entries()
        self._last_report: dict[EndpointId, float] = {}

    def run(self, offers: list[Offer], seconds: float) -> None:
        """Offer requests at their times and run to an end."""
        for offer in offers:
            self.agenda.add(offer.at, lambda offer=offer: self.offer(offer))
        until = seconds
        self.agenda.repeat(REPORT_SECONDS, self._report, until)
        self.agenda.repeat(TICK_SECONDS, self._tick, until)
        self.agenda.run(until)

    def offer(self, offer: Offer) -> None:
        """Bring a request to a random entry."""
        entry = self.rng.choice(self.entries)
        entry.budget.record_offered()
        if not self.settings.admission:
            self._dispatch(entry, offer, frozenset())
            return
        request = name_request(offer)
        decision = entry.admission.offer(
            request,
            self.workspaces[offer.workspace],
            offer.kind.priority,
            Seconds(offer.at + offer.kind.first_seconds * 0.8),
            self.agenda.now,
        )
        match decision:
            case Admitted():
                self._dispatch(entry, offer, frozenset())
            case Queued(displaced):
                entry.waiting[request] = offer
                self._refuse(entry, displaced)
            case Refused():
                self._end(offer, refused=True)

    def _make_engines(self) -> dict[EndpointId, Engine]:
        settings = self.settings
        return {
            EndpointId(f"e{number:04d}"): Engine(self.agenda, settings.engine)
            for number in range(settings.engines)
        }

    def _make_entries(self) -> list[EntryFake]:
        entries = []
        for number in range(self.settings.entries):
            entry = EntryFake(
                self.place(number), AdmissionController(self.settings.limits)
            )
            for id_ in self.engines:
                entry.tables.endpoints[id_] = Endpoint(
                    self._announce(id_, 0), Seconds(0.0)
                )
            entries.append(entry)
        return entries

    def place(self, number: int) -> DataCentre:
        """Name the data centre of the engine or entry with a number."""
        return DataCentre(f"dc{number % self.settings.data_centres}")

    def _announce(self, id_: EndpointId, load: float) -> Announcement:
        return Announcement(
            id=id_,
            incarnation=Incarnation(1),
            sequence=Sequence(1),
            address=Address("127.0.0.1", 1),
            data_centre=self.place(int(id_[1:])),
            kind=EndpointKind.MODEL,
            versions=(VERSION,),
            capacity=self.settings.engine.capacity,
            load=load,
        )

    def _report(self) -> None:
        """Send each engine's load to each entry, late and with gaps."""
        for id_, engine in self.engines.items():
            if engine.health is Health.DEAD:
                continue
            word = self._announce(id_, engine.load)
            for entry in self.entries:
                if self.rng.random() < self.settings.loss:
                    continue
                lag = self.settings.lag_seconds * self.rng.uniform(0.5, 1.5)
                self.agenda.add(
                    lag, lambda entry=entry, word=word: self._hear(entry, word)
                )

    def _hear(self, entry: EntryFake, word: Announcement) -> None:
        row = entry.tables.endpoints.get(word.id)
        if row is None:
            row = Endpoint(word, self.agenda.now)
            entry.tables.endpoints[word.id] = row
            entry.tables.membership_version += 1
        row.announcement = word
        row.heard_at = self.agenda.now
        row.outstanding_at_report = row.outstanding

    def _tick(self) -> None:
        """Expire endpoints and queued requests; follow the load."""
        now = self.agenda.now
        for entry in self.entries:
            self._expire(entry, now)
            if not self.settings.admission:
                continue
            self._refuse(entry, entry.admission.expire(now))
            self._start(entry, entry.admission.set_limit("", self._limit(entry), now))

    def _expire(self, entry: EntryFake, now: Seconds) -> None:
        rows = entry.tables.endpoints
        for id_ in [i for i, r in rows.items() if now - r.heard_at > EXPIRY_SECONDS]:
            del rows[id_]
            entry.tables.membership_version += 1

    def _limit(self, entry: EntryFake) -> int:
        rows = entry.tables.endpoints.values()
        capacity = sum(row.announcement.capacity for row in rows)
        load = sum(row.announcement.load for row in rows)
        return compute_limit(
            capacity * self.settings.headroom,
            load,
            entry.admission.in_flight,
            len(self.entries),
        )

    def _start(self, entry: EntryFake, requests: tuple[RequestId, ...]) -> None:
        for request in requests:
            self._dispatch(entry, entry.waiting.pop(request), frozenset())

    def _refuse(self, entry: EntryFake, requests: tuple[RequestId, ...]) -> None:
        for request in requests:
            self._end(entry.waiting.pop(request), refused=True)

    def _end(self, offer: Offer, refused: bool = False, failed: bool = False) -> None:
        offer.refused = refused
        offer.failed = failed
        self.on_end(offer)

    def _release(self, entry: EntryFake, offer: Offer) -> None:
        if self.settings.admission:
            request = name_request(offer)
            self._start(entry, entry.admission.release(request, self.agenda.now))

    def _dispatch(
        self, entry: EntryFake, offer: Offer, excluded: frozenset[EndpointId]
    ) -> None:
        """Place one attempt and send it."""
        need = PlacementRequirements(
            VersionTarget(VERSION),
            entry.data_centre,
            nearby=self.settings.nearby,
            prefix_hash=offer.prefix,
            prefix_tokens=offer.kind.prefix_tokens,
            excluded=excluded,
        )
        id_ = self.choose(entry.tables, need, self.agenda.now, self.rng)
        if id_ is None:
            self._end(offer, failed=True)
            self._release(entry, offer)
            return
        Attempt(self, entry, offer, id_, excluded).send()


def name_request(offer: Offer) -> RequestId:
    """Name a request; offers of several streams may share their numbers."""
    return RequestId(str(id(offer)))


class Attempt:
    """One attempt of a request on one engine."""

    def __init__(
        self,
        fleet: Fleet,
        entry: EntryFake,
        offer: Offer,
        id_: EndpointId,
        excluded: frozenset[EndpointId],
    ) -> None:
        self.fleet = fleet
        self.entry = entry
        self.offer = offer
        self.id = id_
        self.excluded = excluded
        self.engine = fleet.engines[id_]
        self.row = entry.tables.endpoints[id_]
        self.sent_at = fleet.agenda.now
        self.answered = False
        self.ended = False
        self.job = Job(
            offer.prefix,
            offer.kind.prefix_tokens,
            offer.prompt_tokens,
            offer.output_tokens,
            int(offer.kind.priority),
            self._first,
            self._done,
            self._fail,
        )

    def send(self) -> None:
        """Send the attempt and watch for its first token."""
        fleet = self.fleet
        fleet.attempts += 1
        self.offer.attempts += 1
        if self.row.announcement.data_centre != self.entry.data_centre:
            fleet.spilled += 1
        record_start(self.row, fleet.agenda.now)
        self.engine.submit(self.job)
        fleet.agenda.add(SILENCE_CHECK_SECONDS, self._check_silence)

    def _first(self) -> None:
        now = self.fleet.agenda.now
        self.answered = True
        record_first_token(self.row, now - self.sent_at, now)
        if self.offer.first_at is None:
            self.offer.first_at = now
            self.offer.cached = self.job.cached

    def _done(self) -> None:
        self.ended = True
        now = self.fleet.agenda.now
        record_success(self.row, now)
        self.offer.done_at = now
        work = self.job.count_work(now)
        self.fleet.work += work
        if not self.offer.good:
            self.fleet.wasted += work
        self.fleet._end(self.offer)
        self.fleet._release(self.entry, self.offer)

    def _check_silence(self) -> None:
        if self.answered or self.ended:
            return
        now = self.fleet.agenda.now
        waited = now - self.sent_at
        patience = self.fleet.settings.silence_seconds
        if waited < patience and not is_silent(self.row, now):
            self.fleet.agenda.add(SILENCE_CHECK_SECONDS, self._check_silence)
            return
        self.engine.cancel(self.job)
        self._fail()

    def _fail(self) -> None:
        if self.ended:
            return
        self.ended = True
        fleet = self.fleet
        now = fleet.agenda.now
        record_failure(self.row, now, self.answered)
        work = self.job.count_work(now)
        fleet.work += work
        fleet.wasted += work
        if self.offer.attempts < MAX_ATTEMPTS and self.entry.budget.try_spend():
            fleet._dispatch(self.entry, self.offer, self.excluded | {self.id})
            return
        fleet._end(self.offer, failed=True)
        fleet._release(self.entry, self.offer)
