"""Choice of the endpoint that receives a request.

Endpoints are compared by a cost in seconds, mainly the expected time until the answer
starts. Queued prompts delay those behind them, under ordinary load and in bursts.
Therefore a prompt is sent to an endpoint that has it cached, unless the wait there
takes longer than a new prefill elsewhere.
"""

from collections.abc import Callable, Iterable
from random import Random

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.brittle import BrittleAdmission
from bergamotwood_core.gateway.call import Call, PromptPart
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.health import FAILING_RATE, EndpointHealth, HealthTable
from bergamotwood_core.gateway.limits import LimitTable
from bergamotwood_core.gateway.load import EndpointLoad
from bergamotwood_core.gateway.notices import IncarnationKey, NoticeTable
from bergamotwood_core.gateway.prefill import PrefillRate, PrefixCacheIndex
from bergamotwood_core.gateway.routing import hash_to_unit_interval
from bergamotwood_core.ids import DataCentre, EndpointId, ModelName
from bergamotwood_core.states import EndpointState

# Cost of an endpoint where every request fails. It exceeds the latency objective of any
# route, so that such an endpoint is only used if there is no other.
FAILING_COST_SECONDS = 8.0
# Fraction of choices that ignore the failures of an endpoint, to detect its recovery.
PROBE_FRACTION = 0.02
# Cost of sending a request to another data centre: the round trip and its price.
REMOTE_COST_SECONDS = 0.01
# Cost of an endpoint that refuses connections, or sends neither heartbeats nor answers;
# about the latency objective for long prompts.
UNRESPONSIVE_COST_SECONDS = 4.0
# Cost of an endpoint that is still warming up.
WARMUP_COST_SECONDS = 0.2
# Fraction of the shared prompt that is assumed to be cached at the preferred endpoint,
# because all entries send it there.
PREFERRED_CACHED_FRACTION = 0.95
# Additional cost of the prefill of shared tokens that are not cached, as a multiple of
# its duration: meanwhile the engine generates no tokens for other requests, and the
# tokens evict other cached prompts, which then need a new prefill as well.
RECOMPUTE_FACTOR = 3.0
# Price that users pay for the prefill of one shared token, as seconds of waiting.
RECOMPUTE_TOKEN_COST_SECONDS = 1e-5
# Fraction of the route's latency objective up to which waiting costs less than its
# duration. An earlier start has no benefit within the objective, but some time has to
# remain in case a larger model is tried afterwards.
DISCOUNTED_WAIT_FRACTION = 0.3
# Cost of each open request at an endpoint: it slows the generation of each token by 2
# to 3 % of a step.
OPEN_REQUEST_COST_SECONDS = 0.003
# Response time that is assumed before the first response to a request without prompt.
INITIAL_RESPONSE_SECONDS = 0.05
# Maximum relative jitter of costs. It prevents entries with equal information from all
# choosing the same endpoint.
COST_JITTER = 0.1


class Candidate(Struct, frozen=True):
    """An endpoint that is eligible for a request, with its health and load.

    Parameters
    ----------
    heartbeat : EndpointHeartbeat
        Latest heartbeat of the endpoint.
    health : EndpointHealth
        Health observed by this entry.
    load : EndpointLoad
        Load from all entries.
    uncached_tokens : int
        Tokens of the prompt that probably need prefill.
    uncached_shared_tokens : int
        Those of them that are shared with other requests.
    is_cache_assumed : bool
        Whether the cached tokens are only assumed because all entries prefer the
        endpoint.
    """

    heartbeat: EndpointHeartbeat
    health: EndpointHealth
    load: EndpointLoad
    uncached_tokens: int = 0
    uncached_shared_tokens: int = 0
    is_cache_assumed: bool = False


class Placement:
    """Chooses endpoints for the requests of one entry.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of the entry.
    health : HealthTable
        Health of the endpoints.
    notices : NoticeTable
        Notices in the answers of the endpoints.
    find_load : callable
        Returns the load on an endpoint.
    rng : Random
        Source of randomness for jitter and probes.
    limits : LimitTable or None
        Limits that endpoints have named; None for no limits.
    admission : BrittleAdmission or None
        Room at endpoints that bear few refusals; None to send to any.

    Attributes
    ----------
    silent_endpoints : frozenset of EndpointId
        Endpoints whose heartbeats are missing.
    ended : frozenset of IncarnationKey
        Incarnations that have recently refused a connection of any entry.
    diverted_requests : int
        Number of requests for which a cold endpoint had no permit and another one was
        eligible.
    """

    def __init__(
        self,
        data_centre: DataCentre,
        health: HealthTable,
        notices: NoticeTable,
        find_load: Callable[[EndpointId], EndpointLoad],
        rng: Random,
        limits: LimitTable | None = None,
        admission: BrittleAdmission | None = None,
    ) -> None:
        self.prefill_rate = PrefillRate()
        self.prefix_cache = PrefixCacheIndex()
        self._data_centre = data_centre
        self.silent_endpoints: frozenset[EndpointId] = frozenset()
        self.ended: frozenset[IncarnationKey] = frozenset()
        self.diverted_requests = 0
        self._health = health
        self._notices = notices
        self._find_load = find_load
        self._rng = rng
        self._limits = limits or LimitTable()
        self._admission = admission

    def choose(
        self, heartbeats: Iterable[EndpointHeartbeat], call: Call, now: Seconds
    ) -> Candidate | None:
        """Return the endpoint with the lowest cost; None if none is eligible."""
        return self.choose_among(self.list_candidates(heartbeats, call, now), call, now)

    def choose_among(
        self, candidates: Iterable[Candidate], call: Call, now: Seconds
    ) -> Candidate | None:
        """Return the candidate with the lowest cost; None if there is none."""
        return min(
            candidates,
            key=lambda item: self._estimate_cost(item, call, now),
            default=None,
        )

    def list_candidates(
        self,
        heartbeats: Iterable[EndpointHeartbeat],
        call: Call,
        now: Seconds,
        is_demand: bool = True,
    ) -> list[Candidate]:
        """Return the endpoints that may get a request now.

        Parameters
        ----------
        heartbeats : iterable of EndpointHeartbeat
            Endpoints to choose from.
        call : Call
            The request.
        now : Seconds
            Current time.
        is_demand : bool
            Whether the request counts as demand for permits of limited endpoints;
            False for an estimate.
        """
        usable = self._find_usable(heartbeats, call)
        eligible = self._find_eligible(usable, call, now, is_demand)
        if is_demand and self._limits.cold.has_any:
            eligible = self._yield_reserved(usable, eligible, call, now)
        preferred = find_preferred_endpoint(
            [heartbeat for heartbeat, _ in eligible], call
        )
        shared = call.metadata.prompt[:-1]
        tokens = sum(part.tokens for part in shared)
        return [
            self._make_candidate(
                heartbeat, health, call, shared, tokens, heartbeat is preferred
            )
            for heartbeat, health in eligible
        ]

    def estimate_start(
        self, heartbeats: Iterable[EndpointHeartbeat], call: Call, now: Seconds
    ) -> float | None:
        """Return the seconds until a request sent now would start to be answered.

        None if no endpoint can serve it. The request counts as no demand.
        """
        candidates = self.list_candidates(heartbeats, call, now, is_demand=False)
        candidate = self.choose_among(candidates, call, now)
        if candidate is None:
            return None
        _, prefill_seconds = candidate.load.count_ahead(call.priority)
        return prefill_seconds + self.estimate_prefill(candidate, call)

    def estimate_return(
        self, heartbeats: Iterable[EndpointHeartbeat], call: Call, now: Seconds
    ) -> float | None:
        """Return the seconds until an endpoint may get a request.

        None if there is no endpoint that could serve it, even after a pause.
        """
        return min(
            (
                max(
                    0.0,
                    health.paused_until - now,
                    self._notices.measure_pause(
                        heartbeat.endpoint, heartbeat.incarnation, now
                    ),
                    self._limits.estimate_wait(
                        (heartbeat.endpoint, heartbeat.incarnation), now
                    ),
                )
                for heartbeat, health in self._find_usable(heartbeats, call)
            ),
            default=None,
        )

    def lacks_share(
        self, heartbeats: Iterable[EndpointHeartbeat], call: Call, now: Seconds
    ) -> bool:
        """Whether only this entry's shares keep a request from idle endpoints."""
        admission = self._admission
        usable = self._find_usable(heartbeats, call)
        endpoints = [heartbeat for heartbeat, _ in usable]
        refusals = admission.find_limit(endpoints, now) if admission else None
        if refusals is None or self._find_eligible(usable, call, now, True):
            return False
        return any(admission.is_idle(heartbeat) for heartbeat in endpoints)

    def is_unresponsive(self, heartbeat: EndpointHeartbeat, now: Seconds) -> bool:
        """Whether an endpoint sends neither heartbeats nor answers to this entry."""
        return (
            heartbeat.endpoint in self.silent_endpoints
            and self._health.is_unresponsive(
                heartbeat.endpoint, heartbeat.incarnation, now
            )
        )

    def estimate_prefill(self, candidate: Candidate, call: Call) -> float:
        """Return the estimated seconds for the prefill of a request's prompt."""
        return self.prefill_rate.estimate(call.model, candidate.uncached_tokens)

    def record_send(self, candidate: Candidate, call: Call) -> None:
        """Record that a prompt was sent to an endpoint, which caches it."""
        heartbeat = candidate.heartbeat
        self.prefix_cache.record(
            heartbeat.endpoint, heartbeat.incarnation, call.model, call.metadata.prompt
        )

    def record_answer_start(
        self, candidate: Candidate, call: Call, seconds: float
    ) -> None:
        """Record the time until the answer started."""
        if not candidate.is_cache_assumed:
            self.prefill_rate.record(call.model, candidate.uncached_tokens, seconds)

    def _find_eligible(
        self,
        usable: list[tuple[EndpointHeartbeat, EndpointHealth]],
        call: Call,
        now: Seconds,
        is_demand: bool,
    ) -> list[tuple[EndpointHeartbeat, EndpointHealth]]:
        refusals = None
        if self._admission is not None:
            refusals = self._admission.find_limit((item for item, _ in usable), now)
        return [
            (heartbeat, health)
            for heartbeat, health in usable
            if heartbeat.endpoint not in call.tried_endpoints
            and health.paused_until <= now
            and not self._notices.measure_pause(
                heartbeat.endpoint, heartbeat.incarnation, now
            )
            and (refusals is None or self._admission.has_room(heartbeat))
            and self._is_within_limit(heartbeat, now, is_demand)
        ]

    def _yield_reserved(
        self,
        usable: list[tuple[EndpointHeartbeat, EndpointHealth]],
        eligible: list[tuple[EndpointHeartbeat, EndpointHealth]],
        call: Call,
        now: Seconds,
    ) -> list[tuple[EndpointHeartbeat, EndpointHealth]]:
        """Leave the permits for cold endpoints to requests that prefer these.

        Others use them only if no other endpoint is eligible.
        """
        cold = self._limits.cold.list_cold(now)
        untried = {
            (heartbeat.endpoint, heartbeat.incarnation)
            for heartbeat, _ in usable
            if heartbeat.endpoint not in call.tried_endpoints
        }
        if not cold & untried:
            return eligible
        preferred = find_preferred_endpoint(
            [heartbeat for heartbeat, _ in usable], call
        )
        own = (preferred.endpoint, preferred.incarnation) if preferred else None
        if own in cold:
            self._limits.cold.record_preference(own, now)
        if eligible and any(not self._limits.may_send(k, now) for k in cold & untried):
            self.diverted_requests += 1
        unreserved = []
        for heartbeat, health in eligible:
            key = (heartbeat.endpoint, heartbeat.incarnation)
            if key == own or key not in cold or not self._limits.is_reserved(key, now):
                unreserved.append((heartbeat, health))
        return unreserved or eligible

    def _is_within_limit(
        self, heartbeat: EndpointHeartbeat, now: Seconds, is_demand: bool
    ) -> bool:
        key = (heartbeat.endpoint, heartbeat.incarnation)
        if not self._limits.is_limited(key, now):
            return True
        if is_demand:
            self._limits.record_demand(key, now)
        return self._limits.may_send(key, now)

    def _find_usable(
        self, heartbeats: Iterable[EndpointHeartbeat], call: Call
    ) -> list[tuple[EndpointHeartbeat, EndpointHealth]]:
        """Return the endpoints that may serve a request, now or after a pause."""
        found = []
        for heartbeat in heartbeats:
            if (
                heartbeat.service != call.service
                or heartbeat.state is not EndpointState.SERVING
            ):
                continue
            if call.model and heartbeat.models and call.model not in heartbeat.models:
                continue
            if self._notices.is_leaving(heartbeat.endpoint, heartbeat.incarnation):
                continue
            health = self._health.find(heartbeat.endpoint, heartbeat.incarnation)
            if not health.is_replaced:
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
            max(call.metadata.prompt_tokens - cached_tokens, 0),
            max(shared_tokens - cached_tokens, 0),
            is_cache_assumed=assumed > cached,
        )

    def _estimate_cost(self, candidate: Candidate, call: Call, now: Seconds) -> float:
        heartbeat = candidate.heartbeat
        load = candidate.load
        if call.metadata.prompt_tokens:
            cost = self._estimate_prefill_cost(candidate, call)
        else:
            seconds = candidate.health.response_seconds or INITIAL_RESPONSE_SECONDS
            cost = seconds * (1.0 + load.requests / max(heartbeat.slots, 1))
        if heartbeat.data_centre != self._data_centre:
            cost += REMOTE_COST_SECONDS
        if heartbeat.warmup_seconds > 0.0:
            cost += WARMUP_COST_SECONDS
        key = (heartbeat.endpoint, heartbeat.incarnation)
        if key in self.ended or self.is_unresponsive(heartbeat, now):
            cost += UNRESPONSIVE_COST_SECONDS
        cost *= 1.0 + COST_JITTER * self._rng.random()
        return cost + self._estimate_failure_cost(candidate.health)

    def _estimate_prefill_cost(self, candidate: Candidate, call: Call) -> float:
        load = candidate.load
        prefill = self.prefill_rate.estimate(call.model, candidate.uncached_tokens)
        wait = (
            prefill + load.prefill_seconds + OPEN_REQUEST_COST_SECONDS * load.requests
        )
        discounted_wait = (
            DISCOUNTED_WAIT_FRACTION * call.route.latency_objective_seconds
        )
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
    """Return the id of the longest shared prompt, or else the session."""
    parts = call.metadata.prompt
    if len(parts) > 1:
        return parts[-2].id
    return call.metadata.session


def find_preferred_endpoint(
    heartbeats: list[EndpointHeartbeat], call: Call
) -> EndpointHeartbeat | None:
    """Return the endpoint that all entries prefer for a request's affinity key.

    Uses rendezvous hashing: all entries make the same choice without coordination,
    and few keys move when an endpoint is added or removed.
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
    """Return the models loaded by the endpoints of a request's service."""
    return {
        model
        for heartbeat in heartbeats
        if heartbeat.service == call.service
        and heartbeat.state is EndpointState.SERVING
        for model in heartbeat.models
    }
