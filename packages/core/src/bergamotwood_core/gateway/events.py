"""Parsing of server-sent events from a stream of bytes."""

from re import Match
from re import compile as compile_pattern

from msgspec import Struct

# Two line ends in a row end an event; a line ends with CRLF, LF or CR. The groups are
# atomic, so that a CRLF is never read as two line ends.
EVENT_END = compile_pattern(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
# Bytes of an event's end that may already be in the buffer when the rest arrives.
MAX_PARTIAL_END_BYTES = 3
# Fields after a line end; a field without a colon has an empty value.
ID_FIELD = compile_pattern(rb"[\r\n]id(?::([^\r\n]*))?[\r\n]")
DATA_FIELD = compile_pattern(rb"[\r\n]data[:\r\n]")
# The id of the last event is sent on in a header field.
MAX_ID_BYTES = 256
CONTROL_CHARACTERS = compile_pattern(rb"[\x00-\x1f\x7f]")


class InvalidEventError(Exception):
    """The bytes are not an event that can be passed on."""


class EventTooLargeError(InvalidEventError):
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

    The time that it takes is linear in the number of bytes, however they are divided
    into events and calls.

    Parameters
    ----------
    max_bytes : int
        Limit on the size of an event.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        # Offset in the buffer before which no event ends.
        self._searched = 0
        self._ended_with_cr = False

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer contains the beginning of an event."""
        return bool(self._buffer)

    @property
    def partial_bytes(self) -> int:
        """Size of the beginning of an event in the buffer."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes to the buffer and return the events that are complete.

        Raises
        ------
        InvalidEventError
            When an incomplete event exceeds the size limit, or the id of a complete
            one cannot be sent in a header field.
        """
        events = []
        if self._ended_with_cr and data[:1] == b"\n":
            # The rest of a CRLF whose CR has already ended an event.
            events.append(StreamEvent(b"\n", None))
            data = data[1:]
        if data:
            self._ended_with_cr = False
        self._buffer += data
        start = 0
        position = self._searched
        self._searched = max(0, len(self._buffer) - MAX_PARTIAL_END_BYTES)
        while (end := EVENT_END.search(self._buffer, position)) is not None:
            if _may_continue(end):
                self._searched = end.start()
                break
            events.append(_parse_event(bytes(self._buffer[start : end.end()])))
            start = position = end.end()
        if start:
            self._ended_with_cr = (
                start == len(self._buffer) and events[-1].data[-1:] == b"\r"
            )
            del self._buffer[:start]
            self._searched = max(0, self._searched - start)
        if len(self._buffer) > self._max_bytes:
            raise EventTooLargeError(f"event of more than {self._max_bytes} bytes")
        return events

    def finish(self) -> list[StreamEvent]:
        """Return the event that was held back because its last line end may go on.

        Raises
        ------
        InvalidEventError
            When its id cannot be sent in a header field.
        """
        if not EVENT_END.search(self._buffer, self._searched):
            return []
        block = bytes(self._buffer)
        self._buffer.clear()
        self._searched = 0
        return [_parse_event(block)]


def can_be_sent(id_: str) -> bool:
    """Whether an event id can be sent in a header field."""
    try:
        value = id_.encode("latin-1")
    except UnicodeEncodeError:
        return False
    return len(value) <= MAX_ID_BYTES and not CONTROL_CHARACTERS.search(value)


def _may_continue(end: Match[bytes]) -> bool:
    """Whether an end at the last byte may be the first half of another CRLF.

    Streams with bare CRs as line ends are not held back.
    """
    return end.end() == len(end.string) and (
        end[0].endswith(b"\r") and end[0] != b"\r\r"
    )


def _parse_event(block: bytes) -> StreamEvent:
    if not block.strip(b"\r\n"):
        return StreamEvent(block, None)
    lines = b"\n" + block
    field = ID_FIELD.search(lines)
    id_ = _parse_id(field[1] or b"") if field is not None else None
    return StreamEvent(block, id_, DATA_FIELD.search(lines) is not None)


def _parse_id(value: bytes) -> str:
    value = value.strip()
    id_ = value.decode("latin-1")
    if not can_be_sent(id_):
        raise InvalidEventError("event id that is too long or not printable")
    return id_
