from io import BytesIO
from threading import Event

from msgspec import json

from bergamotwood_daemon.logwriter import (
    MAX_WAITING,
    MAX_WAITING_ROUTINE,
    LogWriter,
)


class SlowReader(BytesIO):
    """Takes nothing until it is released."""

    def __init__(self):
        super().__init__()
        self.released = Event()

    def write(self, data):
        self.released.wait(10.0)
        return super().write(data)


def read_lines(stream):
    return [json.decode(line) for line in stream.getvalue().splitlines()]


def test_lines_are_written_in_order_and_the_last_before_the_end():
    stream = BytesIO()
    writer = LogWriter(stream)
    writer.start()
    for at in range(100):
        writer({"message": "request: Refused.", "at": at, "odd": object()})
    writer.close()
    assert [line["at"] for line in read_lines(stream)] == list(range(100))


def test_a_slow_reader_costs_routine_lines_first_and_blocks_nothing():
    stream = SlowReader()
    writer = LogWriter(stream)
    for at in range(MAX_WAITING_ROUTINE + 10):
        writer({"message": "request: Answered.", "at": at})
    assert writer.dropped == 10
    for at in range(MAX_WAITING):
        writer({"message": "request: Failed.", "at": at})
    assert writer.dropped == 10 + MAX_WAITING_ROUTINE
    writer.start()
    stream.released.set()
    writer.close()
    lines = read_lines(stream)
    failed = [line for line in lines if line["message"] == "request: Failed."]
    assert len(failed) == MAX_WAITING - MAX_WAITING_ROUTINE
    dropped = [line for line in lines if line["message"] == "log: Lines dropped."]
    assert sum(line["count"] for line in dropped) == writer.dropped
