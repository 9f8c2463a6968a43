from hypothesis import given
from hypothesis import strategies as st

from bergamotwood_core.gateway.changefeed import (
    MAX_KEPT_REMOVALS,
    NO_CURSOR,
    ChangeFeed,
)

KEYS = st.integers(0, 5)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), KEYS, st.integers(0, 3)),
        st.tuples(st.just("remove"), KEYS, st.none()),
        st.tuples(st.just("read"), st.integers(0, 2), st.none()),
    ),
    max_size=80,
)


def read(feed, table, cursor):
    changes = feed.list_changes(cursor)
    return (
        (table, cursor) if changes is None else (changes.apply(table), changes.cursor)
    )


@given(STEPS)
def test_readers_that_read_at_any_time_end_with_the_whole_table(steps):
    feed = ChangeFeed()
    expected = {}
    readers = [({}, NO_CURSOR) for _ in range(3)]
    for action, key, value in steps:
        if action == "put":
            feed.put(key, value)
            expected[key] = value
        elif action == "remove":
            feed.remove(key)
            expected.pop(key, None)
        else:
            readers[key] = read(feed, *readers[key])
    for reader in readers:
        assert read(feed, *reader) == (expected, feed.cursor)


def test_a_reader_gets_only_what_has_changed():
    feed = ChangeFeed()
    for key in range(400):
        feed.put(key, "a")
    _, cursor = read(feed, {}, NO_CURSOR)
    assert feed.list_changes(cursor) is None
    feed.put(7, "a")
    assert feed.list_changes(cursor) is None
    feed.put(7, "b")
    feed.remove(9)
    changes = feed.list_changes(cursor)
    assert (changes.values, changes.removed) == ({7: "b"}, (9,))
    assert not changes.is_complete


def test_a_reader_that_is_too_far_behind_gets_the_whole_table():
    feed = ChangeFeed()
    for key in range(MAX_KEPT_REMOVALS + 20):
        feed.put(key, "a")
    cursor = feed.cursor
    for key in range(MAX_KEPT_REMOVALS + 10):
        feed.remove(key)
    changes = feed.list_changes(cursor)
    assert changes.is_complete
    assert len(changes.values) == 10


def test_a_cursor_from_the_future_gets_the_whole_table():
    feed = ChangeFeed()
    feed.put(1, "a")
    assert feed.list_changes(50).is_complete
