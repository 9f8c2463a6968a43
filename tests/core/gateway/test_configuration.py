import pytest
from core.gateway.samples import make_configuration, make_route
from msgspec.structs import replace

from bergamotwood_core.gateway.configuration import (
    Destination,
    GatewayWorkspace,
    RouteKind,
    find_configuration_errors,
)
from bergamotwood_core.ids import ServiceName, WorkspaceId


def test_valid_configuration_has_no_errors():
    assert find_configuration_errors(make_configuration()) == ()


@pytest.mark.parametrize(
    ("change", "error"),
    [
        ({"destinations": (Destination(ServiceName("none")),)}, "unknown service"),
        ({"destinations": (Destination(ServiceName("plain"), 0.0),)}, "add up to 0"),
        ({"destinations": ()}, "add up to 0"),
        ({"destinations": (Destination(ServiceName("plain"), -1.0),)}, "negative"),
        (
            {"destinations": (Destination(ServiceName("plain"), float("nan")),)},
            "not finite",
        ),
        ({"timeout_seconds": 0.0}, "time-out"),
        ({"path_prefix": "a/"}, "slash"),
    ],
)
def test_each_error_names_its_route(change, error):
    route = replace(make_route(), **change)
    errors = find_configuration_errors(make_configuration(routes=(route,)))
    assert len(errors) == 1
    assert error in errors[0]
    assert route.name in errors[0]


def test_routes_with_equal_host_and_prefix_are_an_error():
    routes = (make_route(name="a"), make_route(name="b"))
    assert "2 routes" in find_configuration_errors(make_configuration(routes=routes))[0]


def test_key_shared_by_two_workspaces_is_an_error():
    workspaces = (
        GatewayWorkspace(WorkspaceId("a"), ("k",)),
        GatewayWorkspace(WorkspaceId("b"), ("k",)),
    )
    assert (
        "share a key"
        in find_configuration_errors(make_configuration(workspaces=workspaces))[0]
    )


def test_only_idempotent_and_resumable_routes_are_retryable():
    assert make_route(kind=RouteKind.IDEMPOTENT).is_retryable
    assert not make_route(kind=RouteKind.NON_IDEMPOTENT).is_retryable
    assert not make_route(kind=RouteKind.STREAMING).is_retryable
    assert make_route(kind=RouteKind.STREAMING, resumable=True).is_retryable
