from core.gateway.test_relays import MODELS, PAYMENTS, make_entry

from bergamotwood_core.gateway.members import list_reaching


def list_names(*entries):
    return [entry.instance for entry in list_reaching(entries)]


def test_callers_are_sent_to_entries_that_reach_the_endpoints():
    entries = make_entry("a", lost=[MODELS, PAYMENTS]), make_entry("b")
    assert list_names(*entries) == ["b"]


def test_a_service_that_is_gone_for_all_makes_no_difference():
    entries = make_entry("a", lost=[PAYMENTS]), make_entry("b", lost=[PAYMENTS])
    assert list_names(*entries) == ["a", "b"]


def test_an_entry_that_lacks_more_than_all_others_is_left_out():
    entries = (
        make_entry("a", lost=[MODELS, PAYMENTS]),
        make_entry("b", lost=[PAYMENTS]),
    )
    assert list_names(*entries) == ["b"]


def test_all_are_listed_when_each_lacks_something():
    entries = make_entry("a", lost=[MODELS]), make_entry("b", lost=[PAYMENTS])
    assert list_names(*entries) == ["a", "b"]


def test_no_entries_are_no_error():
    assert list_names() == []
