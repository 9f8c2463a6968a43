"""Writes log lines from a bounded queue in a separate thread.

A reader of standard output that is slow, or gone, never blocks requests. When the
queue fills, routine lines are dropped first; failures and state changes are still
queued until it is full. The number of dropped lines is logged.
"""

# The C queue, since a native thread reads it: gevent's would switch greenlets.
from _queue import Empty, SimpleQueue
from typing import BinaryIO

from gevent import get_hub
from msgspec import json

# Maximum number of queued lines: over a minute of the heaviest day's load of 50
# lines a second.
MAX_QUEUED_LINES = 4_096
# Queue length at which routine lines are dropped, to leave room for others.
MAX_QUEUED_ROUTINE_LINES = MAX_QUEUED_LINES // 2
# Messages of normal operation, which are logged for every request.
ROUTINE_MESSAGES = frozenset(
    ("request: Answered.", "attempt: Answer dropped for a larger model.")
)
# How long shutdown waits for the last lines to be written.
CLOSE_TIMEOUT_SECONDS = 0.5

Message = dict[str, object]


class LogWriter:
    """A destination of log messages, which writes them as JSON lines.

    Parameters
    ----------
    stream : BinaryIO
        Stream that the lines are written to.

    Attributes
    ----------
    dropped : int
        Number of dropped lines.
    """

    def __init__(self, stream: BinaryIO) -> None:
        self.dropped = 0
        self._reported_dropped = 0
        self._stream = stream
        self._queue: SimpleQueue[Message | None] = SimpleQueue()
        self._thread = None

    def start(self) -> None:
        """Start the writer thread."""
        self._thread = get_hub().threadpool.spawn(self._run)

    def __call__(self, message: Message) -> None:
        """Queue a message, or drop it when the queue is full; never blocks."""
        queue_length = self._queue.qsize()
        is_routine = message.get("message") in ROUTINE_MESSAGES
        if queue_length >= (
            MAX_QUEUED_ROUTINE_LINES if is_routine else MAX_QUEUED_LINES
        ):
            self.dropped += 1
            return
        self._queue.put(message)

    def close(self) -> None:
        """Write the queued lines, for a short time at most, and stop."""
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
                # The stream has no reader any more, so this cannot be logged either.
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
