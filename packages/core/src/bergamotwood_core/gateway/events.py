"""Parsing of server-sent events from a stream of bytes."""

from msgspec import Struct


class StreamEvent(Struct, frozen=True):
    """A complete server-sent event.

    Parameters
    ----------
    data : bytes
        Raw bytes of the event, including the terminating blank line.
    id : str or None
        Value of the `id` field; None if there is none.
    """

    data: bytes
    id: str | None


class EventSplitter:
    """Splits a stream of bytes into events (HTML Living Standard, 9.2)."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer contains the beginning of an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes to the buffer and return the events that are complete."""
        self._buffer += data
        events = []
        while True:
            end = _find_end(self._buffer)
            if end < 0:
                return events
            block, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(StreamEvent(block, _find_id(block)))


def _find_end(data: bytes) -> int:
    ends = [
        position + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (position := data.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _find_id(block: bytes) -> str | None:
    for line in block.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin-1")
    return None
