import json
from itertools import permutations
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from bergamotwood_core import directory
from bergamotwood_core.directory import (
    choose_addresses,
    decode_announcement,
    expire_endpoints,
    expire_entries,
    merge_announcement,
    merge_report,
)
from bergamotwood_core.errors import Code, RequestError
from bergamotwood_core.messages import Address, Announcement, EntryReport
from bergamotwood_core.states import EndpointKind, EndpointState, EntryState
from bergamotwood_core.tables import DirectoryTables

VALID = {
    "id": "e1",
    "incarnation": 1,
    "sequence": 1,
    "address": {"host": "127.0.0.1", "port": 9000},
    "data_centre": "karen",
    "kind": "model",
    "versions": ["small:1"],
}


def announce(incarnation=1, sequence=1, state=EndpointState.SERVING, name="e1"):
    return Announcement(
        id=name,
        incarnation=incarnation,
        sequence=sequence,
        address=Address("127.0.0.1", 9000),
        data_centre="karen",
        kind=EndpointKind.MODEL,
        state=state,
    )


def report(name="a", sequence=1, incarnation=1, **fields):
    fields.setdefault("data_centre", "karen")
    return EntryReport(name, incarnation, sequence, Address("127.0.0.1", 80), **fields)


@pytest.fixture
def tables():
    return DirectoryTables()


LEAVING = EndpointState.LEAVING
ANNOUNCEMENTS = (announce(1, 1), announce(1, 2), announce(1, 3, LEAVING))


@pytest.mark.parametrize("announcements", list(permutations(ANNOUNCEMENTS)))
def test_leaving_wins_in_any_order_of_arrival(tables, announcements):
    for announcement in announcements:
        merge_announcement(tables, announcement, 0.0)
    assert not tables.endpoints["e1"].serving


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.builds(
            announce,
            st.integers(1, 3),
            st.integers(1, 5),
            st.sampled_from(list(EndpointState)),
        ),
        min_size=1,
    ),
    st.randoms(use_true_random=False),
)
def test_daemons_agree_whatever_the_order_of_announcements(announcements, shuffler):
    unique = list(
        {(item.incarnation, item.sequence): item for item in announcements}.values()
    )
    first, second = DirectoryTables(), DirectoryTables()
    for announcement in unique:
        merge_announcement(first, announcement, 0.0)
    shuffler.shuffle(unique)
    for announcement in unique:
        merge_announcement(second, announcement, 0.0)
    one, two = first.endpoints["e1"], second.endpoints["e1"]
    assert one.serving == two.serving
    assert one.announcement.incarnation == two.announcement.incarnation
    newest = max(announcement.incarnation for announcement in unique)
    left = any(item.incarnation == newest and item.state is LEAVING for item in unique)
    assert one.serving != left


def test_new_incarnation_discards_the_previous_state(tables):
    merge_announcement(tables, replace(announce(), prefixes=(7,)), 0.0)
    old = tables.endpoints["e1"]
    old.outstanding = 5
    old.failures = 3
    old.ejected_until = 99.0
    assert merge_announcement(tables, announce(2, 0), 1.0)
    new = tables.endpoints["e1"]
    assert new is not old
    assert (new.outstanding, new.failures, new.ejected_until) == (0, 0, 0.0)
    assert new.announcement.prefixes == ()
    assert not merge_announcement(tables, announce(1, 99), 1.0)


def test_same_incarnation_keeps_outstanding_work(tables):
    merge_announcement(tables, announce(1, 1), 0.0)
    tables.endpoints["e1"].outstanding = 4
    assert merge_announcement(tables, announce(1, 2), 1.0)
    endpoint = tables.endpoints["e1"]
    assert (endpoint.outstanding, endpoint.outstanding_at_report) == (4, 4)


def test_membership_changes_only_with_fields_that_placement_reads(tables):
    seen = []
    for announcement in (
        announce(1, 1),
        replace(announce(1, 2), load=3.0),
        replace(announce(1, 3), versions=("small:2",)),
        announce(1, 2, LEAVING),
        announce(2, 1),
    ):
        merge_announcement(tables, announcement, 0.0)
        seen.append(tables.membership_version)
    expire_endpoints(tables, 9.0)
    assert [*seen, tables.membership_version] == [1, 1, 2, 3, 4, 5]


def test_repeated_announcement_does_not_postpone_expiry(tables):
    merge_announcement(tables, announce(1, 1), 0.0)
    assert not merge_announcement(tables, announce(1, 1), 4.0)
    assert expire_endpoints(tables, 5.0) == ()
    assert expire_endpoints(tables, 5.1) == ("e1",)


def test_late_announcement_does_not_restore_an_expired_endpoint(tables):
    merge_announcement(tables, announce(2, 5), 0.0)
    expire_endpoints(tables, 6.0)
    assert not merge_announcement(tables, announce(2, 5), 6.5)
    assert not merge_announcement(tables, announce(1, 9), 6.5)
    assert merge_announcement(tables, announce(2, 6), 7.0)


def test_endpoint_that_left_returns_only_with_a_new_incarnation(tables):
    merge_announcement(tables, announce(2, 5, LEAVING), 0.0)
    expire_endpoints(tables, 6.0)
    assert not merge_announcement(tables, announce(2, 6), 6.5)
    assert merge_announcement(tables, announce(3, 0), 7.0)


def test_departures_are_removed_after_the_retention_time(tables):
    merge_announcement(tables, announce(), 0.0)
    expire_endpoints(tables, 6.0)
    expire_endpoints(tables, 6.0 + directory.DEPARTURE_RETENTION_SECONDS + 1.0)
    assert not tables.departed_endpoints


def test_tables_are_bounded(tables, monkeypatch):
    monkeypatch.setattr(directory, "MAX_ENDPOINTS", 3)
    monkeypatch.setattr(directory, "MAX_DEPARTURES", 2)
    merged = [merge_announcement(tables, announce(name=f"e{n}"), 0.0) for n in range(5)]
    assert merged == [True, True, True, False, False]
    expire_endpoints(tables, 9.0)
    assert list(tables.departed_endpoints) == ["e1", "e2"]


def test_draining_is_final_for_an_entrys_incarnation(tables):
    draining = EntryState.DRAINING
    assert merge_report(tables, report(sequence=2, state=draining), 0.0)
    assert not merge_report(tables, report(sequence=3), 0.0)
    assert tables.entries["a"].report.state is draining
    expire_entries(tables, 6.0)
    assert not merge_report(tables, report(sequence=4), 6.0)
    assert merge_report(tables, report(incarnation=2), 6.0)


def test_late_draining_report_is_applied(tables):
    merge_report(tables, report(sequence=3), 0.0)
    assert merge_report(tables, report(sequence=2, state=EntryState.DRAINING), 0.0)
    assert choose_addresses(tables, None, 0, 0.0, Random(1), 9) == ()


def test_addresses_are_ordered_by_freshness_and_distance_without_draining(tables):
    for item in (
        report("old", applied=1),
        report("far", applied=5, data_centre="westlands"),
        report("near", applied=5),
        report("going", applied=5, state=EntryState.DRAINING),
    ):
        merge_report(tables, item, 10.0)
    merge_report(tables, report("silent", applied=5), 1.0)
    chosen = choose_addresses(tables, "karen", 5, 10.0, Random(1), 9)
    assert [item.id for item in chosen] == ["near", "far", "old"]
    assert len(choose_addresses(tables, "karen", 5, 10.0, Random(1), 2)) == 2


def test_lightly_loaded_entries_come_first_more_often(tables):
    merge_report(tables, report("busy", in_flight=30), 0.0)
    merge_report(tables, report("idle", in_flight=0), 0.0)
    rng = Random(7)
    firsts = [choose_addresses(tables, None, 0, 0.0, rng, 1)[0].id for _ in range(400)]
    assert firsts.count("idle") > 350
    assert "busy" in firsts


def test_valid_announcement_is_read():
    assert decode_announcement(json.dumps(VALID).encode()).versions == ("small:1",)


@pytest.mark.parametrize(
    ("fields", "place"),
    [
        ({"incarnation": "x"}, "$.incarnation"),
        ({"incarnation": -1}, "incarnation"),
        ({"sequence": 2**63}, "sequence"),
        ({"address": {"host": "karen.example", "port": 1}}, "address.host"),
        ({"address": {"host": "::1", "port": 0}}, "address.port"),
        ({"capacity": 0}, "capacity"),
        ({"load": -1.0}, "load"),
        ({"kind": "none"}, "$.kind"),
        ({"versions": ["a b"]}, "versions[0]"),
        ({"versions": ["a:1"] * 65}, "versions"),
        ({"prefixes": [2**64]}, "prefixes"),
        ({"extra": 1}, "extra"),
        ({"id": "x" * 200}, "id"),
        ({"id": "\n"}, "id"),
    ],
)
def test_faulty_announcement_names_the_place(fields, place):
    with pytest.raises(RequestError) as caught:
        decode_announcement(json.dumps({**VALID, **fields}).encode())
    assert caught.value.code is Code.ANNOUNCEMENT_INVALID
    assert place in caught.value.detail


@pytest.mark.parametrize("body", [b"", b"\xff", b"[", b"[" * 100_000, b"x" * 200_000])
def test_broken_bytes_are_refused(body):
    with pytest.raises(RequestError) as caught:
        decode_announcement(body)
    assert caught.value.code is Code.ANNOUNCEMENT_INVALID
