import pytest

from bergamotwood_core.gateway.events import EventSplitter

TEXT = (
    b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda"
)


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_events_are_split_alike_for_every_chunk_size(size):
    splitter = EventSplitter()
    events = []
    for start in range(0, len(TEXT), size):
        events += splitter.feed(TEXT[start : start + size])
    assert [event.id for event in events] == ["1", "2", None, "3"]
    assert b"".join(event.data for event in events) + b"id: 4\nda" == TEXT
    assert splitter.has_partial_event


def test_no_partial_event_remains_after_a_complete_one():
    splitter = EventSplitter()
    assert len(splitter.feed(b"data: x\n\n")) == 1
    assert not splitter.has_partial_event
