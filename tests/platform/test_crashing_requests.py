"""Requests that crash endpoints, at real programs beside sound streams."""

from itertools import cycle
from random import Random

import pytest
from gevent import sleep, spawn
from platformprograms import (
    RawEndpoint,
    call,
    make_route,
    replace_configuration,
    run_system,
)

from bergamotwood_daemon.clock import read_clock

CONTROLS = 3
ENTRIES = 5
ENDPOINTS = 8
CALLERS = 16
SERVICE = "models"
# Bound of the platform: time until every entry acts on what any of them has seen.
CONTACT_SECONDS = 3.0
# Later sends that the platform allows.
ALLOWED_SENDS = 3
REQUEST_CRASHES = 3
PART_CRASHES = 5
RETURN_SECONDS = 3.0
RUN_SECONDS = 14.0
CALM_SECONDS = 2.0


class CrashingFleet:
    """Programs, endpoints that one prompt crashes, and callers of sound streams.

    Parameters
    ----------
    system : System
        The programs.
    crash : callable
        Takes an endpoint and an exchange, and crashes the endpoint.
    is_part : bool
        Whether any request with a part of the prompt crashes endpoints, or one request.
    """

    def __init__(self, system, crash, is_part):
        self.system = system
        self.crashed_at = []
        self.arrived_at = []
        self.statuses = []
        self._crash = crash
        self._is_part = is_part
        self._rng = Random(1)
        self._sent = 0
        self._greenlets = []
        self._endpoints = [self._start(at, 0) for at in range(ENDPOINTS)]
        self._turns = cycle(system.entries)

    def start_callers(self):
        for _ in range(CALLERS):
            self._greenlets.append(spawn(self._call_repeatedly))

    def send_crashing(self):
        """Send the crashing request to the next entry, without waiting for it."""
        self._sent += 1
        entry = next(self._turns)
        body, last = b"crash", "own"
        if self._is_part:
            body, last = b"crash %d" % self._sent, f"own-{self._sent}"
        address = entry.process.address
        parts = ("first", "bad", last)
        self._greenlets.append(
            spawn(call, address, f"bad-{self._sent}", body=body, parts=parts)
        )

    def run(self, seconds, interval=0.7):
        until = read_clock() + seconds
        while read_clock() < until:
            if interval:
                self.send_crashing()
            sleep(interval or seconds)

    def count_late(self):
        crashes = PART_CRASHES if self._is_part else REQUEST_CRASHES
        assert len(self.crashed_at) >= crashes
        limit = self.crashed_at[crashes - 1] + CONTACT_SECONDS
        return sum(at > limit for at in self.arrived_at)

    def stop(self):
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        for endpoint in self._endpoints:
            endpoint.crash()

    def _call_repeatedly(self):
        while True:
            self._sent += 1
            number = self._sent
            topic = f"topic-{self._rng.randrange(8)}"
            entry = self._rng.choice(self.system.entries)
            self.statuses.append(
                call(
                    entry.process.address,
                    f"sound-{number}",
                    body=b"sound %d" % number,
                    parts=("first", topic, f"own-{number}"),
                )
            )
            sleep(self._rng.uniform(0.0, 0.1))

    def _start(self, number, generation):
        name = f"i-{number}-{generation}"
        return RawEndpoint(
            self.system,
            name,
            SERVICE,
            lambda endpoint, exchange: self._serve(
                endpoint, exchange, number, generation
            ),
        )

    def _serve(self, endpoint, exchange, number, generation):
        if exchange.body.startswith(b"crash"):
            self.arrived_at.append(read_clock())
            self._crash(endpoint, exchange)
            if endpoint.is_stopped:
                return
            endpoint.crash()
            self.crashed_at.append(read_clock())
            self._greenlets.append(spawn(self._return, number, generation + 1))
            return
        sleep(self._rng.uniform(0.02, 0.3))
        exchange.begin_stream()
        for event in range(1, 30):
            exchange.send_event(event)
            sleep(0.04)
        exchange.end_stream()

    def _return(self, number, generation):
        sleep(RETURN_SECONDS)
        self._endpoints[number] = self._start(number, generation)


def crash_at_once(endpoint, exchange):
    """Crash the endpoint before it does anything."""


def crash_before_answer(endpoint, exchange):
    """Crash the endpoint a moment after it got the request."""
    sleep(0.03)


def crash_after_event(endpoint, exchange):
    """Crash the endpoint after the first event of the answer."""
    exchange.begin_stream()
    exchange.send_event(1)
    sleep(0.03)


@pytest.fixture
def make_fleet(tmp_path):
    fleets = []
    with run_system(tmp_path, CONTROLS, ENTRIES) as system:

        def make(crash, is_part):
            route = make_route(
                "/models/",
                "streaming",
                SERVICE,
                resumable=True,
                session_affinity=True,
                itl_target_ms=800,
            )
            document = {
                "version": 1,
                "routes": [route],
                "services": [{"name": SERVICE, "health_path": "/h"}],
                "tenants": [],
            }
            replace_configuration(system, document)
            fleet = CrashingFleet(system, crash, is_part)
            fleets.append(fleet)
            system.wait_until_ready()
            sleep(CALM_SECONDS)
            fleet.start_callers()
            fleet.run(CALM_SECONDS, interval=None)
            return fleet

        yield make
        for fleet in fleets:
            fleet.stop()


@pytest.mark.parametrize("is_part", [False, True])
@pytest.mark.parametrize(
    "crash", [crash_at_once, crash_before_answer, crash_after_event]
)
def test_what_crashes_endpoints_is_stopped_beside_streams_that_have_begun(
    make_fleet, crash, is_part
):
    fleet = make_fleet(crash, is_part)
    fleet.run(RUN_SECONDS)
    late = fleet.count_late()
    fleet.statuses.clear()
    fleet.run(CALM_SECONDS)
    assert late <= ALLOWED_SENDS
    # Sound requests are served as before.
    assert len(fleet.statuses) > CALLERS
    assert fleet.statuses.count(200) > 0.9 * len(fleet.statuses)


@pytest.mark.parametrize("is_part", [False, True])
def test_what_crashes_endpoints_is_stopped_while_a_replica_is_down(make_fleet, is_part):
    fleet = make_fleet(crash_before_answer, is_part)
    fleet.system.controls[0].process.kill()
    sleep(CONTACT_SECONDS)
    fleet.run(RUN_SECONDS)
    assert fleet.count_late() <= ALLOWED_SENDS
