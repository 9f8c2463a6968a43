"""Choice of the endpoint that gets a request."""

from collections.abc import Callable, Iterable
from random import Random

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.endpoints import EndpointBeat
from bergamotwood_core.gateway.health import FAILING_RATE, EndpointHealth, HealthTable
from bergamotwood_core.gateway.routing import hash_to_unit
from bergamotwood_core.ids import DataCentre, EndpointId, ModelName
from bergamotwood_core.states import EndpointState

# Cost of an endpoint that fails many requests, in slots: it is used where
# nothing else is left, and now and then, so that its recovery is seen.
FAILING_COST = 8.0
# Share of requests that still go to a failing endpoint.
PROBE_SHARE = 0.02
# Cost of leaving the data centre, in slots of one endpoint.
DISTANCE_COST = 0.15
# Cost of an endpoint that is still warming up.
WARMUP_COST = 1.0
# Value of a prompt that is probably cached, in slots, for each 1,000 tokens.
CACHED_VALUE = 0.5
# Requests at one endpoint over the mean of all, up to which a subject stays.
SUBJECT_BOUND = 1.5


class Candidate(Struct, frozen=True):
    """An endpoint that may get a request, with what is known of it."""

    beat: EndpointBeat
    health: EndpointHealth
    outstanding: float


def find_candidates(
    beats: Iterable[EndpointBeat],
    call: Call,
    health: HealthTable,
    count_outstanding: Callable[[EndpointId], float],
    now: Seconds,
) -> list[Candidate]:
    """Return the endpoints that may get a request now.

    Answers the ordinary load: endpoints that leave, were tried already, are
    paused or have lost their address are left out.
    """
    found = []
    for beat in beats:
        if beat.service != call.service or beat.state is not EndpointState.SERVING:
            continue
        if call.model and beat.models and call.model not in beat.models:
            continue
        seen = health.find(beat.endpoint, beat.incarnation)
        if seen.is_replaced or seen.paused_until > now or beat.endpoint in call.tried:
            continue
        found.append(Candidate(beat, seen, count_outstanding(beat.endpoint)))
    return found


def choose_endpoint(
    candidates: list[Candidate], call: Call, home: DataCentre, rng: Random
) -> Candidate | None:
    """Choose the endpoint for a request, None without candidates."""
    if not candidates:
        return None
    preferred = _find_subject_home(candidates, call)

    def measure_cost(candidate: Candidate) -> tuple[float, float]:
        cost = _measure_cost(candidate, home, rng)
        if candidate is preferred:
            cost -= CACHED_VALUE * _count_shared_tokens(call) / 1000.0
        return cost, rng.random()

    return min(candidates, key=measure_cost)


def choose_subject(call: Call) -> str:
    """Return what a request's answers depend on most: its longest shared prompt."""
    parts = call.terms.prompt
    if len(parts) > 1:
        return parts[-2].id
    return call.terms.session


def list_models(beats: Iterable[EndpointBeat], call: Call) -> set[ModelName]:
    """Return the models that endpoints of a request's service hold."""
    return {
        model
        for beat in beats
        if beat.service == call.service and beat.state is EndpointState.SERVING
        for model in beat.models
    }


def _measure_cost(candidate: Candidate, home: DataCentre, rng: Random) -> float:
    beat = candidate.beat
    cost = candidate.outstanding / max(beat.slots, 1) * 8.0
    cost *= 1.0 + candidate.health.seconds
    if beat.data_centre != home:
        cost += DISTANCE_COST
    if beat.warmup_seconds > 0.0:
        cost += WARMUP_COST
    failing = candidate.health.failure_rate > FAILING_RATE
    if failing and rng.random() > PROBE_SHARE:
        cost += FAILING_COST * candidate.health.failure_rate
    return cost


def _find_subject_home(candidates: list[Candidate], call: Call) -> Candidate | None:
    """Return the endpoint that all entries prefer for a request's subject.

    Rendezvous hashing: each entry comes to the same choice without asking,
    and few subjects move when an endpoint comes or goes.
    """
    subject = choose_subject(call)
    if not subject:
        return None
    mean = sum(item.outstanding for item in candidates) / len(candidates)
    bound = SUBJECT_BOUND * mean + 1.0
    free = [item for item in candidates if item.outstanding <= bound]
    key = f"{subject}/{call.model}"
    return max(
        free, key=lambda item: hash_to_unit(f"{key}/{item.beat.endpoint}"), default=None
    )


def _count_shared_tokens(call: Call) -> int:
    return sum(part.tokens for part in call.terms.prompt[:-1])
