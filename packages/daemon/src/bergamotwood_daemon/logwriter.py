"""Writes log lines beside the work: a bounded queue and a thread that drains it.

A reader of standard output that is slow, or gone, never holds up requests. When the
queue fills, routine lines are dropped first; failures and changes of belief go on
until it is full. What was dropped is counted and said in a line.
"""

# The C queue: gevent's would switch greenlets, and the thread is a real one.
from _queue import Empty, SimpleQueue
from typing import BinaryIO

from gevent import get_hub
from msgspec import json

# Lines that wait: some seconds of the heaviest day at 50 lines a second.
MAX_QUEUED_LINES = 4_096
# Lines from which routine ones are dropped, so that others find room.
MAX_QUEUED_ROUTINE_LINES = MAX_QUEUED_LINES // 2
# Messages of ordinary work, which come with every request.
ROUTINE_MESSAGES = frozenset(
    ("request: Answered.", "attempt: Answer dropped for a larger model.")
)
# Time that the end of a process waits for the last lines, in seconds.
CLOSE_TIMEOUT_SECONDS = 0.5

Message = dict[str, object]


class LogWriter:
    """A destination of log messages.

    Parameters
    ----------
    stream : BinaryIO
        Where the lines go.

    Attributes
    ----------
    dropped : int
        Lines that were dropped.
    """

    def __init__(self, stream: BinaryIO) -> None:
        self.dropped = 0
        self._reported_dropped = 0
        self._stream = stream
        self._queue: SimpleQueue[Message | None] = SimpleQueue()
        self._thread = None

    def start(self) -> None:
        """Begin to write."""
        self._thread = get_hub().threadpool.spawn(self._run)

    def __call__(self, message: Message) -> None:
        """Take a message; never blocks."""
        waiting = self._queue.qsize()
        is_routine = message.get("message") in ROUTINE_MESSAGES
        if waiting >= (MAX_QUEUED_ROUTINE_LINES if is_routine else MAX_QUEUED_LINES):
            self.dropped += 1
            return
        self._queue.put(message)

    def close(self) -> None:
        """Write what waits, for a short time, and end."""
        if self._thread is not None:
            self._queue.put(None)
            self._thread.wait(CLOSE_TIMEOUT_SECONDS)

    def _run(self) -> None:
        while True:
            lines, is_last = self._collect_lines()
            try:
                self._stream.write(b"".join(lines))
                self._stream.flush()
            except OSError:
                # Nobody reads any more: there is no place left to say so.
                self.dropped += len(lines)
            if is_last:
                return

    def _collect_lines(self) -> tuple[list[bytes], bool]:
        messages = [self._queue.get()]
        try:
            while True:
                messages.append(self._queue.get_nowait())
        except Empty:
            pass
        lines = [_encode(message) for message in messages if message is not None]
        if self.dropped > self._reported_dropped:
            new_dropped = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            lines.append(
                _encode({"message": "log: Lines dropped.", "count": new_dropped})
            )
        return lines, None in messages


def _encode(message: Message) -> bytes:
    return json.encode(message, enc_hook=str) + b"\n"
