"""Early rejection of requests, and time for larger models, under the present load."""

from collections.abc import Iterable

from msgspec.structs import replace

from bergamotwood_core.errors import RefusedError
from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.configuration import EngineProfile
from bergamotwood_core.gateway.models import can_finish_in_time, can_start_in_time
from bergamotwood_core.gateway.notices import compute_return
from bergamotwood_core.gateway.overload import (
    MAX_LOAD_AGE_SECONDS,
    EndpointOption,
    Rejection,
    find_best_times,
    find_rejection,
    make_forecast,
)
from bergamotwood_core.gateway.placement import Candidate
from bergamotwood_core.gateway.priorities import MAX_PRIORITY
from bergamotwood_core.ids import ModelName
from bergamotwood_daemon.gateway.admission import make_call_fields
from bergamotwood_daemon.gateway.entry import GatewayEntry
from bergamotwood_daemon.gateway.refusals import OVERLOADED_RETRY_SECONDS
from bergamotwood_daemon.log import log_event


class OverloadGate:
    """Decides whether requests can be served in time under the present load.

    It applies to routes with models to choose from and a latency objective, on services
    with an engine profile.

    Parameters
    ----------
    entry : GatewayEntry
        Entry whose requests it checks.
    """

    def __init__(self, entry: GatewayEntry) -> None:
        self._entry = entry

    def find_priority(self, call: Call) -> int | None:
        """Return the priority to report with the load; None where it is not used."""
        has_engines = self._find_engine(call) is not None
        return min(call.priority, MAX_PRIORITY) if has_engines else None

    def find_rejection(
        self, call: Call, candidates: list[Candidate]
    ) -> Rejection | None:
        """Return why a request is to be rejected; None if it is admitted.

        A request that may have run is not rejected, nor one of which a part was
        delivered: it would only fail earlier.

        Parameters
        ----------
        call : Call
            The request.
        candidates : list of Candidate
            Endpoints that may get it.
        """
        if call.possible_executions or call.last_event_id or call.is_trial:
            return None
        if not self._applies_to(call):
            return None
        forecast = make_forecast(self._entry.latencies, call, call.model)
        if forecast is None:
            return None
        options = self._make_options(call, candidates)
        return find_rejection(options, forecast, self._compute_time_left(call))

    def reject(self, call: Call, rejection: Rejection) -> None:
        """Refuse a request that cannot be served in time.

        Raises
        ------
        RefusedError
            Always.
        """
        entry = self._entry
        retry_after = compute_return(
            max(rejection.retry_after, OVERLOADED_RETRY_SECONDS),
            call.priority,
            entry.rng,
        )
        times = rejection.times
        entry.counters.count_early_rejection(call, times.wait_seconds)
        log_event(
            "request",
            "Rejected early.",
            **make_call_fields(call),
            priority=call.priority,
            wait_seconds=round(times.wait_seconds, 2),
            first_event_seconds=round(times.first_event_seconds, 2),
            expected_seconds=round(times.end_seconds, 2),
            least_seconds=round(times.least_seconds, 2),
            seconds_left=round(rejection.time_left, 2),
            retry_after=round(retry_after, 2),
            prompt_tokens=call.metadata.prompt_tokens,
            expected_tokens=call.metadata.expected_tokens,
            load_age=round(self._measure_load_age(), 2),
        )
        raise RefusedError(
            f"{call.service}: not expected to be served in time",
            retry_after=retry_after,
        )

    def has_time(self, call: Call, model: ModelName) -> bool:
        """Whether a model is expected to start and to complete its answer in time.

        It does not start if each endpoint that has it was tried, is paused or is full.
        """
        average_seconds = self._entry.latencies.estimate(
            call.route.name, model, call.metadata.expected_tokens
        )
        left = self._compute_time_left(call)
        objective = call.route.latency_objective_seconds
        objective_left = objective - (self._entry.clock() - call.received_at)
        present_seconds = self._estimate_present_seconds(call, model)
        start_seconds = self._estimate_start(call, model)
        if (
            start_seconds is not None
            and can_finish_in_time(average_seconds, left)
            and can_finish_in_time(present_seconds, left)
            and can_start_in_time(start_seconds, objective_left)
        ):
            return True
        log_event(
            "attempt",
            "No time for a larger model.",
            **make_call_fields(call),
            larger=model,
            expected_tokens=call.metadata.expected_tokens,
            expected_seconds=_round(average_seconds),
            present_seconds=_round(present_seconds),
            seconds_left=round(left, 2),
            start_seconds=_round(start_seconds),
            objective_seconds_left=round(objective_left, 2),
        )
        return False

    def _estimate_start(self, call: Call, model: ModelName) -> float | None:
        """Return the expected time until another model starts to answer.

        None if no endpoint can serve it now.
        """
        entry = self._entry
        with_model = replace(call, model=model)
        heartbeats = [
            heartbeat
            for group in entry.list_eligible_endpoints(call)
            for heartbeat in group
        ]
        return entry.placement.estimate_start(heartbeats, with_model, entry.clock())

    def _estimate_present_seconds(self, call: Call, model: ModelName) -> float | None:
        """Return the time at the best endpoint for a model; None if it is unknown."""
        entry = self._entry
        if not self._applies_to(call):
            return None
        forecast = make_forecast(entry.latencies, call, model)
        if forecast is None:
            return None
        with_model = replace(call, model=model)
        options = [
            option
            for heartbeats in entry.list_eligible_endpoints(call)
            for option in self._make_options(
                with_model,
                entry.placement.list_candidates(
                    heartbeats, with_model, entry.clock(), is_demand=False
                ),
            )
        ]
        best = find_best_times(options, forecast)
        return None if best is None else best.end_seconds

    def _make_options(
        self, call: Call, candidates: Iterable[Candidate]
    ) -> list[EndpointOption]:
        placement = self._entry.placement
        engine = self._find_engine(call)
        # A heartbeat that states no slots counts as one with a single slot.
        profile_slots = engine.slots if engine is not None else 0
        return [
            EndpointOption(
                candidate.load,
                max(candidate.heartbeat.slots, profile_slots),
                placement.estimate_prefill(candidate, call),
            )
            for candidate in candidates
        ]

    def _applies_to(self, call: Call) -> bool:
        """Whether the configuration enables it for a request, and data are fresh."""
        route = call.route
        if not route.models or route.latency_objective_seconds <= 0.0:
            return False
        if self._measure_load_age() > MAX_LOAD_AGE_SECONDS:
            return False
        return self._find_engine(call) is not None

    def _find_engine(self, call: Call) -> EngineProfile | None:
        routing = self._entry.control_state.routing
        service = routing.find_service(call.service) if routing else None
        return service.engine if service is not None else None

    def _measure_load_age(self) -> float:
        return self._entry.clock() - self._entry.control_state.requested_at

    def _compute_time_left(self, call: Call) -> float:
        return call.deadline - self._entry.clock()


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)
