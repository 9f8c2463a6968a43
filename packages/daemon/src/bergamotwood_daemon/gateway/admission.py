"""Admission of callers' requests: route, key, suspensions and the first model."""

from hashlib import sha256

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import (
    AuthorizationError,
    Code,
    RefusedError,
    RequestError,
)
from bergamotwood_core.gateway.call import Call, RequestMetadata
from bergamotwood_core.gateway.configuration import GatewayWorkspace, ServiceRoute
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.models import choose_first_model
from bergamotwood_core.gateway.notices import compute_return
from bergamotwood_core.gateway.placement import list_models
from bergamotwood_core.gateway.relays import RelayedRequest
from bergamotwood_core.gateway.routing import RoutingTable, choose_destination
from bergamotwood_core.ids import Fingerprint, ModelName
from bergamotwood_daemon.gateway.attempt import EndpointEvacuatedError
from bergamotwood_daemon.gateway.callerconnection import Exchange
from bergamotwood_daemon.gateway.entry import GatewayEntry
from bergamotwood_daemon.gateway.refusals import NO_ENDPOINT_RETRY_SECONDS
from bergamotwood_daemon.log import log_event

# Timeout of callers that state none.
DEFAULT_CALLER_TIMEOUT_SECONDS = 10.0
# Retry delay while this entry drains: the caller only has to connect to another one.
DRAINING_RETRY_SECONDS = 0.02


class RequestAdmission:
    """Decides whether callers' requests may be forwarded.

    Parameters
    ----------
    entry : GatewayEntry
        Entry whose requests it admits.
    """

    def __init__(self, entry: GatewayEntry) -> None:
        self._entry = entry

    def admit(self, exchange: Exchange, relayed: RelayedRequest | None = None) -> Call:
        """Return the call of a request that may be forwarded.

        Parameters
        ----------
        exchange : Exchange
            The request.
        relayed : RelayedRequest or None
            What the entry says that has relayed it; None if it came from a caller.

        Raises
        ------
        RefusedError
            When the entry stops, has no current configuration, or no endpoint can
            serve the request.
        RequestError
            When the request is malformed or no route matches it.
        AuthorizationError
            When its key is unknown.
        """
        entry = self._entry
        request = exchange.request
        if entry.rejects_requests:
            raise RefusedError(
                "this entry stops",
                Code.DRAINING,
                retry_after=DRAINING_RETRY_SECONDS,
            )
        routing = entry.control_state.require_routing()
        if relayed is not None and relayed.configuration > routing.number:
            raise RefusedError(
                f"admitted by configuration {relayed.configuration}", Code.CONFIG_STALE
            )
        if (
            relayed is not None
            and relayed.evacuations_index > entry.control_state.evacuations_index
        ):
            raise RefusedError(
                f"relayed with evacuations of index {relayed.evacuations_index}",
                Code.CONFIG_STALE,
            )
        metadata = entry.dialect.read_call(request.headers)
        route = routing.find_route(request.host, request.path)
        if route is None:
            raise RequestError(
                f"no route for {request.host}{request.path}", Code.UNKNOWN_PATH
            )
        workspace = self._authorize(routing, route, metadata)
        caller_timeout = metadata.timeout_seconds or DEFAULT_CALLER_TIMEOUT_SECONDS
        call = Call(
            metadata=metadata,
            route=route,
            workspace=workspace,
            service=choose_destination(route, metadata.session or metadata.request),
            received_at=Seconds(request.received_at),
            deadline=Seconds(
                request.received_at + min(caller_timeout, route.timeout_seconds)
            ),
            fingerprint=_make_fingerprint(exchange, workspace),
            last_event_id=metadata.last_event_id,
            model=metadata.model,
        )
        if relayed is not None:
            self._apply_relay(call, relayed)
        self.check_suspension(call)
        if relayed is None:
            entry.budget.record_request(call.service, entry.clock())
        self.check_evacuations(call)
        if metadata.accepts_any_model and not call.has_fixed_model:
            call.model = self._choose_model(call)
        return call

    def _apply_relay(self, call: Call, relayed: RelayedRequest) -> None:
        """Continue a call as the entry has left it that relays it.

        Raises
        ------
        RefusedError
            When this entry does not reach the endpoints either.
        """
        call.relayed_by = relayed.entry
        call.deadline = min(
            call.deadline, Seconds(call.received_at + relayed.timeout_seconds)
        )
        call.possible_executions = call.relayed_executions = relayed.executions
        call.is_trial = relayed.is_trial
        call.last_event_id = relayed.last_event_id
        if relayed.model:
            call.model = relayed.model
            call.has_fixed_model = True
        if self._entry.reach.is_lost(call.service):
            raise RefusedError(f"{call.service}: out of reach", Code.OUT_OF_REACH)

    def check_evacuations(self, call: Call) -> None:
        """Refuse a request for which evacuations leave no endpoint.

        Raises
        ------
        RefusedError
            When there are none, or the entry does not know the present evacuations.
        """
        entry = self._entry
        entry.control_state.require_evacuation_lease()
        if not entry.is_fully_evacuated(call):
            return
        entry.counters.count_evacuation_refusal(call)
        raise RefusedError(
            f"{call.service}: all endpoints are evacuated",
            Code.EVACUATED,
            retry_after=compute_return(
                NO_ENDPOINT_RETRY_SECONDS, call.priority, entry.rng
            ),
        )

    def recheck_evacuation(self, heartbeat: EndpointHeartbeat) -> None:
        """Check just before a request is sent that its endpoint is not evacuated.

        Raises
        ------
        EndpointEvacuatedError
            When its data centre was evacuated while the request waited.
        RefusedError
            When the entry does not know the present evacuations.
        """
        self._entry.control_state.require_evacuation_lease()
        if not self._entry.may_send(heartbeat):
            raise EndpointEvacuatedError(f"{heartbeat.data_centre} is evacuated")

    def check_suspension(self, call: Call) -> None:
        """Refuse a request that is known to crash endpoints, unless it is a trial.

        Raises
        ------
        RefusedError
            When it, or a part of its prompt, has crashed several endpoints.
        """
        entry = self._entry
        if call.is_trial:
            return
        now = entry.clock()
        suspension = entry.suspensions.find_suspended(call.causes)
        if suspension is not None:
            if entry.suspensions.take_trial(suspension, now):
                call.is_trial = True
                log_event("request", "Suspension tried.", **make_call_fields(call))
                return
            cause = suspension.cause
            entry.suspects.record_refusal(cause, now)
            seconds = entry.suspensions.measure_left(suspension, now)
        else:
            cause = call.causes[0]
            seconds = entry.suspects.measure_suspension(cause, now)
            if seconds <= 0.0:
                return
        raise RefusedError(
            f"{cause.kind} {cause.id} crashed several endpoints;"
            f" suspended for {seconds:.1f} s",
            Code.SUSPENDED,
            retry_after=seconds,
        )

    def _authorize(
        self, routing: RoutingTable, route: ServiceRoute, metadata: RequestMetadata
    ) -> GatewayWorkspace | None:
        if not route.requires_key or not routing.checks_keys:
            return None
        self._entry.control_state.require_lease()
        workspace = routing.find_workspace(metadata.key)
        if workspace is None:
            raise AuthorizationError("unknown key")
        return workspace

    def _choose_model(self, call: Call) -> ModelName:
        available = list_models(self._entry.list_open_endpoints(), call)
        model = choose_first_model(call.route.models, available)
        if model is None:
            raise RefusedError(
                f"{call.service}: no endpoint holds a model of the route",
                Code.NO_ENDPOINT,
                retry_after=NO_ENDPOINT_RETRY_SECONDS,
            )
        return model

    def recheck_key(self, call: Call) -> None:
        """Refuse a request whose key was revoked, or became required, while it waited.

        It is sent for the workspace that holds the key now.

        Raises
        ------
        AuthorizationError
            When the key is not valid.
        RefusedError
            When the configuration may be too old to tell.
        """
        control_state = self._entry.control_state
        routing = control_state.require_routing()
        needs_key = call.route.requires_key and routing.checks_keys
        if call.workspace is None and not needs_key:
            return
        control_state.require_lease()
        workspace = routing.find_workspace(call.metadata.key)
        if workspace is None:
            raise AuthorizationError("the key is not valid any more")
        call.workspace = workspace


def make_call_fields(call: Call | None) -> dict[str, object]:
    """Return the fields that log lines about a request have in common."""
    if call is None:
        return {}
    return {
        "request": call.metadata.request,
        "route": call.route.name,
        "workspace": call.workspace.name if call.workspace else None,
        "service": call.service,
        "model": call.model,
        **_list_relays(call),
    }


def _make_fingerprint(
    exchange: Exchange, workspace: GatewayWorkspace | None
) -> Fingerprint:
    request = exchange.request
    digest = sha256(request.method + b" " + request.target + b"\n")
    digest.update((workspace.name if workspace else "").encode() + b"\n")
    digest.update(request.body)
    return Fingerprint(digest.hexdigest()[:32])


def _list_relays(call: Call) -> dict[str, object]:
    relays = {"relayed_by": call.relayed_by, "relayed_to": call.relayed_to}
    return {name: entry for name, entry in relays.items() if entry}
