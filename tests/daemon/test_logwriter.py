from io import BytesIO
from threading import Event

from msgspec import json

from bergamotwood_daemon.logwriter import (
    MAX_QUEUED_LINES,
    MAX_QUEUED_ROUTINE_LINES,
    LogWriter,
)


class BlockedStream(BytesIO):
    """Blocks writes until it is released."""

    def __init__(self):
        super().__init__()
        self.released = Event()

    def write(self, data):
        self.released.wait(10.0)
        return super().write(data)


def read_lines(stream):
    return [json.decode(line) for line in stream.getvalue().splitlines()]


def test_lines_are_written_in_order_and_flushed_on_close():
    stream = BytesIO()
    writer = LogWriter(stream)
    writer.start()
    for at in range(100):
        writer({"message": "request: Refused.", "at": at, "odd": object()})
    writer.close()
    assert [line["at"] for line in read_lines(stream)] == list(range(100))


def test_slow_reader_drops_routine_lines_first_and_does_not_block():
    stream = BlockedStream()
    writer = LogWriter(stream)
    for at in range(MAX_QUEUED_ROUTINE_LINES + 10):
        writer({"message": "request: Answered.", "at": at})
    assert writer.dropped == 10
    for at in range(MAX_QUEUED_LINES):
        writer({"message": "request: Failed.", "at": at})
    assert writer.dropped == 10 + MAX_QUEUED_ROUTINE_LINES
    writer.start()
    stream.released.set()
    writer.close()
    lines = read_lines(stream)
    failed = [line for line in lines if line["message"] == "request: Failed."]
    assert len(failed) == MAX_QUEUED_LINES - MAX_QUEUED_ROUTINE_LINES
    dropped = [line for line in lines if line["message"] == "log: Lines dropped."]
    assert sum(line["count"] for line in dropped) == writer.dropped
