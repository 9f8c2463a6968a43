"""Simulated callers of streams, and the gateway's decisions at many entries."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from msgspec.structs import replace

from benchmarks.batching import BatchingEngine, Generation, PrefillCounters
from benchmarks.deployment import LARGE, MIDDLE, MODELS, SMALL, RequestKind, Site
from benchmarks.simulation import Simulation
from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.call import Call, PromptPart, RequestMetadata
from bergamotwood_core.gateway.configuration import (
    Destination,
    RouteKind,
    ServiceRoute,
)
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.health import HealthTable
from bergamotwood_core.gateway.latency import LatencyTable, Timing, merge_latencies
from bergamotwood_core.gateway.load import LoadSum, LoadTable
from bergamotwood_core.gateway.models import (
    can_finish_in_time,
    can_start_in_time,
    choose_next_model,
)
from bergamotwood_core.gateway.notices import NoticeTable
from bergamotwood_core.gateway.placement import Candidate, Placement
from bergamotwood_core.gateway.prefill import estimate_rates, merge_histograms
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Fingerprint,
    Incarnation,
    ModelName,
    PromptPartId,
    RequestId,
    Sequence,
    ServiceName,
)
from bergamotwood_core.states import EndpointState

# Share of the requests that each model answers well, from the users' data sheets.
QUALITY = {SMALL: 0.54, MIDDLE: 0.64, LARGE: 1.0}
# Standard deviation of the confidence around its mean of 0.25 or 0.75.
CONFIDENCE_SPREAD = 0.12
# Age of reported loads: half of an entry's polling interval plus one network trip.
REPORT_SECONDS = 0.4
DATA_CENTRES = tuple(DataCentre(f"dc{index}") for index in range(4))
SERVICE = ServiceName("pool")
# Network time from an entry to an engine and back.
ROUND_TRIP_SECONDS = 0.002
WARMUP_SECONDS = 5.0


@dataclass
class Result:
    """Value, outcomes and times to the first event of the measured requests."""

    total_value: float = 0.0
    earned_value: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)
    first_event_times: list[float] = field(default_factory=list)


ChooseEndpoint = Callable[
    ["Entry", list[EndpointHeartbeat], Call, Seconds], Candidate | None
]


class Entry:
    """The gateway's decisions and state at one entry."""

    def __init__(self, number: int, rng: Random) -> None:
        self.loads = LoadTable()
        self.health = HealthTable()
        self.latencies = LatencyTable()
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.placement = Placement(
            self.data_centre, self.health, NoticeTable(rng), self.loads.find, rng
        )
        self.rng = rng


class SiteRun:
    """Simulates one run of a site.

    Parameters
    ----------
    site : Site
        Number of entries and engines, and kinds of requests.
    seed : int
        Seed of all random draws.
    choose : callable
        Policy that chooses the endpoint of a call.
    models : tuple of ModelName
        Models that may be used.
    load : float
        Factor on the site's request rates.
    replaced_at, replaced_share : float
        Second at which engines are replaced by ones with empty caches, and their
        share.
    restarted_at : float
        Second at which all entries restart and lose their state; 0 for never.
    pools_times : bool
        Whether entries pool their prefill times and latencies.
    heeds_objective : bool
        Whether a larger model is only tried if it starts within the objective.
    """

    def __init__(
        self,
        site: Site,
        seed: int,
        choose: ChooseEndpoint,
        models: tuple[ModelName, ...] = MODELS,
        load: float = 1.0,
        replaced_at: float = 20.0,
        replaced_share: float = 0.35,
        restarted_at: float = 0.0,
        pools_times: bool = True,
        heeds_objective: bool = True,
    ) -> None:
        self.site = site
        self.heeds_objective = heeds_objective
        self.pools_times = pools_times
        self.choose = choose
        self.models = models
        self.load = load
        self.seed = seed
        self.rng = Random(seed)
        self.simulation = Simulation()
        self.result = Result()
        self.prefill_counters = PrefillCounters()
        self.numbers = count()
        self.open_requests: set[Request] = set()
        self.entries = self._make_entries()
        self.engines: dict[EndpointId, BatchingEngine] = {}
        self.heartbeats: list[EndpointHeartbeat] = []
        self.replaced_share = replaced_share
        for _ in range(site.engines):
            self._add_engine()
        self.simulation.schedule(replaced_at, self._replace_engines)
        if restarted_at:
            self.simulation.schedule(restarted_at, self.restart_entries)

    def run(self, seconds: float) -> None:
        """Generate traffic for a time, then let the open requests finish."""
        for kind in self.site.kinds:
            self._schedule_arrival(kind, seconds)
        self.simulation.schedule_every(
            REPORT_SECONDS, self._exchange_loads, seconds + 30.0
        )
        self.simulation.run(seconds + 30.0)

    def restart_entries(self) -> None:
        """Restart every entry at once; engines continue their running requests."""
        for request in list(self.open_requests):
            request.abort()
        self.entries = self._make_entries()

    def make_request(self, kind: RequestKind) -> "Request":
        """Make a request that arrives now."""
        return Request(self, kind)

    def find_load(self) -> float:
        """Return the present factor on the site's request rates."""
        return self.load

    def _make_entries(self) -> list[Entry]:
        return [
            Entry(index, Random(self.seed + index))
            for index in range(self.site.entries)
        ]

    def _add_engine(self) -> None:
        name = EndpointId(f"e{next(self.numbers)}")
        self.engines[name] = BatchingEngine(
            self.simulation,
            self.site.engine,
            self.prefill_counters,
            speed=self.site.speeds[len(self.engines) % len(self.site.speeds)],
        )
        self.heartbeats.append(
            EndpointHeartbeat(
                endpoint=name,
                incarnation=Incarnation(1),
                sequence=Sequence(1),
                service=SERVICE,
                address=name,
                data_centre=DATA_CENTRES[len(self.heartbeats) % len(DATA_CENTRES)],
                state=EndpointState.SERVING,
                models=MODELS,
                slots=self.site.engine.slots,
            )
        )

    def _replace_engines(self) -> None:
        """Replace the oldest engines; running requests finish on the replaced ones."""
        for _ in range(int(self.replaced_share * self.site.engines)):
            self.heartbeats.pop(0)
            self._add_engine()

    def _schedule_arrival(self, kind: RequestKind, seconds: float) -> None:
        delay = self.rng.expovariate(kind.rate * self.find_load())
        if self.simulation.now + delay > seconds:
            return

        def arrive() -> None:
            self.make_request(kind).send()
            self._schedule_arrival(kind, seconds)

        self.simulation.schedule(delay, arrive)

    def _exchange_loads(self) -> None:
        """Send each entry the sum of the other entries' loads."""
        reports = [entry.loads.list_own() for entry in self.entries]
        total = LoadSum()
        for report in reports:
            total.add(report)
        rates = estimate_rates(
            merge_histograms(
                entry.placement.prefill_rate.list_histograms() for entry in self.entries
            )
        )
        latencies = merge_latencies(
            entry.latencies.list_averages() for entry in self.entries
        )
        for entry, report in zip(self.entries, reports, strict=True):
            entry.loads.set_others(total.list_without(report))
            if self.pools_times:
                entry.placement.prefill_rate.pooled = rates
                entry.latencies.pooled = latencies


class Request:
    """One caller's request, which may escalate to larger models."""

    def __init__(self, site_run: SiteRun, kind: RequestKind) -> None:
        rng = site_run.rng
        self.site_run = site_run
        self.kind = kind
        self.entry = rng.choice(site_run.entries)
        self.events = max(
            1, round(draw_length(rng, kind.events, kind.events_spread, 4.0))
        )
        own_tokens = max(1, round(draw_length(rng, kind.own_tokens, 1.0, 14.0)))
        prefix_index = min(
            int(kind.shared_prefixes * rng.random() ** 1.3), kind.shared_prefixes - 1
        )
        prefix_rng = Random(f"{kind.name}{prefix_index}")
        prefix_tokens = max(
            1, round(draw_length(prefix_rng, kind.shared_tokens, 0.7, 3.0))
        )
        number = next(site_run.numbers)
        prompt = (
            PromptPart(PromptPartId(f"{kind.name}{prefix_index}"), prefix_tokens),
            PromptPart(PromptPartId(f"q{number}"), own_tokens),
        )
        self.difficulty = Random(f"{site_run.seed}{number}").random()
        self.started_at = site_run.simulation.now
        expected = self.events * site_run.site.engine.event_tokens
        self.call = Call(
            metadata=RequestMetadata(
                request=RequestId(f"q{number}"),
                accepts_any_model=True,
                prompt_tokens=prefix_tokens + own_tokens,
                expected_tokens=int(expected * rng.lognormvariate(0.0, 0.5)) + 1,
                prompt=prompt,
            ),
            route=make_route(kind),
            workspace=None,
            service=SERVICE,
            received_at=self.started_at,
            deadline=Seconds(self.started_at + kind.deadline),
            fingerprint=Fingerprint(""),
            model=site_run.models[0],
        )
        self.is_late = False
        self.last_event_at = self.started_at
        self.generation: Generation | None = None
        size = (prefix_tokens + own_tokens) / (kind.shared_tokens + kind.own_tokens)
        self.value = kind.value * min(0.3 + 0.7 * size, 4.0)

    @property
    def is_measured(self) -> bool:
        """Whether the request arrived after the warm-up that fills the caches."""
        return self.started_at >= WARMUP_SECONDS

    def send(self) -> None:
        """Choose an endpoint and send the request to its engine."""
        self.site_run.open_requests.add(self)
        site_run, entry, call = self.site_run, self.entry, self.call
        now = site_run.simulation.now
        candidate = site_run.choose(entry, site_run.heartbeats, call, now)
        if candidate is None:
            self._record_outcome("failed", is_good=False)
            return
        self.candidate = candidate
        self.sent_at = now
        endpoint = candidate.heartbeat.endpoint
        prefill = entry.placement.estimate_prefill(candidate, call)
        entry.loads.add_request(endpoint, call.metadata.request, prefill, call.priority)
        entry.placement.record_send(candidate, call)
        self.engine = site_run.engines[endpoint]
        self.generation = Generation(
            call.model,
            call.metadata.prompt,
            self.events,
            self._handle_event,
            call.priority,
        )
        generation = self.generation
        site_run.simulation.schedule(
            ROUND_TRIP_SECONDS, lambda: self.engine.submit(generation)
        )
        remaining = call.deadline - now
        site_run.simulation.schedule(remaining, lambda: self._time_out(generation))

    def _handle_event(self, generation: Generation) -> None:
        if generation is not self.generation:
            return
        now = self.site_run.simulation.now
        if generation.tokens == 1:
            self._handle_first_event(now)
            if self.generation is not generation:
                return
        elif now - self.last_event_at > self.kind.event_gap:
            self.is_late = True
        self.last_event_at = now
        if generation.is_finished:
            self._finish(now)

    def _handle_first_event(self, now: Seconds) -> None:
        entry, call = self.entry, self.call
        endpoint = self.candidate.heartbeat.endpoint
        entry.loads.mark_prefilled(endpoint, call.metadata.request)
        entry.placement.record_answer_start(self.candidate, call, now - self.sent_at)
        self.first_event_seconds = now - self.sent_at
        next_model = choose_next_model(
            self.site_run.models,
            set(self.site_run.models),
            call.model,
            self._draw_confidence(),
            lambda model: self._can_finish(model, now),
        )
        if next_model is not None:
            self.engine.cancel(self.generation)
            entry.loads.remove_request(endpoint, call.metadata.request)
            call.model = next_model
            call.tried_endpoints.append(endpoint)
            self.send()
            return
        self.is_late = now - self.started_at > self.kind.objective
        if self.is_measured:
            self.site_run.result.first_event_times.append(now - self.started_at)

    def _draw_confidence(self) -> float:
        mean = 0.75 if self.difficulty < QUALITY[self.call.model] else 0.25
        return min(max(self.site_run.rng.gauss(mean, CONFIDENCE_SPREAD), 0.0), 1.0)

    def _can_finish(self, model: ModelName, now: Seconds) -> bool:
        call = self.call
        seconds = self.entry.latencies.estimate(
            call.route.name, model, call.metadata.expected_tokens
        )
        if not can_finish_in_time(seconds, call.deadline - now):
            return False
        if not self.site_run.heeds_objective:
            return True
        start = self.entry.placement.estimate_start(
            self.site_run.heartbeats, replace(call, model=model), now
        )
        return can_start_in_time(start, self.kind.objective - (now - self.started_at))

    def _finish(self, now: Seconds) -> None:
        entry, call = self.entry, self.call
        entry.loads.remove_request(
            self.candidate.heartbeat.endpoint, call.metadata.request
        )
        timing = Timing(self.first_event_seconds, now - self.sent_at, self.events)
        entry.latencies.record(
            call.route.name, call.model, timing, call.metadata.expected_tokens
        )
        is_good = self.difficulty < QUALITY[call.model]
        self._record_outcome("late" if self.is_late else "in time", is_good)

    def _time_out(self, generation: Generation) -> None:
        if generation.is_finished or generation is not self.generation:
            return
        self.engine.cancel(generation)
        self.entry.loads.remove_request(
            self.candidate.heartbeat.endpoint, self.call.metadata.request
        )
        self._record_outcome("failed", is_good=False)

    def abort(self) -> None:
        """Fail because the entry restarted, without cancelling the engine's work."""
        self.generation = None
        self._record_outcome("failed", is_good=False)

    def _record_outcome(self, outcome: str, is_good: bool) -> None:
        """Count the outcome; late answers earn 30 % of the value, poor ones 5 %."""
        self.site_run.open_requests.discard(self)
        if not self.is_measured:
            return
        result = self.site_run.result
        result.total_value += self.value
        result.counts[outcome] += 1
        result.counts[self.call.model] += 1
        if outcome != "failed":
            weight = 0.3 if outcome == "late" else 1.0
            result.earned_value += self.value * weight * (1.0 if is_good else 0.05)


def draw_length(rng: Random, mean: float, spread: float, max_ratio: float) -> float:
    """Draw a lognormal length with a given mean, capped at a multiple of the mean."""
    value = rng.lognormvariate(-spread * spread / 2, spread) * mean
    return min(value, max_ratio * mean)


def make_route(kind: RequestKind) -> ServiceRoute:
    """Make the gateway's route for a kind of request."""
    return ServiceRoute(
        name=kind.name,
        host="h",
        path_prefix="/",
        kind=RouteKind.STREAMING,
        destinations=(Destination(SERVICE, 1.0),),
        timeout_seconds=kind.deadline,
        latency_objective_seconds=kind.objective,
        event_gap_seconds=kind.event_gap,
        priority=kind.priority,
        max_attempts=3,
        models=MODELS,
        resumable=True,
    )
