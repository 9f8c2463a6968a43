from random import Random

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.members import EntryAddress
from bergamotwood_core.gateway.relays import AVOID_SECONDS, MAX_OFFERS, RelayTable
from bergamotwood_core.ids import DataCentre, InstanceId, ServiceName

MODELS = ServiceName("models")
PAYMENTS = ServiceName("payments")
NOW = Seconds(5.0)


def make_entry(name, data_centre="karen", lost=(), **changes):
    values = {
        "instance": InstanceId(name),
        "address": f"{name}:80",
        "data_centre": DataCentre(data_centre),
        "is_ready": True,
        "relay_address": f"{name}:81",
        "lost_services": tuple(lost),
    }
    return EntryAddress(**{**values, **changes})


def choose(entries, table=None, now=NOW):
    table = table or RelayTable(InstanceId("a"), DataCentre("karen"), Random(1))
    return {entry.instance for entry in table.choose(entries, MODELS, now)}


def test_the_entry_itself_is_not_chosen():
    assert choose([make_entry("a"), make_entry("b")]) == {"b"}


def test_entries_that_have_lost_the_service_are_not_chosen():
    entries = [
        make_entry("b", lost=[MODELS]),
        make_entry("c", lost=[PAYMENTS]),
    ]
    assert choose(entries) == {"c"}


def test_entries_that_stop_or_take_no_relays_are_not_chosen():
    entries = [make_entry("b", is_ready=False), make_entry("c", relay_address="")]
    assert choose(entries) == set()


def test_an_entry_that_could_not_be_reached_is_avoided_for_some_time():
    table = RelayTable(InstanceId("a"), DataCentre("karen"), Random(1))
    table.record_failure(InstanceId("b"), NOW)
    assert choose([make_entry("b")], table) == set()
    assert choose([make_entry("b")], table, Seconds(NOW + AVOID_SECONDS)) == {"b"}


def test_entries_of_the_own_data_centre_are_preferred():
    entries = [make_entry("b"), make_entry("c"), make_entry("d", "westlands")]
    assert choose(entries) == {"b", "c"}


def test_few_entries_left_in_the_data_centre_do_not_carry_all_of_it():
    entries = [
        make_entry("b"),
        make_entry("c", lost=[MODELS]),
        make_entry("d", lost=[MODELS]),
        make_entry("e", "westlands"),
    ]
    assert choose(entries) == {"b", "e"}


def test_a_request_is_offered_to_a_few_entries_only():
    entries = [make_entry(f"e{at}") for at in range(195)]
    assert len(choose(entries)) == MAX_OFFERS


def test_relays_are_spread_over_all_entries_that_can_take_them():
    table = RelayTable(InstanceId("a"), DataCentre("karen"), Random(1))
    entries = [make_entry(f"e{at}") for at in range(95)]
    first = [table.choose(entries, MODELS, NOW)[0].instance for _ in range(9_500)]
    assert max(first.count(entry.instance) for entry in entries) < 150
