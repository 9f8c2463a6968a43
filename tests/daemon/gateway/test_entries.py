from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.load import EndpointLoad
from bergamotwood_core.gateway.suspects import Crash
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Fingerprint,
    Incarnation,
    InstanceId,
    SessionId,
)
from bergamotwood_daemon.gateway.entries import ENTRY_EXPIRY_SECONDS, EntryTable
from bergamotwood_daemon.gateway.peermessages import EntryAddress, EntryStatus

ENDPOINT = EndpointId("e-1")


class Clock:
    """Clock that a test sets."""

    def __init__(self):
        self.now = Seconds(10.0)

    def __call__(self):
        return self.now


def make_status(number, sequence=1, load=None, **changes):
    return EntryStatus(
        EntryAddress(
            InstanceId(f"i{number}"), f"i{number}:80", DataCentre("karen"), True
        ),
        Incarnation(1),
        sequence,
        {ENDPOINT: load} if load else {},
        **changes,
    )


def test_an_entry_receives_the_load_of_all_other_entries():
    table = EntryTable(Clock())
    table.update(make_status(1, load=EndpointLoad(2, 0.5)))
    table.update(make_status(2, load=EndpointLoad(1, 0.25)))
    assert table.list_loads(InstanceId("i1")) == {ENDPOINT: EndpointLoad(1, 0.25)}
    assert table.list_loads(InstanceId("i3")) == {ENDPOINT: EndpointLoad(3, 0.75)}
    table.update(make_status(1, 2))
    assert table.list_loads(InstanceId("i3")) == {ENDPOINT: EndpointLoad(1, 0.25)}


def test_an_outdated_status_is_ignored():
    table = EntryTable(Clock())
    assert table.update(make_status(1, 2, load=EndpointLoad(1, 0.25)))
    assert not table.update(make_status(1, 1, load=EndpointLoad(9, 9.0)))
    assert table.list_loads(InstanceId("i2")) == {ENDPOINT: EndpointLoad(1, 0.25)}


def test_an_entry_that_stops_reporting_is_removed_with_its_load():
    clock = Clock()
    table = EntryTable(clock)
    table.update(make_status(1, load=EndpointLoad(1, 0.25)))
    clock.now += ENTRY_EXPIRY_SECONDS + 0.1
    table.update(make_status(2))
    table.expire()
    assert table.list_loads(InstanceId("i2")) == {}
    assert [entry.address for entry in table.list_addresses()] == ["i2:80"]


def test_crashes_and_open_sessions_are_listed_once():
    crash = Crash(Fingerprint("f"), ENDPOINT, Incarnation(1), 0.5)
    table = EntryTable(Clock())
    sessions = (SessionId("s1"), SessionId("s2"))
    table.update(make_status(1, crashes=(crash,), open_sessions=sessions))
    table.update(make_status(2, open_sessions=sessions[:1]))
    assert table.list_crashes(InstanceId("i1")) == ()
    assert table.list_crashes(InstanceId("i2")) == (crash,)
    assert table.list_open_sessions() == sessions
