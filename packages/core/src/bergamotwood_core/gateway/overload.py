"""Early rejection of requests that cannot be served in time, and expected times.

The load that this answers: more requests arrive than the engines of a service serve,
for a burst of some seconds or longer, with several priorities, lengths and deadlines,
over many entries that each see a small part of it. Without a rejection all of them
queue at the engines, and callers learn at their deadline that they are not served,
while the engines work on answers that nobody waits for any more.

An engine admits the more urgent of the waiting requests first, and pauses less urgent
ones for them. So only requests of the same or a more urgent priority delay another
one. The estimates leave out what is not known, such as the engine's memory: they are
lower bounds rather than means.
"""

from collections.abc import Iterable

from msgspec import Struct

from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.latency import LatencyTable
from bergamotwood_core.gateway.load import EndpointLoad
from bergamotwood_core.ids import ModelName

# A request that waits for a slot is delayed by the generation of those ahead of it, and
# by their prefill: the multiple of the generation alone.
SLOT_WAIT_FACTOR = 1.5
# Fraction of the expected time from the first event to the end that an answer takes at
# the least, as callers' estimates of the length are often too high.
LEAST_GENERATION_FRACTION = 0.25
# Age up to which reported loads are used. Entries report every half second at least,
# so older ones have missed two reports.
MAX_LOAD_AGE_SECONDS = 1.0


class EndpointOption(Struct, frozen=True):
    """An endpoint that may get a request.

    Parameters
    ----------
    load : EndpointLoad
        Load from all entries.
    slots : int
        Maximum number of requests that run at once; 0 if unknown.
    prefill_seconds : float
        Time to prefill the request's prompt there.
    """

    load: EndpointLoad
    slots: int
    prefill_seconds: float = 0.0


class RequestForecast(Struct, frozen=True):
    """What is expected of a request wherever it runs.

    Parameters
    ----------
    priority : int
        Its priority; 0 is the most urgent.
    generation_seconds : float
        Time from its first event to its end.
    slot_seconds : float
        Mean time from the first event to the end of the requests ahead of it.
    """

    priority: int
    generation_seconds: float
    slot_seconds: float


class ExpectedTimes(Struct, frozen=True):
    """Expected times of a request at an endpoint.

    Parameters
    ----------
    wait_seconds : float
        Time until the engine begins with its prompt.
    first_event_seconds : float
        Time until the first event.
    end_seconds : float
        Time until the answer is complete.
    least_seconds : float
        Time until then at the least.
    """

    wait_seconds: float
    first_event_seconds: float
    end_seconds: float
    least_seconds: float


class Rejection(Struct, frozen=True):
    """Why a request is rejected, and when it is worth another try.

    Parameters
    ----------
    times : ExpectedTimes
        Expected times at the endpoint that may complete it first.
    time_left : float
        Time until its deadline.
    """

    times: ExpectedTimes
    time_left: float

    @property
    def retry_after(self) -> float:
        """Seconds after which a request with the same time is expected to be served.

        The work ahead of it has shrunk enough by this time if no more arrives.
        """
        return self.times.end_seconds - self.time_left


def make_forecast(
    latencies: LatencyTable, call: Call, model: ModelName
) -> RequestForecast | None:
    """Return what is expected of a request with a model; None with too few samples."""
    generation_seconds = latencies.estimate_generation(
        call.route.name, model, call.metadata.expected_tokens
    )
    slot_seconds = latencies.estimate_mean_generation()
    if generation_seconds is None or slot_seconds is None:
        return None
    return RequestForecast(call.priority, generation_seconds, slot_seconds)


def estimate_times(option: EndpointOption, forecast: RequestForecast) -> ExpectedTimes:
    """Return the expected times of a request at an endpoint.

    There are two estimates of the wait. That from the prefill of the prompts ahead is
    too high while prompts queue, as the measured prefill times then include waits; that
    from the slots knows neither long prompts nor a lack of memory. The request is
    expected to wait for the longer one, and at the least for the shorter one.
    """
    requests, prefill_wait = option.load.count_ahead(forecast.priority)
    slot_wait = 0.0
    if requests >= option.slots > 0:
        # Of the requests that hold a slot, one ends in each of these intervals.
        interval = SLOT_WAIT_FACTOR * forecast.slot_seconds / option.slots
        slot_wait = (requests - option.slots + 1) * interval
    wait = max(prefill_wait, slot_wait)
    first = wait + option.prefill_seconds
    least_generation = LEAST_GENERATION_FRACTION * forecast.generation_seconds
    return ExpectedTimes(
        wait,
        first,
        first + forecast.generation_seconds,
        min(prefill_wait, slot_wait) + least_generation,
    )


def find_best_times(
    options: Iterable[EndpointOption], forecast: RequestForecast
) -> ExpectedTimes | None:
    """Return the times at the endpoint that completes a request first."""
    return min(
        (estimate_times(option, forecast) for option in options),
        key=lambda times: times.end_seconds,
        default=None,
    )


def find_rejection(
    options: Iterable[EndpointOption],
    forecast: RequestForecast,
    time_left: float,
) -> Rejection | None:
    """Return why a request is to be rejected; None if it is admitted.

    It is rejected only if it misses its deadline at every endpoint even in the least
    time that it may take there. It is admitted while an endpoint has a
    free slot, or where the slots or the priorities of the load are not known. As only
    more urgent work is added for a less urgent request, of two equal requests the more
    urgent one is never rejected alone.

    Parameters
    ----------
    options : iterable of EndpointOption
        The endpoints that may get the request.
    forecast : RequestForecast
        What is expected of it.
    time_left : float
        Seconds until its deadline.
    """
    options = list(options)
    if any(has_room(option) for option in options):
        return None
    best = min(
        (estimate_times(option, forecast) for option in options),
        key=lambda times: times.least_seconds,
        default=None,
    )
    if best is None or best.least_seconds <= time_left:
        return None
    return Rejection(best, time_left)


def has_room(option: EndpointOption) -> bool:
    """Whether an endpoint has a free slot, or may have one as its data are missing."""
    if option.slots <= 0 or option.load.unknown_requests > 0:
        return True
    return option.load.requests < option.slots
