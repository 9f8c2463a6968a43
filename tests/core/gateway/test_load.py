from random import Random

from bergamotwood_core.gateway.load import (
    NO_LOAD,
    EndpointLoad,
    LoadSum,
    LoadTable,
)
from bergamotwood_core.ids import EndpointId, RequestId

E1, E2 = EndpointId("e-1"), EndpointId("e-2")
Q1, Q2 = RequestId("q-1"), RequestId("q-2")


def test_prompt_counts_until_its_answer_starts_and_request_until_it_ends():
    loads = LoadTable()
    loads.add_request(E1, Q1, 0.5)
    loads.add_request(E1, Q2, 0.25)
    assert loads.find(E1) == EndpointLoad(2, 0.75)
    loads.mark_prefilled(E1, Q1)
    assert loads.list_own() == {E1: EndpointLoad(2, 0.25)}
    loads.remove_request(E1, Q1)
    loads.remove_request(E1, Q2)
    loads.remove_request(E1, Q2)
    assert loads.find(E1) == NO_LOAD
    assert loads.count_requests() == 0


def test_loads_of_other_entries_are_added_and_replaced():
    loads = LoadTable()
    loads.add_request(E1, Q1, 0.5)
    loads.set_others({E1: EndpointLoad(3, 0.25), E2: EndpointLoad(1, 0.0)})
    assert loads.find(E1) == EndpointLoad(4, 0.75)
    assert loads.find(E2) == EndpointLoad(1, 0.0)
    loads.set_others({})
    assert loads.find(E1) == EndpointLoad(1, 0.5)


def test_sum_excludes_the_report_of_the_receiving_entry():
    total = LoadSum()
    one = {E1: EndpointLoad(1, 0.125)}
    other = {E1: EndpointLoad(2, 0.2), E2: EndpointLoad(1, 0.0)}
    total.add(one)
    total.add(other)
    assert total.list_without({}) == {
        E1: EndpointLoad(3, 0.325),
        E2: EndpointLoad(1, 0.0),
    }
    assert total.list_without(one) == other
    assert total.list_without(other) == one


def test_sum_is_empty_after_all_reports_are_subtracted():
    rng = Random(3)
    reports = [
        {E1: EndpointLoad(rng.randint(1, 9), round(rng.random(), 3))}
        for _ in range(1000)
    ]
    total = LoadSum()
    for report in reports:
        total.add(report)
    rng.shuffle(reports)
    for report in reports:
        total.subtract(report)
    assert total.list_without({}) == {}
