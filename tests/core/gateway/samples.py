"""Factories of valid objects for the tests of the gateway."""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.call import Call, RequestMetadata
from bergamotwood_core.gateway.configuration import (
    Destination,
    GatewayConfiguration,
    GatewayService,
    GatewayWorkspace,
    RouteKind,
    ServiceRoute,
)
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    RequestId,
    Sequence,
    ServiceName,
    WorkspaceId,
)

PLAIN = ServiceName("plain")
MODELS = ServiceName("models")


def make_route(**changes):
    values = {
        "name": "r",
        "host": "h.example",
        "path_prefix": "/a/",
        "kind": RouteKind.IDEMPOTENT,
        "destinations": (Destination(PLAIN),),
        "timeout_seconds": 3.0,
        "latency_objective_seconds": 0.4,
        "max_attempts": 2,
    }
    return ServiceRoute(**{**values, **changes})


def make_configuration(**changes):
    values = {
        "number": 3,
        "routes": (make_route(),),
        "services": (GatewayService(PLAIN), GatewayService(MODELS)),
        "workspaces": (GatewayWorkspace(WorkspaceId("circle"), ("key-1", "key-2"), 1),),
    }
    return GatewayConfiguration(**{**values, **changes})


def make_call(route=None, **changes):
    route = route or make_route()
    values = {
        "metadata": RequestMetadata(RequestId("q-1"), timeout_seconds=3.0, key="key-1"),
        "route": route,
        "workspace": None,
        "service": route.destinations[0].service,
        "received_at": Seconds(0.0),
        "deadline": Seconds(3.0),
        "fingerprint": "f",
    }
    return Call(**{**values, **changes})


def make_heartbeat(endpoint="e-1", **changes):
    values = {
        "endpoint": EndpointId(endpoint),
        "incarnation": Incarnation(1),
        "sequence": Sequence(1),
        "service": PLAIN,
        "address": f"{endpoint}:80",
        "data_centre": DataCentre("karen"),
        "version": "v1",
        "slots": 6,
    }
    return EndpointHeartbeat(**{**values, **changes})
