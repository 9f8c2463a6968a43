"""Endpoints in need that name a limit on the requests of all entries together."""

from random import Random

import pytest
from core.gateway.samples import make_configuration, make_route
from daemon.gateway.fleet import DirectChannel, Fleet, FleetEntry, ModelServer
from gevent import sleep, spawn

from bergamotwood_core.gateway.configuration import RouteKind
from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.gateway import channels

ENTRIES = 4
SERVERS = 3
# Bounds of the platform.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5

STREAM = make_route(
    kind=RouteKind.STREAMING,
    max_attempts=2,
    event_gap_seconds=0.5,
    timeout_seconds=20.0,
    latency_objective_seconds=2.0,
)


class LimitedFleet(Fleet):
    """Entries and model servers, some of which name a limit."""

    def __init__(self, folder):
        super().__init__(folder, ("karen", "karen", "karen"))
        self.dialect.configuration = make_configuration(routes=(STREAM,))
        self.retry(lambda: self.find(leads=True)[1].replace_configuration(b"7"))
        self.entries = [FleetEntry(self, number) for number in range(1, ENTRIES + 1)]
        self.servers = [
            ModelServer(self, f"m{at}", answer_seconds=0.1) for at in range(SERVERS)
        ]
        self.rng = Random(1)
        self.replies = []
        self._sent = 0
        self._callers = []
        for entry in self.entries:
            state = entry.entry.control_state
            self.wait_for(
                lambda state=state: state.routing and len(state.heartbeats) == SERVERS
            )

    def run(self, seconds, interval=0.02):
        """Send requests to random entries for some seconds."""
        until = read_clock() + seconds
        while read_clock() < until:
            self._sent += 1
            entry = self.rng.choice(self.entries)
            self._callers.append(spawn(self._call, entry, f"q-{self._sent}"))
            sleep(interval)

    def _call(self, entry, name):
        self.replies.append(entry.call(id=name, body=name.encode(), timeout="5"))

    def stop(self):
        for caller in self._callers:
            caller.kill(block=False)
        for part in (*self.entries, *self.servers):
            part.stop()
        super().stop()


def count_most(server, since):
    """Return the most arrivals in any window of the platform's length."""
    times = [at for at, _ in server.arrived if at >= since]
    return max(
        (
            sum(start <= at < start + WINDOW_SECONDS for at in times[index:])
            for index, start in enumerate(times)
        ),
        default=0,
    )


def allow(limit):
    return TOLERANCE_FACTOR * WINDOW_SECONDS * limit + TOLERANCE_REQUESTS


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    monkeypatch.setattr(channels, "PeerChannel", DirectChannel)
    fleet = LimitedFleet(tmp_path)
    yield fleet
    fleet.stop()


@pytest.mark.parametrize("limit", [0, 0.5, 2])
def test_all_entries_together_keep_the_limit_that_an_endpoint_names(fleet, limit):
    fleet.run(0.5)
    limited, *others = fleet.servers
    limited.limit = limit
    named_at = read_clock()
    fleet.run(CONTACT_SECONDS + 6.0)
    since = named_at + CONTACT_SECONDS
    assert count_most(limited, since) <= allow(limit)
    # The endpoint is used up to its limit, and the others take the rest.
    used = sum(at >= since for at, _ in limited.arrived)
    assert used >= 0.5 * limit * 6.0
    assert {reply.status for reply in fleet.replies} == {200}
    limited.limit = None
    fleet.run(12.0 if not limit else 5.0)
    recent = read_clock() - 1.0
    assert sum(at >= recent for at, _ in limited.arrived) > 3


def test_callers_are_refused_at_once_when_every_endpoint_is_at_its_limit(fleet):
    fleet.run(0.5)
    for server in fleet.servers:
        server.limit = 1
    fleet.run(CONTACT_SECONDS)
    fleet.replies.clear()
    since = read_clock()
    fleet.run(5.0, interval=0.05)
    served = [reply for reply in fleet.replies if reply.status == 200]
    refused = [reply for reply in fleet.replies if reply.status == 503]
    assert len(served) + len(refused) == len(fleet.replies)
    assert len(served) >= 0.5 * SERVERS * 5.0
    assert all(0.5 <= float(reply.headers["retry-after"]) <= 2.0 for reply in refused)
    for server in fleet.servers:
        assert count_most(server, since) <= allow(1)


def test_a_limit_holds_while_entries_restart_and_a_replica_is_lost(fleet):
    fleet.run(0.5)
    limited = fleet.servers[0]
    limited.limit = 1
    named_at = read_clock()
    fleet.run(CONTACT_SECONDS)
    seed, _ = fleet.find(leads=True)
    fleet.kill(seed)
    for at, entry in enumerate(fleet.entries):
        entry.stop()
        fleet.entries[at] = FleetEntry(fleet, at + 1, incarnation=2)
        state = fleet.entries[at].entry.control_state
        fleet.wait_for(lambda state=state: state.routing)
        fleet.run(0.5)
    fleet.run(3.0)
    assert count_most(limited, named_at + CONTACT_SECONDS) <= allow(1)
