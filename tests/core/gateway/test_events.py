from time import process_time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotwood_core.gateway.events import (
    EventSplitter,
    EventTooLargeError,
    InvalidEventError,
)

MAX_BYTES = 10_000
LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])

TEXT = (
    b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda"
)


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_events_are_split_alike_for_every_chunk_size(size):
    splitter = EventSplitter(MAX_BYTES)
    events = []
    for start in range(0, len(TEXT), size):
        events += splitter.feed(TEXT[start : start + size])
    assert [event.id for event in events] == ["1", "2", None, "3"]
    assert b"".join(event.data for event in events) + b"id: 4\nda" == TEXT
    assert splitter.has_partial_event


def test_no_partial_event_remains_after_a_complete_one():
    splitter = EventSplitter(MAX_BYTES)
    assert len(splitter.feed(b"data: x\n\n")) == 1
    assert not splitter.has_partial_event


@given(
    ends=st.lists(LINE_ENDS, min_size=2, max_size=8),
    cuts=st.lists(st.integers(0, 80), max_size=8),
)
def test_every_line_end_of_the_standard_ends_an_event(ends, cuts):
    text = b"".join(
        b"id: %d%bdata: x%b%b" % (at, end, end, end) for at, end in enumerate(ends)
    )
    bounds = sorted({0, len(text), *(cut for cut in cuts if cut < len(text))})
    splitter = EventSplitter(MAX_BYTES)
    events = []
    for start, stop in zip(bounds, bounds[1:], strict=False):
        events += splitter.feed(text[start:stop])
    ids = [event.id for event in events if event.id is not None]
    assert ids == [str(at) for at in range(len(ends))]
    assert b"".join(event.data for event in events) == text
    assert not splitter.has_partial_event


@given(st.lists(st.binary(max_size=300), max_size=20))
def test_any_bytes_are_kept_whole_or_refused(pieces):
    splitter = EventSplitter(1_000)
    events = []
    try:
        for piece in pieces:
            events += splitter.feed(piece)
    except EventTooLargeError:
        return
    joined = b"".join(pieces)
    assert joined.startswith(b"".join(event.data for event in events))


def test_an_event_without_end_is_refused():
    splitter = EventSplitter(100)
    with pytest.raises(EventTooLargeError):
        for _ in range(200):
            splitter.feed(b"x")


def test_a_comment_carries_no_data():
    comment, event = EventSplitter(MAX_BYTES).feed(b": alive\n\ndata: a\n\n")
    assert (comment.has_data, event.has_data) == (False, True)


# The time grew with the square of an event's size; an entry served nobody meanwhile.
@pytest.mark.parametrize("form", [b"x", b"x\n", b"x\r", b"\n", b":\n\n"])
def test_work_on_a_byte_does_not_grow_with_the_bytes_before(form):
    def measure(count):
        splitter = EventSplitter(10 * count)
        started_at = process_time()
        for _ in range(count // 64):
            splitter.feed(64 // len(form) * form)
        return process_time() - started_at

    measure(10_000)
    small = min(measure(50_000) for _ in range(3))
    large = min(measure(500_000) for _ in range(3))
    assert large < 30 * small


@pytest.mark.parametrize("id_", [300 * b"7", b"a\0b"])
def test_an_id_that_no_header_field_can_hold_is_refused(id_):
    with pytest.raises(InvalidEventError):
        EventSplitter(MAX_BYTES).feed(b"id: " + id_ + b"\ndata: a\n\n")
