"""Relay of event streams to callers; a stream resumes at another endpoint."""

import h11

from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.events import (
    EventSplitter,
    EventTooLargeError,
    StreamEvent,
)
from bergamotwood_core.gateway.health import AttemptResult
from bergamotwood_daemon.gateway.client import (
    ConnectionBrokenError,
    ResponseTimeoutError,
)
from bergamotwood_daemon.gateway.entry import GatewayEntry
from bergamotwood_daemon.gateway.message import is_framed, strip_connection_fields
from bergamotwood_daemon.gateway.outcome import (
    Answered,
    Delivered,
    MayHaveRun,
    Outcome,
)
from bergamotwood_daemon.gateway.reader import ResponseReader
from bergamotwood_daemon.gateway.server import Exchange

# Idle time after which a stream resumes at another endpoint, in multiples of the
# route's longest desired gap between events. Callers give up after eight.
IDLE_TIMEOUT_GAPS = 3.0
MIN_IDLE_TIMEOUT_SECONDS = 2.0
# Largest event that is buffered until it is complete.
MAX_EVENT_BYTES = 1024 * 1024


class StreamRelay:
    """Forwards complete events to a caller, each once and in order.

    Parameters
    ----------
    entry : GatewayEntry
        Entry that serves the request.
    call : Call
        The request; it stores the id of the last event sent to the caller.
    exchange : Exchange
        Sends the response to the caller.

    Attributes
    ----------
    has_started : bool
        Whether the head of the response was sent to the caller.
    events : int
        Events received in the current response.
    """

    def __init__(self, entry: GatewayEntry, call: Call, exchange: Exchange) -> None:
        self.has_started = False
        self.events = 0
        self._entry = entry
        self._call = call
        self._exchange = exchange
        self._last_event_at = entry.clock()
        # Only decimal ids are ordered; of the others, those sent are remembered.
        self._sent_ids: set[str] = set()

    def forward(self, attempt: ResponseReader, head: h11.Response) -> Outcome:
        """Forward an endpoint's response until it ends or fails."""
        if not 200 <= head.status_code < 300:
            return self._read_error(attempt, head)
        splitter = EventSplitter(MAX_EVENT_BYTES)
        self.events = 0
        self._last_event_at = self._entry.clock()
        try:
            while True:
                event = attempt.receive(self._compute_read_timeout(attempt.idle_factor))
                if isinstance(event, h11.EndOfMessage):
                    break
                attempt.check_deadline()
                self._send(splitter.feed(bytes(event.data)), head)
            self._send(splitter.finish(), head)
        except EventTooLargeError as error:
            return MayHaveRun(str(error), AttemptResult.BROKEN)
        except ConnectionBrokenError as error:
            return MayHaveRun(str(error), AttemptResult.BROKEN)
        except ResponseTimeoutError as error:
            return MayHaveRun(str(error), AttemptResult.SILENT)
        is_complete = not splitter.has_partial_event
        if is_complete:
            self._start_response(head)
            attempt.release_connection()
            self._exchange.end_stream()
        if not is_framed(list(head.headers)):
            attempt.record_unframed_end()
        if is_complete:
            return Delivered()
        return MayHaveRun("ended within an event", AttemptResult.BROKEN)

    def _read_error(self, attempt: ResponseReader, head: h11.Response) -> Outcome:
        outcome = attempt.read_body(
            head, lambda: self._compute_read_timeout(attempt.idle_factor)
        )
        if self.has_started and isinstance(outcome, Answered):
            return MayHaveRun(outcome.reason, AttemptResult.ERROR)
        return outcome

    def _send(self, events: list[StreamEvent], head: h11.Response) -> None:
        self.events += len(events)
        new_events = [event for event in events if self._mark_if_new(event)]
        if new_events:
            self._start_response(head)
            self._exchange.send_chunk(b"".join(event.data for event in new_events))
        if any(event.has_data for event in events):
            # Counts from here, as the caller may read slowly.
            self._last_event_at = self._entry.clock()

    def _mark_if_new(self, event: StreamEvent) -> bool:
        """Return whether the caller lacks an event, and mark it as sent."""
        if event.id is None:
            return True
        if event.id in self._sent_ids or not _is_after(
            event.id, self._call.last_event_id
        ):
            return False
        if not event.id.isdecimal():
            self._sent_ids.add(event.id)
        self._call.last_event_id = event.id
        return True

    def _start_response(self, head: h11.Response) -> None:
        if self.has_started:
            return
        self.has_started = True
        headers = strip_connection_fields(list(head.headers))
        self._exchange.start_stream(head.status_code, headers)

    def _compute_read_timeout(self, idle_factor: float) -> float:
        left = self._call.deadline - self._entry.clock()
        if not self._call.route.resumable:
            return left
        timeout = idle_factor * max(
            IDLE_TIMEOUT_GAPS * self._call.route.event_gap_seconds,
            MIN_IDLE_TIMEOUT_SECONDS,
        )
        # Bytes that complete no event do not keep a stalled stream alive.
        return min(left, self._last_event_at + timeout - self._entry.clock())


def _is_after(event: str, last: str) -> bool:
    """Whether an event id comes after the last one that the caller got.

    Only decimal ids are ordered; any other id counts as later unless it is equal.
    """
    if event.isdecimal() and last.isdecimal():
        return int(event) > int(last)
    return event != last
