from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.limits import (
    LIMIT_RETENTION_SECONDS,
    PERMIT_SECONDS,
    LimitReport,
    LimitTable,
    PermitIssuer,
    RequestCount,
    is_valid_limit,
)
from bergamotwood_core.ids import EndpointId, Incarnation

E1 = (EndpointId("e-1"), Incarnation(1))
E2 = (EndpointId("e-1"), Incarnation(2))


@pytest.mark.parametrize("value", [0.0, 0.5, 1.0, 1e4])
def test_whole_and_decimal_limits_are_valid(value):
    assert is_valid_limit(value)


@pytest.mark.parametrize("value", [-1.0, 1e9, float("inf"), float("nan")])
def test_other_numbers_are_no_limits(value):
    assert not is_valid_limit(value)


def test_a_limit_ends_only_with_an_answer_to_a_later_request():
    table = LimitTable()
    assert not table.record_answer(E1, None, Seconds(0.0), Seconds(1.0))
    assert table.record_answer(E1, 2.0, Seconds(1.0), Seconds(2.0))
    assert not table.record_answer(E1, 2.0, Seconds(2.0), Seconds(3.0))
    assert not table.record_answer(E1, None, Seconds(2.5), Seconds(3.5))
    assert table.record_answer(E1, None, Seconds(3.1), Seconds(3.6))
    assert not table.record_answer(E1, None, Seconds(4.0), Seconds(4.5))


def limit_table(limit=2.0, now=0.0):
    table = LimitTable()
    table.record_answer(E1, limit, Seconds(now), Seconds(now))
    return table


def test_a_limited_endpoint_gets_requests_only_with_permits():
    table = limit_table()
    now = Seconds(1.0)
    assert not table.may_send(E1, now)
    assert table.take_permit(E1, now) is None
    # A new incarnation at the same address has no limit.
    assert table.take_permit(E2, now) == float("inf")
    table.apply_permits([RequestCount(*E1, 2)], now)
    for _ in range(2):
        assert table.take_permit(E1, now) == now + PERMIT_SECONDS
    assert table.take_permit(E1, now) is None


def test_a_permit_that_was_taken_before_a_pause_has_expired_after_it():
    table = limit_table()
    table.apply_permits([RequestCount(*E1, 1)], Seconds(1.0))
    allowed_until = table.take_permit(E1, Seconds(1.1))
    assert table.may_still_send(E1, allowed_until, Seconds(1.2))
    assert not table.may_still_send(E1, allowed_until, Seconds(5.0))
    table.apply_permits([RequestCount(*E1, 1)], Seconds(1.0))
    assert not table.may_send(E1, Seconds(5.0))


def test_a_request_that_waited_while_the_limit_was_named_needs_a_permit():
    table = LimitTable()
    allowed_until = table.take_permit(E1, Seconds(0.0))
    table.record_answer(E1, 1.0, Seconds(0.1), Seconds(0.2))
    assert not table.may_still_send(E1, allowed_until, Seconds(0.3))


def test_the_newest_statement_of_any_entry_holds():
    table = limit_table(2.0, now=10.0)
    older = LimitReport(*E1, None, age_seconds=5.0)
    table.apply_reports([older], Seconds(11.0))
    assert table.is_limited(E1, Seconds(11.0))
    table.apply_reports([LimitReport(*E1, None, 0.5)], Seconds(12.0))
    assert not table.is_limited(E1, Seconds(12.0))
    # What other entries have stated is not reported again as an own statement.
    (own,) = table.list_own(Seconds(12.0))
    assert own.requests_per_second == 2.0


def test_a_limit_that_nobody_names_again_is_forgotten():
    table = limit_table()
    assert table.is_limited(E1, Seconds(LIMIT_RETENTION_SECONDS))
    assert not table.is_limited(E1, Seconds(LIMIT_RETENTION_SECONDS + 0.1))


def test_refused_callers_are_told_when_there_is_room():
    assert limit_table(0.5).estimate_wait(E1, Seconds(1.0)) == 2.0
    assert limit_table(50.0).estimate_wait(E1, Seconds(1.0)) == 0.5
    assert limit_table(0.0).estimate_wait(E1, Seconds(1.0)) == 10.0
    assert LimitTable().estimate_wait(E1, Seconds(1.0)) == 0.0


def issue_for(issuer, seconds, share=1.0, start=0.0, demand=100):
    """Return the permits issued to an entry that polls five times a second."""
    return sum(
        permit.requests
        for step in range(int(5 * seconds))
        for permit in issuer.issue(
            [RequestCount(*E1, demand)], share, Seconds(start + step / 5)
        )
    )


@pytest.mark.parametrize("limit", [0.5, 1.0, 3.0, 40.0])
def test_permits_add_up_to_the_limit_over_all_replicas(limit):
    issuers = [PermitIssuer() for _ in range(5)]
    total = 0
    for issuer in issuers:
        issuer.apply_own([LimitReport(*E1, limit, 0.0)], Seconds(0.0))
        total += issue_for(issuer, 25.0, share=0.2)
    assert 0.7 * 25.0 * limit <= total <= 25.0 * limit + 5


def test_permits_are_not_saved_for_later():
    issuer = PermitIssuer()
    issuer.apply_own([LimitReport(*E1, 4.0, 0.0)], Seconds(0.0))
    issue_for(issuer, 1.0)
    (permit,) = issuer.issue([RequestCount(*E1, 100)], 1.0, Seconds(20.0))
    assert permit.requests == 2


def test_an_endpoint_that_takes_nothing_is_probed_now_and_then():
    issuer = PermitIssuer()
    issuer.apply_own([LimitReport(*E1, 0.0, 0.0)], Seconds(0.0))
    assert 1 <= issue_for(issuer, 25.0) <= 3
    issuer.apply_own([LimitReport(*E1, None, 0.0)], Seconds(26.0))
    assert issue_for(issuer, 5.0, start=26.0) == 0


class LimitedFleet:
    """Entries and replicas that step through a random schedule."""

    STEP_SECONDS = 0.1
    POLL_STEPS = 4

    def __init__(self, entries, replicas, limit, rng):
        self.now = 0.0
        self.limit = limit
        self.arrived = []
        self.rng = rng
        self.replicas = [PermitIssuer() for _ in range(replicas)]
        self.tables = {}
        self.homes = {}
        self.frozen_until = {}
        self.cut_until = {}
        self.pending = {}
        self.last_poll = {}
        for number in range(entries):
            self.join(number)

    def join(self, number):
        self.tables[number] = LimitTable()
        self.homes[number] = self.rng.randrange(len(self.replicas))
        self.pending.pop(number, None)
        self.last_poll[number] = self.rng.randrange(self.POLL_STEPS)

    def step(self, demand):
        self.now = round(self.now + self.STEP_SECONDS, 3)
        # Statements reach the other replicas by relays.
        for sender in self.replicas:
            for receiver in self.replicas:
                if receiver is not sender:
                    receiver.apply_relay(sender.list_own(self.now), self.now)
        for number in sorted(self.tables):
            if self.frozen_until.get(number, 0.0) > self.now:
                continue
            if self.cut_until.get(number, 0.0) <= self.now:
                self.poll(number)
            for _ in range(demand if self.rng.random() < 0.5 else 0):
                self.send(number)

    def poll(self, number):
        table = self.tables[number]
        reply = self.pending.pop(number, None)
        if reply is not None and reply[0] <= self.now:
            _, requested_at, permits, reports = reply
            table.apply_reports(reports, self.now)
            table.apply_permits(permits, Seconds(requested_at))
        elif reply is not None:
            self.pending[number] = reply
            return
        home = self.homes[number]
        issuer = self.replicas[home]
        issuer.apply_own(table.list_own(self.now), self.now)
        members = sum(other == home for other in self.homes.values())
        permits = issuer.issue(
            table.list_demands(self.now), members / len(self.homes), Seconds(self.now)
        )
        # An entry reads the answer once its poll has been held.
        ready_at = self.now + self.POLL_STEPS * self.STEP_SECONDS
        reports = issuer.list_all(self.now)
        self.pending[number] = (ready_at, self.now, permits, reports)

    def send(self, number):
        table = self.tables[number]
        if table.is_limited(E1, self.now):
            table.record_demand(E1, self.now)
        if table.take_permit(E1, self.now) is None:
            return
        self.arrived.append(self.now)
        table.record_answer(E1, self.limit, self.now, self.now)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["restart", "join", "freeze", "cut", "replica", "move"]),
        st.integers(0, 250),
        st.floats(0.2, 4.0),
    ),
    max_size=25,
)


@settings(max_examples=60, deadline=None)
@given(
    st.sampled_from([(9, 3), (30, 5), (195, 5)]),
    st.sampled_from([0.0, 0.5, 1.0, 2.5, 8.0]),
    st.integers(1, 3),
    EVENTS,
    st.integers(0, 1_000),
)
def test_a_fleet_keeps_the_limit_on_any_schedule(size, limit, demand, events, seed):
    """Entries restart, join, freeze, move and are cut off; replicas restart."""
    fleet = LimitedFleet(*size, limit, Random(seed))
    steps = 160
    due = {
        40 + at * (steps - 60) // max(len(events), 1): event
        for at, event in enumerate(events)
    }
    # The fleet knows the limit when the events begin.
    for number in range(size[0]):
        fleet.tables[number].record_answer(E1, limit, Seconds(0.0), Seconds(0.0))
    for step in range(steps):
        if step in due:
            name, target, seconds = due[step]
            number = target % len(fleet.tables)
            match name:
                case "restart":
                    fleet.join(number)
                    fleet.tables[number].apply_reports(
                        fleet.replicas[fleet.homes[number]].list_all(fleet.now),
                        fleet.now,
                    )
                case "join":
                    joined = len(fleet.tables)
                    fleet.join(joined)
                    fleet.tables[joined].apply_reports(
                        fleet.replicas[fleet.homes[joined]].list_all(fleet.now),
                        fleet.now,
                    )
                case "freeze":
                    fleet.frozen_until[number] = fleet.now + seconds
                case "cut":
                    fleet.cut_until[number] = fleet.now + seconds
                case "replica":
                    fleet.replicas[target % len(fleet.replicas)] = PermitIssuer()
                case "move":
                    fleet.homes[number] = target % len(fleet.replicas)
        fleet.step(demand)
    times = [at for at in fleet.arrived if at >= 4.0]
    most = max(
        (sum(start <= at < start + 4.0 for at in times) for start in times), default=0
    )
    assert most <= 1.5 * 4.0 * limit + 5
    if limit >= 1.0 and not events:
        assert len(times) >= 0.5 * limit * 12.0


def test_a_limit_on_refusals_is_kept_reported_and_ended_like_one_on_requests():
    table, other = LimitTable(), LimitTable()
    assert table.record_answer(E1, None, Seconds(0.0), Seconds(1.0), 8.0)
    assert not table.is_limited(E1, Seconds(1.0))
    other.apply_reports(table.list_own(Seconds(2.0)), Seconds(2.0))
    assert other.find_refusal_limit(E1, Seconds(2.0)) == 8.0
    # A new incarnation has stated nothing, and a later answer ends the statement.
    assert other.find_refusal_limit(E2, Seconds(2.0)) is None
    assert table.record_answer(E1, None, Seconds(1.5), Seconds(2.0))
    assert table.find_refusal_limit(E1, Seconds(2.0)) is None
    late = Seconds(3.0 + LIMIT_RETENTION_SECONDS)
    assert other.find_refusal_limit(E1, late) is None
