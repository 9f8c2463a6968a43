"""Parsing of server-sent events from a stream of bytes."""

from re import Match
from re import compile as compile_pattern

from msgspec import Struct

# Two line ends in a row end an event; a line ends with CRLF, LF or CR. The groups are
# atomic, so that a CRLF is never read as two line ends.
EVENT_END = compile_pattern(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")


class EventTooLargeError(Exception):
    """An event has exceeded the size limit before its end."""


class StreamEvent(Struct, frozen=True):
    """A complete server-sent event.

    Parameters
    ----------
    data : bytes
        Raw bytes of the event, including the terminating blank line.
    id : str or None
        Value of the `id` field; None if there is none.
    has_data : bool
        Whether it has a `data` field; comments that keep a connection alive have none.
    """

    data: bytes
    id: str | None
    has_data: bool = False


class EventSplitter:
    """Splits a stream of bytes into events (HTML Living Standard, 9.2).

    Parameters
    ----------
    max_bytes : int
        Limit on the size of an event.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffer = b""
        self._ended_with_cr = False

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer contains the beginning of an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes to the buffer and return the events that are complete.

        Raises
        ------
        EventTooLargeError
            When an incomplete event exceeds the size limit.
        """
        events = []
        if self._ended_with_cr and data[:1] == b"\n":
            # The rest of a CRLF whose CR has already ended an event.
            events.append(StreamEvent(b"\n", None))
            data = data[1:]
        if data:
            self._ended_with_cr = False
        self._buffer += data
        while (end := EVENT_END.search(self._buffer)) is not None:
            if _may_continue(end):
                break
            block = self._buffer[: end.end()]
            self._buffer = self._buffer[end.end() :]
            self._ended_with_cr = not self._buffer and block.endswith(b"\r")
            events.append(_parse_event(block))
        if len(self._buffer) > self._max_bytes:
            raise EventTooLargeError(f"event of more than {self._max_bytes} bytes")
        return events

    def finish(self) -> list[StreamEvent]:
        """Return the event that was held back because its last line end may go on."""
        if not EVENT_END.search(self._buffer):
            return []
        block, self._buffer = self._buffer, b""
        return [_parse_event(block)]


def _may_continue(end: Match[bytes]) -> bool:
    """Whether an end at the last byte may be the first half of another CRLF.

    Streams with bare CRs as line ends are not held back.
    """
    return end.end() == len(end.string) and (
        end[0].endswith(b"\r") and end[0] != b"\r\r"
    )


def _parse_event(block: bytes) -> StreamEvent:
    id_ = None
    has_data = False
    for line in block.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and id_ is None:
            id_ = value.strip().decode("latin-1")
        has_data = has_data or name == b"data"
    return StreamEvent(block, id_, has_data)
