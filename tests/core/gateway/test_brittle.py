"""Load model of entries, with views that lag, and endpoints that bear few refusals."""

from heapq import heappop, heappush
from random import Random

import pytest
from core.gateway.samples import make_call, make_heartbeat
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.brittle import BrittleAdmission, compute_slot_share
from bergamotwood_core.gateway.call import RequestMetadata
from bergamotwood_core.gateway.health import AttemptResult, HealthTable
from bergamotwood_core.gateway.limits import LimitTable
from bergamotwood_core.gateway.load import EndpointLoad, LoadTable, add_loads
from bergamotwood_core.gateway.notices import NoticeTable
from bergamotwood_core.gateway.placement import Placement
from bergamotwood_core.gateway.relays import MAX_OFFERS
from bergamotwood_core.ids import EndpointId, InstanceId, RequestId

# Age of what entries know of each other's load.
VIEW_SECONDS = 0.5
WORK_SECONDS = 0.08
SENDS = 4
# Refusals a second that an endpoint bears.
REFUSALS = 10.0


class ModelEntry:
    """The part of an entry that chooses endpoints."""

    def __init__(self, name, heartbeats, is_careful):
        rng = Random(name)
        self.name = InstanceId(name)
        self.health = HealthTable()
        self.loads = LoadTable()
        self.limits = LimitTable()
        self.admission = BrittleAdmission(self.name, self.limits, self.loads)
        self.placement = Placement(
            "karen",
            self.health,
            NoticeTable(rng),
            self.loads.find,
            rng,
            self.limits,
            self.admission if is_careful else None,
        )
        for heartbeat in heartbeats:
            key = (heartbeat.endpoint, heartbeat.incarnation)
            now = Seconds(0.0)
            self.limits.record_answer(key, None, now, now, REFUSALS)


class BrittleFleet:
    """Entries, and endpoints that let nothing wait."""

    def __init__(self, entries, endpoints, slots, seed, is_careful=True):
        self.heartbeats = [
            make_heartbeat(f"e-{at}", slots=slots) for at in range(endpoints)
        ]
        names = tuple(InstanceId(f"entry-{at}") for at in range(entries))
        self.entries = [ModelEntry(name, self.heartbeats, is_careful) for name in names]
        for entry in self.entries:
            entry.admission.entries = frozenset(names)
        self.is_careful = is_careful
        self.rng = Random(seed)
        self.slots = slots
        self.running = dict.fromkeys((item.endpoint for item in self.heartbeats), 0)
        self.refused = {endpoint: [] for endpoint in self.running}
        self.served = self.sent = 0
        self._ends = []

    @property
    def capacity(self):
        """Requests a second that all endpoints serve."""
        return len(self.heartbeats) * self.slots / WORK_SECONDS

    def run(self, rate, seconds):
        now, viewed_at = 0.0, 0.0
        while now < seconds:
            now += self.rng.expovariate(rate)
            self._end_until(now)
            if now - viewed_at > VIEW_SECONDS:
                viewed_at = now
                self._exchange_views()
            self._send(Seconds(now))

    def count_most_refused(self):
        """Return the most refusals of one endpoint in any second."""
        return max(
            sum(start <= at < start + 1.0 for at in times[index:])
            for times in self.refused.values()
            for index, start in enumerate(times or [0.0])
        )

    def _send(self, now):
        """Send a request to one entry, which relays it if only its share is used up."""
        self.sent += 1
        request = RequestId(f"q-{self.sent}")
        call = make_call(metadata=RequestMetadata(request))
        entry, *others = self.rng.sample(
            self.entries, min(1 + MAX_OFFERS, len(self.entries))
        )
        if not entry.placement.lacks_share(self.heartbeats, call, now):
            others.clear()
        for handler in (entry, *others):
            self._handle(handler, call, request, now)
            if call.tried_endpoints:
                return

    def _handle(self, entry, call, request, now):
        for _ in range(SENDS):
            chosen = entry.placement.choose(self.heartbeats, call, now)
            if chosen is None:
                return
            endpoint = chosen.heartbeat.endpoint
            call.tried_endpoints.append(endpoint)
            if self.running[endpoint] < self.slots:
                self.running[endpoint] += 1
                self.served += 1
                entry.loads.add_request(endpoint, request, 0.0)
                work = WORK_SECONDS * self.rng.uniform(0.5, 1.5)
                heappush(self._ends, (now + work, self.sent, entry, endpoint, request))
                return
            self.refused[endpoint].append(now)
            result = AttemptResult.FULL
            entry.health.record_result(endpoint, 1, result, 0.0, now)
            if not self.is_careful:
                continue
            limit = entry.admission.find_limit(self.heartbeats, now)
            pause = entry.admission.measure_pause(limit)
            entry.health.pause(endpoint, 1, now, pause)

    def _end_until(self, now):
        while self._ends and self._ends[0][0] <= now:
            _, _, entry, endpoint, request = heappop(self._ends)
            self.running[endpoint] -= 1
            entry.loads.remove_request(endpoint, request)

    def _exchange_views(self):
        total = {}
        for entry in self.entries:
            for endpoint, load in entry.loads.list_own().items():
                total[endpoint] = add_loads(total.get(endpoint, EndpointLoad()), load)
        for entry in self.entries:
            own = entry.loads.list_own()
            entry.loads.set_others(
                {
                    endpoint: EndpointLoad(
                        load.requests - own.get(endpoint, EndpointLoad()).requests
                    )
                    for endpoint, load in total.items()
                }
            )


SIZES = [(9, 3, 6), (9, 9, 64), (195, 30, 6)]


@pytest.mark.parametrize(("entries", "endpoints", "slots"), SIZES)
@pytest.mark.parametrize("load", [0.9, 3.0])
def test_refusals_of_all_entries_stay_within_what_an_endpoint_bears(
    entries, endpoints, slots, load
):
    fleet = BrittleFleet(entries, endpoints, slots, seed=1)
    fleet.run(load * fleet.capacity, 1.5)
    assert fleet.count_most_refused() <= REFUSALS


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("entries", "endpoints", "slots"), SIZES)
def test_few_requests_are_turned_away_while_most_slots_are_idle(
    entries, endpoints, slots, seed
):
    fleet = BrittleFleet(entries, endpoints, slots, seed)
    fleet.run(0.1 * fleet.capacity, 2.0)
    assert fleet.served >= 0.95 * fleet.sent


def test_without_shares_the_refusals_are_far_more_than_an_endpoint_bears():
    fleet = BrittleFleet(9, 3, 6, seed=1, is_careful=False)
    fleet.run(3.0 * fleet.capacity, 4.0)
    assert fleet.count_most_refused() > 2.0 * REFUSALS


@given(st.integers(0, 300), st.integers(1, 200), st.integers(0, 99))
@settings(max_examples=60)
def test_the_shares_of_all_entries_add_up_to_the_slots(slots, entries, endpoint):
    names = tuple(InstanceId(f"n{at}") for at in range(entries))
    shares = [
        compute_slot_share(EndpointId(f"e{endpoint}"), slots, names, name)
        for name in names
    ]
    assert sum(shares) == slots
    assert max(shares) - min(shares) <= 1


@given(st.integers(1, 40), st.integers(1, 6), st.integers(1, 20), st.floats(0.2, 4.0))
@settings(max_examples=8, deadline=None)
def test_any_fleet_keeps_within_what_its_endpoints_bear(
    entries, endpoints, slots, load
):
    fleet = BrittleFleet(entries, endpoints, slots, seed=3)
    fleet.run(load * fleet.capacity, 1.5)
    assert fleet.count_most_refused() <= REFUSALS
