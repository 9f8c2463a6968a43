import pytest
from core.gateway.samples import make_heartbeat
from msgspec.msgpack import encode

from bergamotwood_core.bounds import parse_count
from bergamotwood_core.gateway.changefeed import Changes
from bergamotwood_core.gateway.load import EndpointLoad
from bergamotwood_core.gateway.usable import (
    UnencodableError,
    find_heartbeat_fault,
    is_usable_load,
    leave_out_unencodable,
)


def test_a_record_without_an_encoding_is_left_out_and_the_others_hold():
    good = make_heartbeat("good")
    bad = make_heartbeat("bad", sequence=2**127)
    changes = Changes(0, 2, False, {"good": good, "bad": bad}, ("gone", "\ud800"))
    kept, count = leave_out_unencodable(changes)
    assert kept == Changes(0, 2, False, {"good": good}, ("gone",))
    assert count == 2
    encode(kept)


def test_a_value_without_any_encoding_is_refused():
    with pytest.raises(UnencodableError):
        leave_out_unencodable(make_heartbeat(sequence=2**64))


@pytest.mark.parametrize(
    "change",
    [
        {"sequence": 2**63},
        {"incarnation": -1},
        {"slots": 0},
        {"warmup_seconds": float("nan")},
        {"warmup_seconds": float("inf")},
        {"address": "127.0.0.1:65536"},
        {"address": "127.0.0.1:0"},
        {"address": "a\nb:80"},
        {"service": 300 * "s"},
        {"models": ("m",) * 5_000},
    ],
)
def test_a_heartbeat_that_names_no_endpoint_to_use_is_told(change):
    assert find_heartbeat_fault(make_heartbeat()) is None
    assert find_heartbeat_fault(make_heartbeat(**change)) is not None


def test_loads_that_cannot_be_added_are_told():
    assert is_usable_load(EndpointLoad(1, 2.0))
    assert not is_usable_load(EndpointLoad(1, float("inf")))
    assert not is_usable_load(EndpointLoad(1, 1e306))


@pytest.mark.parametrize(
    ("text", "number"),
    [("0", 0), ("007", 7), ("100", 99), ("9" * 5_000, 99), ("", None), ("²", None)],
)
def test_counts_of_any_length_are_read(text, number):
    assert parse_count(text, 99) == number
