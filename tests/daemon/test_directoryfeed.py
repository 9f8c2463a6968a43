import pytest
from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.directory import merge_announcement, merge_load
from bergamotwood_core.evidence import Evidence
from bergamotwood_core.messages import Address, Announcement, EntryReport
from bergamotwood_core.states import EndpointKind, EndpointState
from bergamotwood_core.tables import DirectoryTables
from bergamotwood_daemon.directoryfeed import DirectoryFeed

NOW = Seconds(10.0)
ANNOUNCEMENT = Announcement(
    "e1", 1, 1, Address("127.0.0.1", 2), "karen", EndpointKind.MODEL, ("small:1",)
)


@pytest.fixture
def feed():
    feed = DirectoryFeed("boot-1")
    feed.record_announcement(ANNOUNCEMENT, NOW)
    return feed


def test_new_watcher_gets_the_whole_directory(feed):
    changes = feed.list_changes("", 0)
    assert changes.announcements == (ANNOUNCEMENT,)
    assert feed.list_changes("boot-0", 99).announcements == (ANNOUNCEMENT,)


def test_load_change_of_a_known_endpoint_is_sent_as_a_load_report(feed):
    cursor = feed.cursor
    membership = feed.membership_cursor
    feed.record_announcement(replace(ANNOUNCEMENT, sequence=2, load=7.0), NOW)
    changes = feed.list_changes("boot-1", cursor)
    assert changes.announcements == ()
    assert [load.load for load in changes.loads] == [7.0]
    assert feed.membership_cursor == membership


def test_leaving_changes_the_membership_and_is_sent_as_an_announcement(feed):
    cursor = feed.cursor
    leaving = replace(ANNOUNCEMENT, sequence=2, state=EndpointState.LEAVING)
    feed.record_announcement(leaving, NOW)
    assert feed.membership_cursor > cursor
    assert feed.list_changes("boot-1", cursor).announcements == (leaving,)


def test_watcher_that_merges_all_changes_matches_the_replica(feed):
    tables, boot, cursor = DirectoryTables(), "", 0
    announcements = [
        replace(ANNOUNCEMENT, sequence=2, load=1.0),
        replace(ANNOUNCEMENT, sequence=3, versions=("small:1", "large:1")),
        replace(ANNOUNCEMENT, sequence=4, load=2.0),
        replace(ANNOUNCEMENT, incarnation=2, sequence=1),
        replace(ANNOUNCEMENT, incarnation=2, sequence=2, state=EndpointState.LEAVING),
    ]
    for next_announcement in announcements:
        changes = feed.list_changes(boot, cursor)
        boot, cursor = feed.boot, changes.cursor
        for announcement in changes.announcements:
            merge_announcement(tables, announcement, NOW)
        for load in changes.loads:
            merge_load(tables, load, NOW)
        assert (
            tables.endpoints["e1"].announcement
            == feed.tables.endpoints["e1"].announcement
        )
        feed.record_announcement(next_announcement, NOW)


def test_load_report_of_an_unknown_incarnation_is_dropped(feed):
    feed.record_announcement(replace(ANNOUNCEMENT, sequence=2, load=7.0), NOW)
    load = feed.list_changes("boot-1", 1).loads[0]
    tables = DirectoryTables()
    assert not merge_load(tables, load, NOW)
    merge_announcement(tables, replace(ANNOUNCEMENT, incarnation=2), NOW)
    assert not merge_load(tables, load, NOW)


def test_repeated_ratings_are_listed_once(feed):
    evidence = Evidence("a-1", 1)
    assert feed.record_ratings(evidence)
    assert not feed.record_ratings(evidence)
    assert feed.list_changes("boot-1", feed.cursor - 1).ratings == (evidence,)
    assert feed.list_changes("boot-1", feed.cursor).ratings == ()


def test_expired_endpoints_and_entries_are_no_longer_listed(feed):
    feed.record_report(EntryReport("a", 1, 1, Address("127.0.0.1", 3), "karen"), NOW)
    feed.expire(Seconds(NOW + 1_000.0))
    changes = feed.list_changes("", 0)
    assert (changes.announcements, changes.reports) == ((), ())
