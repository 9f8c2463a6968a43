from random import Random

from core.gateway.samples import MODELS, PLAIN, make_heartbeat

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.reachability import (
    FAILURE_SECONDS,
    ReachTable,
    choose_probe,
)
from bergamotwood_core.ids import EndpointId, Incarnation


def make_key(name):
    return EndpointId(name), Incarnation(1)


def record_failures(table, *names, service=PLAIN, endpoints=9, now=1.0):
    return [
        table.record_failure(service, make_key(name), endpoints, Seconds(now))
        for name in names
    ]


def test_one_endpoint_that_fails_again_and_again_loses_no_service():
    table = ReachTable()
    assert record_failures(table, "a", "a", "a") == [False] * 3
    assert not table.is_lost(PLAIN)


def test_a_service_is_lost_once_two_endpoints_have_failed():
    table = ReachTable()
    assert record_failures(table, "a", "b", "c") == [False, True, False]
    assert table.list_lost() == (PLAIN,)


def test_a_service_with_one_endpoint_is_lost_with_it():
    assert record_failures(ReachTable(), "a", endpoints=1) == [True]


def test_a_connection_in_between_keeps_a_service():
    table = ReachTable()
    record_failures(table, "a")
    assert not table.record_connection(PLAIN, Seconds(1.5))
    assert record_failures(table, "b", now=2.0) == [False]


def test_a_failure_is_uncertain_until_another_connection_succeeds_or_fails():
    """Guards against a lost way that is reported as the end of an endpoint."""
    table = ReachTable()
    now = Seconds(2.0)
    assert not table.is_uncertain(PLAIN, now)
    record_failures(table, "a", "a")
    assert table.is_uncertain(PLAIN, now)
    assert not table.is_uncertain(PLAIN, Seconds(1.1 + FAILURE_SECONDS))
    table.record_connection(PLAIN, now)
    assert not table.is_uncertain(PLAIN, now)
    record_failures(table, "a", "b", now=now)
    assert not table.is_uncertain(PLAIN, now)
    assert table.is_lost(PLAIN)


def test_an_endpoint_that_has_not_failed_is_probed_first():
    table = ReachTable()
    record_failures(table, "a")
    heartbeats = [make_heartbeat("a"), make_heartbeat("b")]
    probed = {choose_probe(heartbeats, table, Random(at)).endpoint for at in range(20)}
    assert probed == {"b"}


def test_an_old_failure_does_not_count():
    table = ReachTable()
    record_failures(table, "a")
    assert record_failures(table, "b", now=1.1 + FAILURE_SECONDS) == [False]


def test_a_lost_service_returns_with_its_first_connection():
    table = ReachTable()
    record_failures(table, "a", "b")
    assert table.record_connection(PLAIN, Seconds(9.0))
    assert table.list_lost() == ()


def test_a_service_is_doubtful_while_another_one_was_lost_since_it_was_reached():
    table = ReachTable()
    table.record_connection(MODELS, Seconds(0.5))
    record_failures(table, "a", "b")
    assert table.is_doubtful(MODELS)
    assert not table.is_lost(MODELS)
    table.record_connection(MODELS, Seconds(1.5))
    assert not table.is_doubtful(MODELS)


def test_a_service_without_endpoints_is_forgotten():
    table = ReachTable()
    record_failures(table, "a", "b")
    table.retain([MODELS])
    assert not table.is_lost(PLAIN)


def test_endpoints_without_a_failed_connection_are_probed_first():
    table = ReachTable()
    record_failures(table, "e-1", "e-2")
    heartbeats = [make_heartbeat(f"e-{at}") for at in range(1, 5)]
    rng = Random(1)
    chosen = {choose_probe(heartbeats, table, rng).endpoint for _ in range(50)}
    assert chosen == {"e-3", "e-4"}
    record_failures(table, "e-3", "e-4")
    chosen = {choose_probe(heartbeats, table, rng).endpoint for _ in range(50)}
    assert chosen == {"e-1", "e-2", "e-3", "e-4"}
    assert choose_probe([], table, rng) is None


def test_an_endpoint_with_a_failed_connection_gets_none_until_one_succeeds():
    table = ReachTable()
    record_failures(table, "a")
    assert not table.has_failed(PLAIN, make_key("a"))
    record_failures(table, "b", now=1.0 + FAILURE_SECONDS)
    record_failures(table, "c", now=9.0 + FAILURE_SECONDS)
    assert table.has_failed(PLAIN, make_key("a"))
    assert not table.has_failed(PLAIN, make_key("d"))
    table.record_connection(PLAIN, Seconds(30.0))
    assert not table.has_failed(PLAIN, make_key("a"))
