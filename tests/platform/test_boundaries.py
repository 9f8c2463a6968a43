"""Any document or header from outside, and what a daemon then does with it."""

from json import dumps
from math import isfinite

import h11
import pytest
from core.gateway.samples import make_heartbeat, make_route
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from msgspec import json
from msgspec.msgpack import Encoder
from platformsamples import CONFIGURATION, HEARTBEAT, ROUTE

from bergamotwood_core.errors import RequestError
from bergamotwood_core.gateway.call import ForwardMetadata
from bergamotwood_core.gateway.configuration import find_configuration_errors
from bergamotwood_core.gateway.endpoints import EndpointDirectory
from bergamotwood_core.gateway.rollout import RolloutView
from bergamotwood_core.gateway.routing import RoutingTable, choose_destination
from bergamotwood_core.gateway.state_machine import (
    BeginRollout,
    Departure,
    GatewayStateMachine,
    ReplaceConfiguration,
    compress_document,
)
from bergamotwood_core.ids import EndpointId
from bergamotwood_core.messages import parse_address
from bergamotwood_core.states import EndpointState
from bergamotwood_daemon.gateway.peermessages import SyncReply
from bergamotwood_platform.documents import (
    decode_configuration,
    decode_deregistration,
    decode_heartbeat,
    decode_rollout,
)
from bergamotwood_platform.headers import (
    read_request_metadata,
    read_response_metadata,
    write_endpoint_headers,
)

EXAMPLES = settings(
    max_examples=300, deadline=None, suppress_health_check=list(HealthCheck)
)
# Messages are encoded by the plain encoder, so that no record may be left out.
ENCODER = Encoder()
ODD_INTEGERS = st.one_of(
    st.integers(),
    st.sampled_from([0, -1, 2**63 - 1, 2**63, 2**64, 2**128, -(2**70), 10**400]),
)
ODD_NUMBERS = st.one_of(
    ODD_INTEGERS,
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from([1e308, -1e308, 1e30, 0.0, -0.0]),
)
ODD_TEXTS = st.one_of(
    st.text(max_size=20),
    st.sampled_from(["x" * 70_000, "\x00", "\n", " ", "\ud800", "é", "1.2.3.4:0"]),
    st.sampled_from(["1.2.3.4:99999", "1.2.3.4:" + "9" * 5_000, "a\nb:80", ":80"]),
)
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    ODD_NUMBERS,
    ODD_TEXTS,
    st.recursive(
        st.integers(), lambda inner: st.lists(inner, max_size=3), max_leaves=8
    ),
    st.just([{"name": "m" * 300}]),
    st.just([{"name": "m"}] * 5_000),
)


def make_odd_value(value):
    """Return a strategy of values, most of them of the type of a given one."""
    match value:
        case bool():
            same_type = st.booleans()
        case int():
            same_type = ODD_INTEGERS
        case float():
            same_type = ODD_NUMBERS
        case str():
            same_type = ODD_TEXTS
        case _:
            same_type = ODD_VALUES
    return st.integers(0, 4).flatmap(lambda at: same_type if at else ODD_VALUES)


def make_documents(sample):
    """Return a strategy of a document with some fields changed or left out."""
    changes = st.sampled_from(sorted(sample)).flatmap(
        lambda name: make_odd_value(sample[name]).map(lambda value: {name: value})
    )
    return st.lists(changes, min_size=1, max_size=2).map(
        lambda items: {**sample, **items[0], **items[-1]}
    )


def write(document):
    return dumps(document).encode("utf-8", "surrogatepass")


@EXAMPLES
@given(make_documents(HEARTBEAT))
def test_any_heartbeat_that_is_taken_can_be_passed_on(document):
    try:
        heartbeat = decode_heartbeat("i-1", write(document))
    except RequestError:
        return
    directory = EndpointDirectory(30.0)
    assert directory.apply_heartbeat(heartbeat, 1.0)
    reply = SyncReply(0.0, 1, None, "b", endpoints=directory.feed.list_changes(-1))
    ENCODER.encode(reply)
    ENCODER.encode(
        Departure(heartbeat.endpoint, heartbeat.incarnation, EndpointState.LEAVING)
    )
    json.encode({"address": heartbeat.address, "models": heartbeat.models})
    address = parse_address(heartbeat.address)
    assert 1 <= address.port <= 65_535
    assert isfinite(heartbeat.warmup_seconds)


@EXAMPLES
@given(make_documents(CONFIGURATION), make_documents(ROUTE))
def test_any_configuration_that_is_taken_can_be_passed_on(document, route):
    if isinstance(document["routes"], list) and len(document["routes"]) == 1:
        document["routes"] = [route]
    body = write(document)
    try:
        configuration = decode_configuration(body)
    except RequestError:
        return
    if find_configuration_errors(configuration):
        return
    machine = GatewayStateMachine()
    machine.apply(
        1,
        ENCODER.encode(
            ReplaceConfiguration(configuration.number, compress_document(body))
        ),
    )
    machine.snapshot()
    table = RoutingTable(configuration)
    for item in table.configuration.routes:
        choose_destination(item, "k")
        assert isfinite(item.timeout_seconds)
        for model in item.models:
            send_fields([(b"m", model.encode())])
    for workspace in configuration.workspaces or ():
        send_fields([(b"w", workspace.name.encode())])


def send_fields(headers):
    http = h11.Connection(h11.CLIENT)
    headers = [(b"host", b"h"), *headers]
    return http.send(h11.Request(method="GET", target="/", headers=headers))


@EXAMPLES
@given(make_documents({"born": 1783727335582}))
def test_any_deregistration_that_is_taken_can_be_committed(document):
    try:
        incarnation = decode_deregistration(write(document))
    except RequestError:
        return
    if incarnation is not None:
        ENCODER.encode(Departure(EndpointId("i"), incarnation, EndpointState.LEAVING))


@EXAMPLES
@given(make_documents({"service": "pool", "target": "v2", "duration_s": 12}))
def test_any_rollout_that_is_taken_can_be_followed(document):
    try:
        service, target, seconds = decode_rollout(write(document))
    except RequestError:
        return
    machine = GatewayStateMachine()
    machine.apply(1, ENCODER.encode(BeginRollout(service, target, seconds, 1.0)))
    machine.snapshot()
    (rollout,) = machine.state.rollouts.values()
    view = RolloutView(rollout, 3.0, 0.1)
    ENCODER.encode(view)
    assert view.elapsed_seconds / rollout.duration_seconds >= 0.0


HEADER_VALUES = st.one_of(
    st.integers().map(lambda number: str(number).encode()),
    st.sampled_from(
        [b"9" * 5_000, b"1e309", b"nan", b"inf", b"-1", b"1e308", b"", b"a,b:9,c:x"]
    ),
    st.from_regex(rb"\A[\x21-\x7e\x80-\xff]{0,40}\Z"),
    st.just(b"s" * 15_000),
)
CALL_FIELDS = (b"x-deadline-ms", b"x-token-usage", b"x-prefix-hash", b"x-length-hint")
CALL_FIELDS = (*CALL_FIELDS, b"session", b"last-event-id", b"x-model", b"x-request-id")
ANSWER_FIELDS = (b"x-confidence", b"server-limit", b"server-brittle", b"x-warmup-ms")


@EXAMPLES
@given(st.dictionaries(st.sampled_from(CALL_FIELDS), HEADER_VALUES, max_size=5))
def test_any_header_of_a_caller_can_be_passed_on(fields):
    headers = list(fields.items())
    try:
        call = read_request_metadata(headers)
    except RequestError:
        return
    ENCODER.encode([call.session, call.prompt_tokens, call.output_tokens])
    ENCODER.encode([(part.id, part.tokens) for part in call.prompt])
    assert len(call.session) <= 256
    assert 1.0 * call.prompt_tokens <= 1e8
    metadata = ForwardMetadata(
        EndpointId("i-1"),
        3.0 if call.timeout_seconds is None else call.timeout_seconds,
        last_event_id=call.last_event_id,
    )
    send_fields(write_endpoint_headers(headers, metadata))


@EXAMPLES
@given(st.dictionaries(st.sampled_from(ANSWER_FIELDS), HEADER_VALUES, max_size=4))
def test_any_header_of_an_endpoint_gives_numbers_to_compute_with(fields):
    answer = read_response_metadata(list(fields.items()))
    numbers = (
        answer.confidence,
        answer.requests_per_second,
        answer.refusals_per_second,
        answer.warmup_seconds,
    )
    assert all(number is None or isfinite(number) for number in numbers)


@pytest.mark.parametrize(
    "change",
    [
        {"sequence": 2**64},
        {"sequence": 2**128},
        {"sequence": -1},
        {"born": 2**70},
        {"slots": 2**65},
        {"warmup_left_ms": 1e300},
        {"warmup_left_ms": -1},
        {"address": "127.0.0.1:65536"},
        {"address": "127.0.0.1:0"},
        {"zone": 257 * "z"},
    ],
)
def test_a_heartbeat_that_nobody_could_use_is_refused(change):
    with pytest.raises(RequestError):
        decode_heartbeat("i-1", write({**HEARTBEAT, **change}))


def test_heartbeats_and_routes_of_the_samples_are_taken():
    decode_heartbeat("i-1", write(HEARTBEAT))
    assert not find_configuration_errors(decode_configuration(write(CONFIGURATION)))
    assert make_heartbeat() and make_route()
