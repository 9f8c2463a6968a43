from core.gateway.samples import make_heartbeat
from daemon.gateway.harness import GatewayHarness
from msgspec import json

from bergamotwood_core.errors import Code, RefusedError, ReplicationError, RequestError
from bergamotwood_core.gateway.changefeed import Changes
from bergamotwood_core.gateway.members import MAX_ADDRESSES, EntryAddress
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.ids import InstanceId, LogIndex
from bergamotwood_core.states import EndpointState
from bergamotwood_daemon.gateway.message import HttpRequest
from bergamotwood_platform.api import ControlApi, EntryApi

HEARTBEAT = {
    "service": "plain",
    "address": "10.0.0.9:80",
    "zone": "karen",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "sequence": 4,
    "born": 17,
}


class FakeExchange:
    """A request and its response, without a connection."""

    def __init__(self, method, target, body=b""):
        self.request = HttpRequest(method.encode(), target.encode(), [], body, 0.0)
        self.response = None

    def answer(self, response):
        self.response = response


def call(router, method, target, body=b""):
    exchange = FakeExchange(method, target, body)
    router.handle(exchange)
    return exchange.response


class RecordingReplica:
    """Records the calls that it gets."""

    def __init__(self):
        self.recorded = []
        self.failure = None

    def _record(self, *arguments):
        if self.failure:
            raise self.failure
        self.recorded.append(arguments)

    def record_heartbeat(self, heartbeat):
        self._record("heartbeat", heartbeat)

    def record_departure(self, endpoint, incarnation, state):
        self._record("departure", endpoint, incarnation, state)

    def replace_configuration(self, document):
        self._record("replace", document)

    def read_configuration(self):
        return b'{"version": 7,  "as": "sent"}'

    def begin_rollout(self, service, target, seconds):
        self._record("rollout", service, target, seconds)

    def find_rollout(self, service):
        outcome = RolloutOutcome.IN_PROGRESS
        rollout = ServiceRollout(service, "v2", 9.0, outcome, LogIndex(1), 0.0)
        return rollout if service == "plain" else None

    def begin_evacuation(self, data_centre):
        self._record("begin", data_centre)

    def end_evacuation(self, data_centre):
        self._record("end", data_centre)

    def list_gauges(self):
        return {"leads": 1}


def make_control_router():
    replica = RecordingReplica()
    return replica, ControlApi(replica).make_router()


def test_heartbeats_and_deregistrations_are_passed_to_the_replica():
    replica, router = make_control_router()
    path = "/bergamotwood/instances/i-1"
    assert (
        call(router, "POST", f"{path}/heartbeat", json.encode(HEARTBEAT)).status == 200
    )
    assert call(router, "POST", f"{path}/deregister").status == 200
    assert call(router, "POST", f"{path}/deregister", b'{"born": 17}').status == 200
    assert replica.recorded[0][1].endpoint == "i-1"
    assert replica.recorded[1:] == [
        ("departure", "i-1", None, EndpointState.LEAVING),
        ("departure", "i-1", 17, EndpointState.LEAVING),
    ]
    assert call(router, "POST", f"{path}/heartbeat", b"{}").status == 400


def test_configuration_and_rollout_calls_are_passed_to_the_replica():
    replica, router = make_control_router()
    replace = "/bergamotwood/config/replace"
    assert call(router, "POST", replace, b"document").status == 200
    read = call(router, "GET", "/bergamotwood/config/read")
    assert read.body == b'{"version": 7,  "as": "sent"}'
    rollout = b'{"service": "plain", "target": "v2", "duration_s": 9}'
    assert call(router, "POST", "/bergamotwood/rollouts/begin", rollout).status == 200
    state = call(router, "GET", "/bergamotwood/rollouts/plain/read")
    assert json.decode(state.body) == {"state": "in_progress", "target": "v2"}
    assert call(router, "GET", "/bergamotwood/rollouts/none/read").status == 404
    assert replica.recorded == [
        ("replace", b"document"),
        ("rollout", "plain", "v2", 9.0),
    ]


def test_replace_returns_503_without_a_majority():
    replica, router = make_control_router()
    replica.failure = ReplicationError("no majority")
    assert call(router, "POST", "/bergamotwood/config/replace", b"x").status == 503
    assert call(router, "GET", "/bergamotwood/config/replace").status == 404


def test_a_refused_order_names_the_time_after_which_to_send_it_again():
    """Operators that get no time would repeat the order at once, or give up."""
    replica, router = make_control_router()
    replica.failure = RefusedError("low", Code.LEVEL_NOT_IN_EFFECT, retry_after=1.0)
    response = call(router, "POST", "/bergamotwood/config/replace", b"x")
    assert response.status == 503
    assert dict(response.headers)[b"retry-after"] == b"1.000"


def make_entry_address(name, data_centre, is_ready=True):
    return EntryAddress(InstanceId(name), name, data_centre, is_ready)


def test_resolution_lists_ready_entries_of_the_data_centre():
    harness = GatewayHarness()
    router = EntryApi(harness.entry).make_address_router()
    path = "/bergamotwood/resolution?name=h.example&region=r&zone="
    entries = (
        make_entry_address("near:1", "karen"),
        make_entry_address("leaving:1", "karen", is_ready=False),
        make_entry_address("far:1", "embakasi"),
    )
    values = {entry.instance: entry for entry in entries}
    harness.sync(entries=Changes(0, 1, True, values))
    document = json.decode(call(router, "GET", path + "karen").body)
    assert document["addresses"] == ["near:1", "127.0.0.1:0"]
    assert 0.0 < document["ttl_s"] <= 5.0
    document = json.decode(call(router, "GET", path + "embakasi").body)
    assert document["addresses"] == ["far:1"]
    harness.stop()


def test_resolution_spreads_callers_over_more_entries_than_it_lists():
    harness = GatewayHarness()
    names = [f"e{at}:1" for at in range(3 * MAX_ADDRESSES)]
    values = {name: make_entry_address(name, "embakasi") for name in names}
    harness.sync(entries=Changes(0, 1, True, values))
    router = EntryApi(harness.entry).make_address_router()
    path = "/bergamotwood/resolution?zone=embakasi"
    listed = set()
    for _ in range(20):
        addresses = json.decode(call(router, "GET", path).body)["addresses"]
        assert len(addresses) == MAX_ADDRESSES
        listed.update(addresses)
    assert listed == set(names)
    harness.stop()


def test_entry_is_ready_from_its_first_configuration_until_it_drains():
    harness = GatewayHarness()
    router = EntryApi(harness.entry).make_readiness_router()
    assert call(router, "GET", "/bergamotwood/readyz").status == 503
    harness.sync()
    assert call(router, "GET", "/bergamotwood/readyz").status == 200
    harness.entry.is_draining = True
    assert call(router, "GET", "/bergamotwood/readyz").status == 503
    harness.stop()


def test_metrics_are_served_as_text():
    harness = GatewayHarness()
    harness.heartbeats = [make_heartbeat()]
    harness.sync()
    router = EntryApi(harness.entry).make_metrics_router()
    text = call(router, "GET", "/metrics").body.decode()
    assert "bergamotwood_configuration_number 3" in text
    assert "bergamotwood_endpoints 1" in text
    control_router = ControlApi(RecordingReplica()).make_metrics_router()
    assert b"bergamotwood_leads 1\n" in call(control_router, "GET", "/metrics").body
    harness.stop()


def test_operators_evacuate_a_zone_and_take_it_back_without_a_body():
    replica, router = make_control_router()
    assert call(router, "POST", "/bergamotwood/drains/karen/begin").status == 200
    assert call(router, "POST", "/bergamotwood/drains/karen/finish").status == 200
    assert call(router, "POST", "/bergamotwood/drains/a%20b/begin").status == 200
    assert replica.recorded == [("begin", "karen"), ("end", "karen"), ("begin", "a b")]
    assert call(router, "GET", "/bergamotwood/drains/karen/begin").status == 404
    assert call(router, "POST", "/bergamotwood/drains/karen").status == 404


def test_an_unknown_zone_is_answered_with_404_and_a_text():
    replica, router = make_control_router()
    replica.failure = RequestError("no data centre x; there are y", Code.UNKNOWN_PATH)
    response = call(router, "POST", "/bergamotwood/drains/x/begin")
    assert response.status == 404
    assert b"no data centre x; there are y" in response.body


def test_a_refusal_that_names_a_time_has_a_retry_after():
    """Operators repeat an order that came before the level of the group was raised."""
    replica, router = make_control_router()
    replica.failure = RefusedError("upgrade", Code.LEVEL_NOT_IN_EFFECT, retry_after=1.0)
    response = call(router, "POST", "/bergamotwood/drains/karen/begin")
    assert response.status == 503
    assert (b"retry-after", b"1.000") in response.headers
