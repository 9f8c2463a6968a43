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
WORD = Announcement(
    "e1", 1, 1, Address("127.0.0.1", 2), "karen", EndpointKind.MODEL, ("small:1",)
)


@pytest.fixture
def feed():
    feed = DirectoryFeed("boot-1")
    feed.take_announcement(WORD, NOW)
    return feed


def test_new_watcher_gets_everything(feed):
    news = feed.list_news("", 0)
    assert news.announcements == (WORD,)
    assert feed.list_news("boot-0", 99).announcements == (WORD,)


def test_known_endpoint_whose_load_changed_comes_as_a_load(feed):
    cursor = feed.cursor
    membership = feed.membership_cursor
    feed.take_announcement(replace(WORD, sequence=2, load=7.0), NOW)
    news = feed.list_news("boot-1", cursor)
    assert news.announcements == ()
    assert [load.load for load in news.loads] == [7.0]
    assert feed.membership_cursor == membership


def test_leaving_moves_the_membership_and_comes_whole(feed):
    cursor = feed.cursor
    leaving = replace(WORD, sequence=2, state=EndpointState.LEAVING)
    feed.take_announcement(leaving, NOW)
    assert feed.membership_cursor > cursor
    assert feed.list_news("boot-1", cursor).announcements == (leaving,)


def test_watcher_that_follows_knows_what_the_replica_knows(feed):
    tables, boot, cursor = DirectoryTables(), "", 0
    words = [
        replace(WORD, sequence=2, load=1.0),
        replace(WORD, sequence=3, versions=("small:1", "large:1")),
        replace(WORD, sequence=4, load=2.0),
        replace(WORD, incarnation=2, sequence=1),
        replace(WORD, incarnation=2, sequence=2, state=EndpointState.LEAVING),
    ]
    for word in words:
        news = feed.list_news(boot, cursor)
        boot, cursor = feed.boot, news.cursor
        for announcement in news.announcements:
            merge_announcement(tables, announcement, NOW)
        for load in news.loads:
            merge_load(tables, load, NOW)
        assert (
            tables.endpoints["e1"].announcement
            == feed.tables.endpoints["e1"].announcement
        )
        feed.take_announcement(word, NOW)


def test_load_of_an_unknown_start_is_dropped(feed):
    feed.take_announcement(replace(WORD, sequence=2, load=7.0), NOW)
    load = feed.list_news("boot-1", 1).loads[0]
    tables = DirectoryTables()
    assert not merge_load(tables, load, NOW)
    merge_announcement(tables, replace(WORD, incarnation=2), NOW)
    assert not merge_load(tables, load, NOW)


def test_ratings_are_passed_on_once(feed):
    evidence = Evidence("a-1", 1)
    assert feed.take_ratings(evidence)
    assert not feed.take_ratings(evidence)
    assert feed.list_news("boot-1", feed.cursor - 1).ratings == (evidence,)
    assert feed.list_news("boot-1", feed.cursor).ratings == ()


def test_expired_ones_are_forgotten_whole(feed):
    feed.take_report(EntryReport("a", 1, 1, Address("127.0.0.1", 3), "karen"), NOW)
    feed.expire(Seconds(NOW + 1_000.0))
    news = feed.list_news("", 0)
    assert (news.announcements, news.reports) == ((), ())
