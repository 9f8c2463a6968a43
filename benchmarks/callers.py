"""Callers of streams, and the gateway's decisions at many entries."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from benchmarks.agenda import Agenda
from benchmarks.batching import BatchingEngine, Generation, Work
from benchmarks.deployment import LARGE, MIDDLE, MODELS, SMALL, Kind, Site
from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.call import Call, PromptPart, RequestMetadata
from bergamotwood_core.gateway.configuration import (
    Destination,
    RouteKind,
    ServiceRoute,
)
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.health import HealthTable
from bergamotwood_core.gateway.latency import LatencyTable, Timing
from bergamotwood_core.gateway.load import LoadSum, LoadTable
from bergamotwood_core.gateway.models import can_finish_in_time, choose_next_model
from bergamotwood_core.gateway.placement import Candidate, Placement
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Fingerprint,
    Incarnation,
    ModelName,
    RequestId,
    Sequence,
    ServiceName,
)
from bergamotwood_core.states import EndpointState

# Part of the requests that each model answers well, from the users' sheets.
QUALITY = {SMALL: 0.54, MIDDLE: 0.64, LARGE: 1.0}
# How far confidence spreads around its mean of 0.25 or 0.75.
CONFIDENCE_SPREAD = 0.12
# Age of reported loads: half of an entry's time between two questions, and a way.
REPORT_SECONDS = 0.4
CENTRES = tuple(DataCentre(f"dc{at}") for at in range(4))
SERVICE = ServiceName("pool")
# Time of one send between an entry and an engine, and back.
TRIP_SECONDS = 0.002
WARM_SECONDS = 5.0


@dataclass
class Result:
    """What callers got."""

    owed: float = 0.0
    earned: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)
    heads: list[float] = field(default_factory=list)


Choose = Callable[["Entry", list[EndpointHeartbeat], Call, Seconds], Candidate | None]


class Entry:
    """The gateway's decisions at one entry."""

    def __init__(self, number: int, rng: Random) -> None:
        self.loads = LoadTable()
        self.health = HealthTable()
        self.pace = LatencyTable()
        self.home = CENTRES[number % len(CENTRES)]
        self.placement = Placement(self.home, self.health, self.loads.find, rng)
        self.rng = rng


class Play:
    """One run of a site.

    Parameters
    ----------
    site : Site
        Its sizes.
    seed : int
        Seed of everything random.
    choose : callable
        Chooses the endpoint of a call.
    models : tuple of ModelName
        Models that may be used.
    load : float
        Requests, as a part of the site's.
    replaced_at, replaced_part : float
        When a part of the engines is replaced by empty ones.
    restarted_at : float
        When all entries lose what they know; 0 for never.
    """

    def __init__(
        self,
        site: Site,
        seed: int,
        choose: Choose,
        models: tuple[ModelName, ...] = MODELS,
        load: float = 1.0,
        replaced_at: float = 20.0,
        replaced_part: float = 0.35,
        restarted_at: float = 0.0,
    ) -> None:
        self.site = site
        self.choose = choose
        self.models = models
        self.load = load
        self.seed = seed
        self.rng = Random(seed)
        self.agenda = Agenda()
        self.result = Result()
        self.work = Work()
        self.ids = count()
        self.open: set[Request] = set()
        self.entries = self._make_entries()
        self.engines: dict[EndpointId, BatchingEngine] = {}
        self.beats: list[EndpointHeartbeat] = []
        self.replaced_part = replaced_part
        for _ in range(site.engines):
            self._add_engine()
        self.agenda.add(replaced_at, self._replace_engines)
        if restarted_at:
            self.agenda.add(restarted_at, self.restart_entries)

    def run(self, seconds: float) -> None:
        """Play callers for a time, and end what they began."""
        for kind in self.site.kinds:
            self._schedule(kind, seconds)
        self.agenda.repeat(REPORT_SECONDS, self._report, seconds + 30.0)
        self.agenda.run(seconds + 30.0)

    def restart_entries(self) -> None:
        """Lose every entry at once; engines go on with what they have."""
        for request in list(self.open):
            request.lose()
        self.entries = self._make_entries()

    def _make_entries(self) -> list[Entry]:
        return [Entry(at, Random(self.seed + at)) for at in range(self.site.entries)]

    def _add_engine(self) -> None:
        name = EndpointId(f"e{next(self.ids)}")
        self.engines[name] = BatchingEngine(self.agenda, self.site.engine, self.work)
        self.beats.append(
            EndpointHeartbeat(
                endpoint=name,
                incarnation=Incarnation(1),
                sequence=Sequence(1),
                service=SERVICE,
                address=name,
                data_centre=CENTRES[len(self.beats) % len(CENTRES)],
                state=EndpointState.SERVING,
                models=MODELS,
                slots=self.site.engine.slots,
            )
        )

    def _replace_engines(self) -> None:
        """Replace engines one after the other; running requests end at the old."""
        for _ in range(int(self.replaced_part * self.site.engines)):
            self.beats.pop(0)
            self._add_engine()

    def _schedule(self, kind: Kind, seconds: float) -> None:
        wait = self.rng.expovariate(kind.rate * self.load)
        if self.agenda.now + wait > seconds:
            return

        def arrive() -> None:
            Request(self, kind).send()
            self._schedule(kind, seconds)

        self.agenda.add(wait, arrive)

    def _report(self) -> None:
        """Tell each entry what the others had a moment ago."""
        reports = [entry.loads.list_own() for entry in self.entries]
        total = LoadSum()
        for report in reports:
            total.add(report)
        for entry, report in zip(self.entries, reports, strict=True):
            entry.loads.set_others(total.list_without(report))


class Request:
    """One caller's request through the models."""

    def __init__(self, play: Play, kind: Kind) -> None:
        rng = play.rng
        self.play = play
        self.kind = kind
        self.entry = rng.choice(play.entries)
        self.events = max(1, round(draw(rng, kind.events, kind.events_spread, 4.0)))
        own = max(1, round(draw(rng, kind.own_tokens, 1.0, 14.0)))
        subject = min(int(kind.subjects * rng.random() ** 1.3), kind.subjects - 1)
        shared = Random(f"{kind.name}{subject}")
        tokens = max(1, round(draw(shared, kind.shared_tokens, 0.7, 3.0)))
        number = next(play.ids)
        prompt = (
            PromptPart(f"{kind.name}{subject}", tokens),
            PromptPart(f"q{number}", own),
        )
        self.hardness = Random(f"{play.seed}{number}").random()
        self.started_at = play.agenda.now
        expected = self.events * play.site.engine.event_tokens
        self.call = Call(
            metadata=RequestMetadata(
                request=RequestId(f"q{number}"),
                leaves_model_open=True,
                prompt_tokens=tokens + own,
                expected_tokens=int(expected * rng.lognormvariate(0.0, 0.5)) + 1,
                prompt=prompt,
            ),
            route=make_route(kind),
            holder=None,
            service=SERVICE,
            received_at=self.started_at,
            deadline=Seconds(self.started_at + kind.deadline),
            fingerprint=Fingerprint(""),
            model=play.models[0],
        )
        self.is_late = False
        self.last_at = self.started_at
        self.generation: Generation | None = None
        size = (tokens + own) / (kind.shared_tokens + kind.own_tokens)
        self.worth = kind.worth * min(0.3 + 0.7 * size, 4.0)

    @property
    def is_measured(self) -> bool:
        """Whether it came after the caches had filled."""
        return self.started_at >= WARM_SECONDS

    def send(self) -> None:
        """Send it to an engine."""
        self.play.open.add(self)
        play, entry, call = self.play, self.entry, self.call
        now = play.agenda.now
        candidate = play.choose(entry, play.beats, call, now)
        if candidate is None:
            self._count("failed", is_good=False)
            return
        self.candidate = candidate
        self.sent_at = now
        endpoint = candidate.heartbeat.endpoint
        reading = entry.placement.estimate_prefill(candidate, call)
        entry.loads.add_request(endpoint, call.metadata.request, reading)
        entry.placement.record_send(candidate, call)
        self.engine = play.engines[endpoint]
        self.generation = Generation(
            call.model, call.metadata.prompt, self.events, self._take_event
        )
        generation = self.generation
        play.agenda.add(TRIP_SECONDS, lambda: self.engine.submit(generation))
        left = call.deadline - now
        play.agenda.add(left, lambda: self._give_up(generation))

    def _take_event(self, generation: Generation) -> None:
        if generation is not self.generation:
            return
        now = self.play.agenda.now
        if generation.tokens == 1:
            self._begin(now)
            if self.generation is not generation:
                return
        elif now - self.last_at > self.kind.gap:
            self.is_late = True
        self.last_at = now
        if generation.is_over:
            self._end(now)

    def _begin(self, now: Seconds) -> None:
        entry, call = self.entry, self.call
        endpoint = self.candidate.heartbeat.endpoint
        entry.loads.mark_prefilled(endpoint, call.metadata.request)
        entry.placement.record_answer_start(self.candidate, call, now - self.sent_at)
        self.head_seconds = now - self.sent_at
        larger = choose_next_model(
            self.play.models,
            set(self.play.models),
            call.model,
            self._draw_confidence(),
            lambda model: self._has_time(model, now),
        )
        if larger is not None:
            self.engine.cancel(self.generation)
            entry.loads.remove_request(endpoint, call.metadata.request)
            call.model = larger
            call.tried.append(endpoint)
            self.send()
            return
        self.is_late = now - self.started_at > self.kind.objective
        if self.is_measured:
            self.play.result.heads.append(now - self.started_at)

    def _draw_confidence(self) -> float:
        mean = 0.75 if self.hardness < QUALITY[self.call.model] else 0.25
        return min(max(self.play.rng.gauss(mean, CONFIDENCE_SPREAD), 0.0), 1.0)

    def _has_time(self, model: ModelName, now: Seconds) -> bool:
        call = self.call
        seconds = self.entry.pace.estimate(
            call.route.name, model, call.metadata.expected_tokens
        )
        return can_finish_in_time(seconds, call.deadline - now)

    def _end(self, now: Seconds) -> None:
        entry, call = self.entry, self.call
        entry.loads.remove_request(
            self.candidate.heartbeat.endpoint, call.metadata.request
        )
        timing = Timing(self.head_seconds, now - self.sent_at, self.events)
        entry.pace.record(
            call.route.name, call.model, timing, call.metadata.expected_tokens
        )
        is_good = self.hardness < QUALITY[call.model]
        self._count("late" if self.is_late else "in time", is_good)

    def _give_up(self, generation: Generation) -> None:
        if generation.is_over or generation is not self.generation:
            return
        self.engine.cancel(generation)
        self.entry.loads.remove_request(
            self.candidate.heartbeat.endpoint, self.call.metadata.request
        )
        self._count("failed", is_good=False)

    def lose(self) -> None:
        """Fail with the entry; the engine is not told."""
        self.generation = None
        self._count("failed", is_good=False)

    def _count(self, outcome: str, is_good: bool) -> None:
        self.play.open.discard(self)
        if not self.is_measured:
            return
        result = self.play.result
        result.owed += self.worth
        result.counts[outcome] += 1
        result.counts[self.call.model] += 1
        if outcome != "failed":
            part = 0.3 if outcome == "late" else 1.0
            result.earned += self.worth * part * (1.0 if is_good else 0.05)


def draw(rng: Random, mean: float, spread: float, most: float) -> float:
    """Draw a lognormal length with a mean, cut at a multiple of it."""
    value = rng.lognormvariate(-spread * spread / 2, spread) * mean
    return min(value, most * mean)


def make_route(kind: Kind) -> ServiceRoute:
    """Make the route of a kind of request."""
    return ServiceRoute(
        name=kind.name,
        host="h",
        path_prefix="/",
        kind=RouteKind.STREAMING,
        destinations=(Destination(SERVICE, 1.0),),
        timeout_seconds=kind.deadline,
        objective_seconds=kind.objective,
        event_gap_seconds=kind.gap,
        max_attempts=3,
        models=MODELS,
        resumable=True,
    )
