"""Entries that are partitioned from all endpoints, while everything else works."""

from dataclasses import dataclass
from itertools import cycle

import pytest
from core.gateway.samples import PLAIN, make_configuration, make_route
from daemon.gateway.fleet import DirectChannel, Fleet, FleetEntry, ModelServer
from daemon.gateway.harness import Caller, Reply
from daemon.gateway.partitions import Partition, PartitionedEntry
from gevent import sleep, spawn
from msgspec.structs import replace

from bergamotwood_core.gateway.configuration import RouteKind
from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.gateway import channels

ENTRIES = 5
SERVERS = 4
# Bound of the platform: time after which entries must have dealt with a change.
CONTACT_SECONDS = 3.0
# First tries at partitioned entries succeed as often as at the others, but for this.
TOLERANCE = 0.02
PATHS = {
    "/a/": make_route(
        kind=RouteKind.STREAMING,
        max_attempts=3,
        resumable=True,
        event_gap_seconds=0.5,
        timeout_seconds=8.0,
        latency_objective_seconds=2.0,
    ),
    "/b/": make_route(
        name="b", path_prefix="/b/", kind=RouteKind.NON_IDEMPOTENT, max_attempts=2
    ),
    "/c/": make_route(name="c", path_prefix="/c/", max_attempts=2),
}
WAYS = [Partition.HANG, Partition.RESET, Partition.REFUSE_NEW]


@dataclass
class Try:
    """A request that was sent once, with its reply."""

    at: float
    entry: FleetEntry
    name: str
    reply: Reply | None
    seconds: float

    @property
    def is_served(self):
        reply = self.reply
        return reply is not None and reply.status == 200 and reply.is_whole


class PartitionedFleet(Fleet):
    """Entries that can be partitioned from endpoints, and callers that try once."""

    def __init__(self, folder):
        super().__init__(folder, ("karen", "karen", "karen"))
        self.dialect.configuration = make_configuration(routes=tuple(PATHS.values()))
        self.retry(lambda: self.find(leads=True)[1].replace_configuration(b"7"))
        self.entries = [
            FleetEntry(self, number, make_entry=PartitionedEntry)
            for number in range(1, ENTRIES + 1)
        ]
        self.servers = [
            ModelServer(self, f"m{at}", answer_seconds=0.2) for at in range(SERVERS)
        ]
        self.tries = []
        self._callers = []
        self._sent = 0
        for entry in self.entries:
            self._wait_for_endpoints(entry.entry.control_state)

    def partition(self, entries, partition):
        for entry in entries:
            entry.entry.pool.cut(partition)

    def run(self, seconds, interval=0.02, entries=None):
        """Send requests of all kinds to all entries, or to some, in turn."""
        until = read_clock() + seconds
        kinds = cycle(PATHS)
        while read_clock() < until:
            for entry in entries or self.entries:
                self._callers.append(spawn(self._call, entry, next(kinds)))
                sleep(interval)

    def finish(self):
        for caller in self._callers:
            caller.join(10.0)

    def measure_served(self, entries, since, least=20):
        """Return the share of the requests since then that entries served."""
        tries = [item for item in self.list_since(since) if item.entry in entries]
        assert len(tries) > least
        return sum(item.is_served for item in tries) / len(tries)

    def list_since(self, since):
        """Return the requests since some time."""
        return [item for item in self.tries if item.at > since]

    def count_relayed(self):
        """Return the number of requests that other entries have taken."""
        return sum(
            entry.entry.counters.count("relays_total", 'result="ok"')
            for entry in self.entries
        )

    def stop(self):
        for caller in self._callers:
            caller.kill(block=False)
        for part in (*self.entries, *self.servers):
            part.stop()
        for entry in self.entries:
            entry.entry.pool.stop()
        super().stop()

    def _wait_for_endpoints(self, state):
        self.wait_for(lambda: state.routing and len(state.heartbeats) >= SERVERS)

    def _call(self, entry, path):
        self._sent += 1
        at = read_clock()
        name = f"q-{self._sent}"
        reply = entry.call(method="POST", path=f"{path}x", id=name, timeout="3")
        self.tries.append(Try(at, entry, name, reply, read_clock() - at))


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    monkeypatch.setattr(channels, "PeerChannel", DirectChannel)
    fleet = PartitionedFleet(tmp_path)
    yield fleet
    fleet.stop()


@pytest.mark.parametrize("count", [1, ENTRIES - 1], ids=["one entry", "all but one"])
@pytest.mark.parametrize("way", WAYS, ids=[way.value for way in WAYS])
def test_first_tries_at_partitioned_entries_are_served_as_often_as_elsewhere(
    fleet, way, count
):
    partitioned, others = fleet.entries[:count], fleet.entries[count:]
    fleet.run(1.0)
    fleet.partition(partitioned, way)
    since = read_clock() + CONTACT_SECONDS
    fleet.run(CONTACT_SECONDS + 3.0)
    fleet.finish()
    elsewhere = fleet.measure_served(others, since)
    assert elsewhere > 1.0 - TOLERANCE
    assert fleet.measure_served(partitioned, since) >= elsewhere - TOLERANCE


def test_entries_without_any_endpoint_refuse_at_once_and_do_not_pass_requests_on(
    fleet,
):
    fleet.run(1.0)
    fleet.partition(fleet.entries, Partition.HANG)
    fleet.run(CONTACT_SECONDS)
    fleet.finish()
    relayed = fleet.count_relayed()
    since = read_clock()
    fleet.run(2.0)
    fleet.finish()
    assert fleet.count_relayed() == relayed
    late = fleet.list_since(since)
    assert {item.reply.status for item in late} == {503}
    assert max(item.seconds for item in late) < 1.0


def test_requests_go_straight_to_endpoints_soon_after_a_partition(fleet):
    partitioned = fleet.entries[: ENTRIES - 1]
    fleet.partition(partitioned, Partition.HANG)
    fleet.run(CONTACT_SECONDS)
    fleet.partition(partitioned, Partition.NONE)
    since = read_clock()
    fleet.run(1.5)
    fleet.finish()
    relayed = fleet.count_relayed()
    fleet.run(1.0)
    fleet.finish()
    assert fleet.count_relayed() == relayed
    assert fleet.measure_served(partitioned, since) > 1.0 - TOLERANCE


def test_callers_are_sent_to_entries_that_reach_the_endpoints(fleet):
    fleet.run(0.5)
    fleet.partition(fleet.entries[:2], Partition.RESET)
    fleet.run(2.0)
    for entry in fleet.entries:
        listed = entry.entry.list_addresses("karen")
        assert len(listed) == ENTRIES - 2
    fleet.partition(fleet.entries[:2], Partition.NONE)
    fleet.run(2.0)
    assert len(fleet.entries[0].entry.list_addresses("karen")) == ENTRIES


@pytest.mark.parametrize("way", WAYS, ids=[way.value for way in WAYS])
def test_partitioned_entries_make_others_take_no_endpoint_for_ended(fleet, way):
    fleet.run(1.0)
    fleet.partition(fleet.entries[: ENTRIES - 1], way)
    other = fleet.entries[-1].entry
    until = read_clock() + CONTACT_SECONDS
    while read_clock() < until:
        fleet.run(0.2)
        assert other.placement.ended == frozenset()
    replica = next(iter(fleet.replicas.values()))
    assert replica.suspensions.list_suspensions() == ()


def refuse_connection(entry):
    """Let an entry see a refused connection, as the only one for some time."""
    heartbeat = next(iter(entry.control_state.heartbeats.values()))
    key = (heartbeat.endpoint, heartbeat.incarnation)
    entry.record_failed_connection(heartbeat.service, key)
    entry.suspects.record_refused_connection(key, heartbeat.service, read_clock())
    entry.poller.report_soon()
    return key


@pytest.mark.parametrize("is_partitioned", [True, False])
def test_one_refused_connection_alone_ends_no_endpoint(fleet, is_partitioned):
    """Guards against a first failed connection in a partition that others believe."""
    entry, *others = (item.entry for item in fleet.entries)
    if is_partitioned:
        fleet.partition(fleet.entries[:1], Partition.REFUSE_NEW)
    # All entries have known each other for long enough to probe.
    sleep(2.5)
    key = refuse_connection(entry)
    seen = set()
    until = read_clock() + 1.5
    while read_clock() < until:
        seen.update(*(other.placement.ended for other in others))
        sleep(0.02)
    assert seen == (set() if is_partitioned else {key})
    assert entry.reach.is_lost(PLAIN) is is_partitioned


def test_no_request_that_runs_once_at_most_runs_twice_in_a_partition(fleet):
    fleet.run(0.5)
    for way, count in zip(WAYS, (3, ENTRIES, ENTRIES - 1), strict=True):
        fleet.partition(fleet.entries[:count], way)
        fleet.run(1.0)
        fleet.partition(fleet.entries, Partition.NONE)
        fleet.run(0.5)
    fleet.finish()
    ran = [
        name for server in fleet.servers for name, path in server.ran if path == "/b/x"
    ]
    assert len(ran) > 50
    assert len(ran) == len(set(ran))
    refused = {item.name for item in fleet.tries if item.reply.status == 503}
    assert refused
    assert not refused.intersection(ran)


def make_slow(fleet, seconds):
    for server in fleet.servers:
        server._answer_seconds = seconds


@pytest.mark.parametrize("way", WAYS, ids=[way.value for way in WAYS])
def test_a_stream_that_is_cut_goes_on_through_another_entry(fleet, way):
    entry = fleet.entries[0]
    make_slow(fleet, 2.0)
    call = spawn(entry.call, method="POST", path="/a/x", id="long", timeout="8")
    sleep(0.8)
    fleet.partition([entry], way)
    reply = call.get(timeout=9.0)
    assert reply.status == 200
    assert reply.is_whole
    ids = [line for line in reply.body.splitlines() if line.startswith("id:")]
    assert ids == [f"id: {at}" for at in range(1, 10)]


def test_a_caller_that_leaves_ends_the_work_behind_another_entry(fleet):
    entry = fleet.entries[0]
    fleet.partition([entry], Partition.REFUSE_NEW)
    fleet.run(1.0)
    fleet.finish()
    make_slow(fleet, 6.0)
    caller = Caller(entry.server.port)
    caller.send(method="POST", path="/a/x", id="gone", timeout="8")
    sleep(0.5)
    others = [other.entry.loads for other in fleet.entries[1:]]
    assert sum(loads.count_requests() for loads in others) == 1
    caller.close()
    sleep(0.5)
    assert sum(loads.count_requests() for loads in others) == 0


def test_a_relayed_request_is_counted_once_by_all_entries(fleet):
    entry = fleet.entries[0]
    fleet.partition([entry], Partition.REFUSE_NEW)
    fleet.run(1.0)
    fleet.finish()
    count = sum(
        usage.requests
        for other in fleet.entries
        for usage in other.entry.budget.list_usage(read_clock()).values()
    )
    assert count == len(fleet.tries)


def test_requests_are_served_while_entries_that_take_them_stop(fleet):
    partitioned, stopping, rest = fleet.entries[0], fleet.entries[1:3], fleet.entries[3]
    fleet.partition([partitioned], Partition.HANG)
    fleet.run(CONTACT_SECONDS)
    for entry in stopping:
        # Stops at once, and declines until the others have heard of it.
        entry.entry.is_draining = entry.entry.rejects_requests = True
    since = read_clock()
    fleet.run(3.0, entries=[partitioned, rest])
    fleet.finish()
    assert fleet.measure_served([partitioned], since) > 1.0 - TOLERANCE


def test_an_entry_does_not_serve_a_relayed_request_by_an_older_configuration(fleet):
    entry = fleet.entries[0]
    fleet.partition([entry], Partition.REFUSE_NEW)
    fleet.run(1.0)
    fleet.finish()
    routing = entry.entry.control_state.routing
    routing.configuration = replace(routing.configuration, number=8)
    relayed = fleet.count_relayed()
    assert entry.call(method="POST", path="/c/x", id="newer").status == 503
    assert fleet.count_relayed() == relayed


def test_an_entry_without_a_slot_of_its_own_relays_while_endpoints_are_idle(fleet):
    for server in fleet.servers:
        server.refusals = 8
    fleet.run(1.0)
    entry = fleet.entries[0]
    entry.entry.admission.has_room = lambda heartbeat: False
    since = read_clock()
    fleet.run(1.5, interval=0.05)
    fleet.finish()
    assert fleet.measure_served([entry], since, least=4) > 1.0 - TOLERANCE
    assert fleet.count_relayed() > 0
