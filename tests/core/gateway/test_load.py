from bergamotwood_core.gateway.load import NO_LOAD, EndpointLoad, LoadTable
from bergamotwood_core.ids import EndpointId, RequestId

E1, E2 = EndpointId("e-1"), EndpointId("e-2")
Q1, Q2 = RequestId("q-1"), RequestId("q-2")


def test_a_prompt_counts_until_its_answer_begins_and_a_request_until_it_ends():
    loads = LoadTable()
    loads.start(E1, Q1, 0.5)
    loads.start(E1, Q2, 0.25)
    assert loads.find(E1) == EndpointLoad(2, 0.75)
    loads.begin(E1, Q1)
    assert loads.describe() == {E1: EndpointLoad(2, 0.25)}
    loads.end(E1, Q1)
    loads.end(E1, Q2)
    loads.end(E1, Q2)
    assert loads.find(E1) == NO_LOAD
    assert loads.count() == 0


def test_the_loads_of_others_are_added_and_replaced():
    loads = LoadTable()
    loads.start(E1, Q1, 0.5)
    loads.report([{E1: EndpointLoad(1, 0.1)}, {E1: EndpointLoad(2, 0.2), E2: NO_LOAD}])
    assert loads.find(E1).requests == 4
    assert round(loads.find(E1).reading_seconds, 3) == 0.8
    loads.report([])
    assert loads.find(E1) == EndpointLoad(1, 0.5)
