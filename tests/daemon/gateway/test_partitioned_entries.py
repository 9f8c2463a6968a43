"""Entries that are partitioned from all endpoints, while everything else works."""

from itertools import cycle

import pytest
from core.gateway.samples import make_configuration, make_route
from daemon.gateway.fleet import DirectChannel, Fleet, FleetEntry, ModelServer
from daemon.gateway.partitions import Partition, PartitionedEntry
from gevent import sleep, spawn

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
        # Time, entry and reply of each request.
        self.replies = []
        self._callers = []
        self._sent = 0
        for entry in self.entries:
            self._wait_for_endpoints(entry.entry.control_state)

    def partition(self, entries, partition):
        for entry in entries:
            entry.entry.pool.cut(partition)

    def run(self, seconds, interval=0.02):
        """Send requests of all kinds to all entries in turn."""
        until = read_clock() + seconds
        kinds = cycle(PATHS)
        while read_clock() < until:
            for entry in self.entries:
                self._callers.append(spawn(self._call, entry, next(kinds)))
                sleep(interval)

    def finish(self):
        for caller in self._callers:
            caller.join(10.0)

    def measure_served(self, entries, since):
        """Return the share of the requests since then that entries served."""
        replies = [
            reply
            for at, entry, reply in self.replies
            if entry in entries and at > since
        ]
        assert len(replies) > 20
        served = [
            reply
            for reply in replies
            if reply is not None and reply.status == 200 and reply.is_whole
        ]
        return len(served) / len(replies)

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
        self.replies.append((at, entry, reply))


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
