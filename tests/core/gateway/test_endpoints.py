from core.gateway.samples import make_heartbeat

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.endpoints import EndpointDirectory
from bergamotwood_core.gateway.state_machine import Departure
from bergamotwood_core.ids import EndpointId, Incarnation, Sequence
from bergamotwood_core.states import EndpointState

NOW = Seconds(10.0)


def make_directory(*beats):
    directory = EndpointDirectory(30.0)
    for beat in beats:
        directory.apply_heartbeat(beat, NOW)
    return directory


def list_ids(directory):
    return sorted(beat.endpoint for beat in directory.list_heartbeats())


def leave(endpoint="e-1", incarnation=1):
    return Departure(
        EndpointId(endpoint), Incarnation(incarnation), EndpointState.LEAVING
    )


def test_a_late_beat_changes_nothing():
    directory = make_directory(make_heartbeat(sequence=Sequence(5), version="v2"))
    assert not directory.apply_heartbeat(make_heartbeat(sequence=Sequence(4)), NOW)
    assert directory.list_heartbeats()[0].version == "v2"


def test_a_restart_under_the_same_id_begins_anew():
    directory = make_directory(make_heartbeat(sequence=Sequence(500)))
    restarted = make_heartbeat(incarnation=Incarnation(2), sequence=Sequence(1))
    assert directory.apply_heartbeat(restarted, NOW)
    assert not directory.apply_heartbeat(make_heartbeat(sequence=Sequence(501)), NOW)
    assert directory.list_heartbeats() == (restarted,)


def test_a_beat_that_only_tells_the_time_is_no_new_version():
    directory = make_directory(make_heartbeat())
    version = directory.version
    assert directory.apply_heartbeat(make_heartbeat(sequence=Sequence(2)), NOW)
    assert directory.version == version


def test_an_address_belongs_to_the_endpoint_that_started_last():
    directory = make_directory(make_heartbeat("old", address="a:1"))
    new = make_heartbeat("new", address="a:1", incarnation=Incarnation(9))
    assert directory.apply_heartbeat(new, NOW)
    assert list_ids(directory) == ["new"]
    delayed = make_heartbeat("old", address="a:1", sequence=Sequence(7))
    assert not directory.apply_heartbeat(delayed, NOW)
    assert list_ids(directory) == ["new"]


def test_a_beat_after_the_departure_does_not_bring_an_endpoint_back():
    directory = make_directory(make_heartbeat())
    directory.apply_departures([leave()])
    assert list_ids(directory) == []
    assert not directory.apply_heartbeat(make_heartbeat(sequence=Sequence(9)), NOW)
    assert directory.apply_heartbeat(make_heartbeat(incarnation=Incarnation(2)), NOW)
    assert list_ids(directory) == ["e-1"]


def test_an_old_departure_does_not_end_a_new_incarnation():
    directory = make_directory(make_heartbeat(incarnation=Incarnation(2)))
    directory.apply_departures([leave(incarnation=1)])
    assert list_ids(directory) == ["e-1"]


def test_silent_endpoints_are_forgotten_only_after_long():
    directory = make_directory(make_heartbeat())
    directory.expire(Seconds(NOW + 29.0))
    assert list_ids(directory) == ["e-1"]
    directory.expire(Seconds(NOW + 31.0))
    assert list_ids(directory) == []


def test_endpoints_without_beats_are_named():
    directory = make_directory(make_heartbeat("a"), make_heartbeat("b"))
    directory.apply_heartbeat(
        make_heartbeat("b", sequence=Sequence(2)), Seconds(NOW + 2.0)
    )
    assert directory.list_silent(Seconds(NOW + 3.0), 2.5) == ("a",)
