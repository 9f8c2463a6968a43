"""Choice of the endpoint that gets a request.

Costs are seconds until the answer begins. Answers the ordinary load and bursts on
engines: prompts that wait to be read hold up those behind them, so that a prompt goes
where it is cached unless the wait there is longer than reading it anew.
"""

from collections.abc import Callable, Iterable
from random import Random

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.call import Call, PromptPart
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.health import FAILING_RATE, EndpointHealth, HealthTable
from bergamotwood_core.gateway.load import EndpointLoad
from bergamotwood_core.gateway.prefill import PrefillRate, PrefixCacheIndex
from bergamotwood_core.gateway.routing import hash_to_unit_interval
from bergamotwood_core.ids import DataCentre, EndpointId, ModelName
from bergamotwood_core.states import EndpointState

# Cost of an endpoint where every request fails, in seconds: more than the
# objective of any route, so that it is used where nothing else is left.
FAILING_COST_SECONDS = 8.0
# Share of requests that still go to a failing endpoint, so that its recovery
# is seen.
PROBE_FRACTION = 0.02
# Cost of leaving the data centre, in seconds: a round trip and its price.
REMOTE_COST_SECONDS = 0.01
# Cost of an endpoint that is silent to the control group and here, in seconds:
# about the objective of long prompts.
UNRESPONSIVE_COST_SECONDS = 4.0
# Cost of an endpoint that is still warming up, in seconds.
WARMUP_COST_SECONDS = 0.2
# Part of the shared prompt that is taken to be cached at a subject's home, where
# all entries send it.
PREFERRED_CACHED_FRACTION = 0.95
# Cost of reading shared tokens anew beside the time that the request itself waits
# for it, in times of that reading: an engine that reads makes no tokens for others,
# and what it reads displaces other cached prompts, which are then read anew too.
RECOMPUTE_FACTOR = 3.0
# What users pay for a shared token that is read anew, as seconds of waiting.
RECOMPUTE_TOKEN_COST_SECONDS = 1e-5
# Part of a route's objective up to which waiting costs less than its time: an
# answer that begins within the objective is as good as one that begins sooner,
# but a larger model may have to be asked after this one.
DISCOUNTED_WAIT_FRACTION = 0.3
# Cost of each request that an endpoint has, in seconds: it slows every token a
# little, by 2 to 3 % of a step.
OPEN_REQUEST_COST_SECONDS = 0.003
# Time of a plain request before any was measured, in seconds.
INITIAL_RESPONSE_SECONDS = 0.05
# Part by which costs are blurred, so that entries that know the same do not all
# choose the same endpoint.
COST_JITTER = 0.1


class Candidate(Struct, frozen=True):
    """An endpoint that may get a request, with what is known of it.

    Parameters
    ----------
    heartbeat : EndpointHeartbeat
        The endpoint.
    health : EndpointHealth
        From the entry's own traffic.
    load : EndpointLoad
        Of all entries.
    uncached_tokens : int
        Tokens of the prompt that it probably has to read.
    uncached_shared_tokens : int
        Those of them that other requests share.
    is_guess : bool
        Whether the cached part is only likely, from where others send it.
    """

    heartbeat: EndpointHeartbeat
    health: EndpointHealth
    load: EndpointLoad
    uncached_tokens: int = 0
    uncached_shared_tokens: int = 0
    is_guess: bool = False


class Placement:
    """Chooses endpoints for one entry.

    Parameters
    ----------
    data_centre : DataCentre
        Where the entry is.
    health : HealthTable
        Health of the endpoints.
    find_load : callable
        Returns an endpoint's load.
    rng : Random
        Source of random choices.

    Attributes
    ----------
    silent : frozenset of EndpointId
        Endpoints whose heartbeats are missing.
    """

    def __init__(
        self,
        data_centre: DataCentre,
        health: HealthTable,
        find_load: Callable[[EndpointId], EndpointLoad],
        rng: Random,
    ) -> None:
        self.prefill_rate = PrefillRate()
        self.prefix_cache = PrefixCacheIndex()
        self._data_centre = data_centre
        self.silent: frozenset[EndpointId] = frozenset()
        self._health = health
        self._find_load = find_load
        self._rng = rng

    def choose(
        self, heartbeats: Iterable[EndpointHeartbeat], call: Call, now: Seconds
    ) -> Candidate | None:
        """Return the endpoint for a request, None where none may get it now."""
        eligible = self._find_eligible(heartbeats, call, now)
        preferred = find_preferred_endpoint(
            [heartbeat for heartbeat, _ in eligible], call
        )
        shared = call.terms.prompt[:-1]
        tokens = sum(part.tokens for part in shared)
        candidates = [
            self._make_candidate(
                heartbeat, health, call, shared, tokens, heartbeat is preferred
            )
            for heartbeat, health in eligible
        ]
        return min(
            candidates,
            key=lambda item: self._estimate_cost(item, call, now),
            default=None,
        )

    def is_unresponsive(self, heartbeat: EndpointHeartbeat, now: Seconds) -> bool:
        """Whether an endpoint is silent to the control group and here."""
        return heartbeat.endpoint in self.silent and self._health.is_unresponsive(
            heartbeat.endpoint, heartbeat.incarnation, now
        )

    def estimate_prefill(self, candidate: Candidate, call: Call) -> float:
        """Return seconds until an endpoint has read a request's prompt."""
        return self.prefill_rate.estimate(call.model, candidate.uncached_tokens)

    def record_send(self, candidate: Candidate, call: Call) -> None:
        """Note that an endpoint reads a request's prompt."""
        heartbeat = candidate.heartbeat
        self.prefix_cache.record(
            heartbeat.endpoint, heartbeat.incarnation, call.model, call.terms.prompt
        )

    def record_answer_start(
        self, candidate: Candidate, call: Call, seconds: float
    ) -> None:
        """Take in how long it took until the answer began."""
        if not candidate.is_guess:
            self.prefill_rate.record(call.model, candidate.uncached_tokens, seconds)

    def _find_eligible(
        self, heartbeats: Iterable[EndpointHeartbeat], call: Call, now: Seconds
    ) -> list[tuple[EndpointHeartbeat, EndpointHealth]]:
        found = []
        for heartbeat in heartbeats:
            if (
                heartbeat.service != call.service
                or heartbeat.state is not EndpointState.SERVING
            ):
                continue
            if call.model and heartbeat.models and call.model not in heartbeat.models:
                continue
            health = self._health.find(heartbeat.endpoint, heartbeat.incarnation)
            if health.is_replaced or health.paused_until > now:
                continue
            if heartbeat.endpoint not in call.tried:
                found.append((heartbeat, health))
        return found

    def _make_candidate(
        self,
        heartbeat: EndpointHeartbeat,
        health: EndpointHealth,
        call: Call,
        shared: tuple[PromptPart, ...],
        shared_tokens: int,
        is_preferred: bool,
    ) -> Candidate:
        load = self._find_load(heartbeat.endpoint)
        cached = self.prefix_cache.count_cached(
            heartbeat.endpoint, heartbeat.incarnation, call.model, shared
        )
        assumed = int(PREFERRED_CACHED_FRACTION * shared_tokens) if is_preferred else 0
        cached_tokens = max(cached, assumed)
        return Candidate(
            heartbeat,
            health,
            load,
            max(call.terms.prompt_tokens - cached_tokens, 0),
            max(shared_tokens - cached_tokens, 0),
            is_guess=assumed > cached,
        )

    def _estimate_cost(self, candidate: Candidate, call: Call, now: Seconds) -> float:
        heartbeat = candidate.heartbeat
        load = candidate.load
        if call.terms.prompt_tokens:
            cost = self._estimate_prefill_cost(candidate, call)
        else:
            seconds = candidate.health.seconds or INITIAL_RESPONSE_SECONDS
            cost = seconds * (1.0 + load.requests / max(heartbeat.slots, 1))
        if heartbeat.data_centre != self._data_centre:
            cost += REMOTE_COST_SECONDS
        if heartbeat.warmup_seconds > 0.0:
            cost += WARMUP_COST_SECONDS
        if self.is_unresponsive(heartbeat, now):
            cost += UNRESPONSIVE_COST_SECONDS
        cost *= 1.0 + COST_JITTER * self._rng.random()
        return cost + self._estimate_failure_cost(candidate.health)

    def _estimate_prefill_cost(self, candidate: Candidate, call: Call) -> float:
        load = candidate.load
        prefill = self.prefill_rate.estimate(call.model, candidate.uncached_tokens)
        wait = (
            prefill + load.prefill_seconds + OPEN_REQUEST_COST_SECONDS * load.requests
        )
        discounted_wait = DISCOUNTED_WAIT_FRACTION * call.route.objective_seconds
        recomputed = candidate.uncached_shared_tokens
        return (
            wait * min(wait / discounted_wait, 1.0)
            + prefill
            + RECOMPUTE_FACTOR * self.prefill_rate.estimate(call.model, recomputed)
            + RECOMPUTE_TOKEN_COST_SECONDS * recomputed
        )

    def _estimate_failure_cost(self, health: EndpointHealth) -> float:
        if health.failure_rate <= FAILING_RATE or self._rng.random() < PROBE_FRACTION:
            return 0.0
        return FAILING_COST_SECONDS * health.failure_rate


def find_affinity_key(call: Call) -> str:
    """Return what a request's prompt shares with most others: its longest chain."""
    parts = call.terms.prompt
    if len(parts) > 1:
        return parts[-2].id
    return call.terms.session


def find_preferred_endpoint(
    heartbeats: list[EndpointHeartbeat], call: Call
) -> EndpointHeartbeat | None:
    """Return the endpoint that all entries prefer for a request's subject.

    Rendezvous hashing: each entry comes to the same choice without asking,
    and few subjects move when an endpoint comes or goes.
    """
    affinity_key = find_affinity_key(call)
    if not affinity_key:
        return None
    key = f"{affinity_key}/{call.model}"
    return max(
        heartbeats,
        key=lambda heartbeat: hash_to_unit_interval(f"{key}/{heartbeat.endpoint}"),
        default=None,
    )


def list_models(heartbeats: Iterable[EndpointHeartbeat], call: Call) -> set[ModelName]:
    """Return the models that endpoints of a request's service hold."""
    return {
        model
        for heartbeat in heartbeats
        if heartbeat.service == call.service
        and heartbeat.state is EndpointState.SERVING
        for model in heartbeat.models
    }
