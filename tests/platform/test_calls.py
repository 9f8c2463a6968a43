from core.gateway.samples import make_heartbeat
from daemon.gateway.harness import GatewayHarness
from msgspec import json

from bergamotwood_core.errors import ReplicationError
from bergamotwood_core.gateway.state_machine import RolloutOutcome, ServiceRollout
from bergamotwood_core.ids import InstanceId, LogIndex
from bergamotwood_core.states import EndpointState
from bergamotwood_daemon.gateway.message import HttpRequest
from bergamotwood_daemon.gateway.peermessages import EntryAddress
from bergamotwood_platform.calls import ControlCalls, EntryCalls

BEAT = {
    "service": "plain",
    "address": "10.0.0.9:80",
    "zone": "karen",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "sequence": 4,
    "born": 17,
}


class Exchange:
    """A call and its answer, without a connection."""

    def __init__(self, method, target, body=b""):
        self.request = HttpRequest(method.encode(), target.encode(), [], body, 0.0)
        self.response = None

    def answer(self, response):
        self.response = response


def call(table, method, target, body=b""):
    exchange = Exchange(method, target, body)
    table.handle(exchange)
    return exchange.response


class RecordingReplica:
    """Keeps what it is told."""

    def __init__(self):
        self.told = []
        self.failure = None

    def _note(self, *what):
        if self.failure:
            raise self.failure
        self.told.append(what)

    def record_heartbeat(self, beat):
        self._note("beat", beat)

    def record_departure(self, endpoint, incarnation, state):
        self._note("departure", endpoint, incarnation, state)

    def replace_configuration(self, document):
        self._note("replace", document)

    def read_configuration(self):
        return b'{"version": 7,  "as": "sent"}'

    def begin_rollout(self, service, target, seconds):
        self._note("rollout", service, target, seconds)

    def find_rollout(self, service):
        outcome = RolloutOutcome.IN_PROGRESS
        rollout = ServiceRollout(service, "v2", 9.0, outcome, LogIndex(1), 0.0)
        return rollout if service == "plain" else None

    def list_gauges(self):
        return {"leads": 1}


def make_control():
    replica = RecordingReplica()
    return replica, ControlCalls(replica).make_table()


def test_the_calls_of_endpoints_reach_the_directory():
    replica, table = make_control()
    path = "/bergamotwood/instances/i-1"
    assert call(table, "POST", f"{path}/heartbeat", json.encode(BEAT)).status == 200
    assert call(table, "POST", f"{path}/deregister").status == 200
    assert call(table, "POST", f"{path}/deregister", b'{"born": 17}').status == 200
    assert replica.told[0][1].endpoint == "i-1"
    assert replica.told[1:] == [
        ("departure", "i-1", None, EndpointState.LEAVING),
        ("departure", "i-1", 17, EndpointState.LEAVING),
    ]
    assert call(table, "POST", f"{path}/heartbeat", b"{}").status == 400


def test_the_calls_of_operators_are_carried_out():
    replica, table = make_control()
    replace = "/bergamotwood/config/replace"
    assert call(table, "POST", replace, b"document").status == 200
    read = call(table, "GET", "/bergamotwood/config/read")
    assert read.body == b'{"version": 7,  "as": "sent"}'
    order = b'{"service": "plain", "target": "v2", "duration_s": 9}'
    assert call(table, "POST", "/bergamotwood/rollouts/begin", order).status == 200
    state = call(table, "GET", "/bergamotwood/rollouts/plain/read")
    assert json.decode(state.body) == {"state": "in_progress", "target": "v2"}
    assert call(table, "GET", "/bergamotwood/rollouts/none/read").status == 404
    assert replica.told == [
        ("replace", b"document"),
        ("rollout", "plain", "v2", 9.0),
    ]


def test_what_no_majority_confirms_is_not_acknowledged():
    replica, table = make_control()
    replica.failure = ReplicationError("no majority")
    assert call(table, "POST", "/bergamotwood/config/replace", b"x").status == 503
    assert call(table, "GET", "/bergamotwood/config/replace").status == 404


def make_entry(name, data_centre, is_ready=True):
    return EntryAddress(InstanceId(name), name, data_centre, is_ready)


def test_callers_are_told_the_ready_entries_near_them():
    harness = GatewayHarness()
    table = EntryCalls(harness.entry).make_address_table()
    ask = "/bergamotwood/resolution?name=h.example&region=r&zone="
    harness.sync(
        entries=(
            make_entry("near:1", "karen"),
            make_entry("leaving:1", "karen", is_ready=False),
            make_entry("far:1", "embakasi"),
        )
    )
    answer = json.decode(call(table, "GET", ask + "karen").body)
    assert answer["addresses"] == ["near:1", "127.0.0.1:0"]
    assert 0.0 < answer["ttl_s"] <= 5.0
    answer = json.decode(call(table, "GET", ask + "embakasi").body)
    assert answer["addresses"] == ["far:1"]
    harness.stop()


def test_an_entry_is_ready_once_it_knows_a_configuration_and_until_it_leaves():
    harness = GatewayHarness()
    table = EntryCalls(harness.entry).make_readiness_table()
    assert call(table, "GET", "/bergamotwood/readyz").status == 503
    harness.sync()
    assert call(table, "GET", "/bergamotwood/readyz").status == 200
    harness.entry.is_draining = True
    assert call(table, "GET", "/bergamotwood/readyz").status == 503
    harness.stop()


def test_metrics_are_served_as_text():
    harness = GatewayHarness()
    harness.heartbeats = [make_heartbeat()]
    harness.sync()
    table = EntryCalls(harness.entry).make_metrics_table()
    text = call(table, "GET", "/metrics").body.decode()
    assert "bergamotwood_configuration_number 3" in text
    assert "bergamotwood_endpoints 1" in text
    control = ControlCalls(RecordingReplica()).make_metrics_table()
    assert b"bergamotwood_leads 1\n" in call(control, "GET", "/metrics").body
    harness.stop()
