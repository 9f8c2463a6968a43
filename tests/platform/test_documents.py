import pytest
from msgspec.json import encode
from platformsamples import CONFIGURATION, HEARTBEAT, ROUTE

from bergamotwood_core.errors import RequestError
from bergamotwood_core.gateway.configuration import RouteKind, find_configuration_errors
from bergamotwood_core.gateway.routing import RoutingTable
from bergamotwood_core.states import EndpointState
from bergamotwood_platform.documents import (
    ConfigurationDecoder,
    decode_configuration,
    decode_deregistration,
    decode_heartbeat,
    decode_rollout,
)


def test_configuration_document_is_converted():
    configuration = decode_configuration(encode(CONFIGURATION))
    assert find_configuration_errors(configuration) == ()
    route = configuration.routes[0]
    assert configuration.number == 7
    assert route.host == "ficu95.example"
    assert route.kind is RouteKind.STREAMING
    assert (route.timeout_seconds, route.latency_objective_seconds) == (15.0, 4.0)
    assert route.event_gap_seconds == 1.5
    assert [d.weight for d in route.destinations] == [90, 10]
    assert route.requires_key
    assert configuration.services[0].engine.model_costs == {"small": 0.0074}
    assert configuration.limits.header_bytes == 8192
    assert configuration.workspaces[0].keys == ("a", "b")


# Guards against an empty list that is taken for none, so that any key works.
def test_an_empty_list_of_workspaces_still_requires_keys():
    document = {**CONFIGURATION, "tenants": []}
    configuration = decode_configuration(encode(document))
    assert find_configuration_errors(configuration) == ()
    assert RoutingTable(configuration).checks_keys
    del document["tenants"]
    assert not RoutingTable(decode_configuration(encode(document))).checks_keys


@pytest.mark.parametrize(
    "change",
    [
        {"version": "7"},
        {"version": None},
        {"routes": {}},
        {"routes": [{**ROUTE, "route_type": "magic"}]},
        {"routes": [{**ROUTE, "timeout_ms": "long"}]},
        {"routes": [{**ROUTE, "backends": None}]},
        {"services": [{}]},
        {"tenants": [{"api_keys": []}]},
        {"tenants": None},
    ],
)
def test_invalid_configuration_is_rejected(change):
    with pytest.raises(RequestError):
        decode_configuration(encode({**CONFIGURATION, **change}))


def test_truncated_configuration_is_rejected():
    body = encode(CONFIGURATION)
    for end in range(0, len(body), 7):
        with pytest.raises(RequestError):
            decode_configuration(body[:end])


def test_heartbeat_document_is_converted():
    heartbeat = decode_heartbeat("i-1", encode(HEARTBEAT))
    assert (heartbeat.endpoint, heartbeat.incarnation, heartbeat.sequence) == (
        "i-1",
        HEARTBEAT["born"],
        4,
    )
    assert heartbeat.state is EndpointState.SERVING
    assert heartbeat.warmup_seconds == 0.25
    assert heartbeat.models == ("small",)
    leaving = decode_heartbeat("i-1", encode({**HEARTBEAT, "state": "draining"}))
    assert leaving.state is EndpointState.LEAVING


@pytest.mark.parametrize(
    "change",
    [
        {"born": "yesterday"},
        {"born": 1.5},
        {"sequence": None},
        {"state": "dreaming"},
        {"address": "nowhere"},
        {"address": 7},
        {"slots": 0},
        {"service": None},
    ],
)
def test_heartbeat_with_an_invalid_or_missing_field_is_rejected(change):
    with pytest.raises(RequestError):
        decode_heartbeat("i-1", encode({**HEARTBEAT, **change}))
    for missing in change:
        incomplete = {key: value for key, value in HEARTBEAT.items() if key != missing}
        with pytest.raises(RequestError):
            decode_heartbeat("i-1", encode(incomplete))


def test_heartbeat_that_is_no_json_object_is_rejected():
    for body in (b"", b"\xff\xfe", b"[]", b"null", b"[" * 20_000):
        with pytest.raises(RequestError):
            decode_heartbeat("i-1", body)


def test_deregistration_and_rollout_documents_are_decoded():
    assert decode_deregistration(b"") is None
    assert decode_deregistration(b"{}") is None
    assert decode_deregistration(b'{"born": 5}') == 5
    body = b'{"service": "pool", "target": "v2", "duration_s": 12}'
    assert decode_rollout(body) == ("pool", "v2", 12.0)
    with pytest.raises(RequestError):
        decode_rollout(b'{"service": "pool"}')


def test_successive_configurations_decode_like_single_ones():
    decoder = ConfigurationDecoder()
    first = CONFIGURATION["routes"][0]
    changed = {**first, "timeout_ms": 9_000}
    added = {**first, "name": "added", "path_prefix": "/added/"}
    for number, routes in enumerate(([first], [first, added], [changed, added], [])):
        body = encode({**CONFIGURATION, "version": number, "routes": routes})
        assert decoder.decode(body) == decode_configuration(body)


def test_unchanged_routes_are_kept():
    decoder = ConfigurationDecoder()
    first = decoder.decode(encode(CONFIGURATION)).routes
    second = decoder.decode(encode({**CONFIGURATION, "version": 99})).routes
    assert all(one is other for one, other in zip(first, second, strict=True))


def test_a_faulty_route_is_named_and_leaves_the_decoder_usable():
    decoder = ConfigurationDecoder()
    faulty = {**CONFIGURATION["routes"][0], "timeout_ms": "soon"}
    routes = [CONFIGURATION["routes"][0], faulty]
    with pytest.raises(RequestError, match="route 1: .*timeout_ms"):
        decoder.decode(encode({**CONFIGURATION, "routes": routes}))
    assert decoder.decode(encode(CONFIGURATION)).routes


def test_the_warm_up_of_a_service_is_decoded():
    warmup = {"name": "pool", "warmup_s": 3.0, "warmup_per_s": 5.6}
    services = [warmup, {"name": "desk"}, {"name": "half", "warmup_s": 3.0}]
    document = {**CONFIGURATION, "services": services}
    pool, desk, half = decode_configuration(encode(document)).services
    assert (pool.warmup_seconds, pool.warmup_requests_per_second) == (3.0, 5.6)
    assert pool.has_warmup
    assert not desk.has_warmup
    assert not half.has_warmup


def test_a_negative_warm_up_is_an_error():
    services = [{"name": "pool", "warmup_per_s": -1.0}, {"name": "desk"}]
    document = {**CONFIGURATION, "services": services}
    (error,) = find_configuration_errors(decode_configuration(encode(document)))
    assert "pool" in error
