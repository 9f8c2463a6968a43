"""Relay of event streams to callers; a stream resumes at another endpoint."""

import h11

from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.events import (
    EventSplitter,
    InvalidEventError,
    StreamEvent,
)
from bergamotwood_core.gateway.health import AttemptResult
from bergamotwood_core.gateway.streamprogress import (
    StreamProgress,
    compute_useless_timeout,
    is_later_id,
)
from bergamotwood_daemon.eventloop import Pauser
from bergamotwood_daemon.gateway.callerconnection import Exchange
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

# Idle time after which a stream resumes at another endpoint, in multiples of the
# route's longest desired gap between events. Callers give up after eight.
IDLE_TIMEOUT_GAPS = 3.0
MIN_IDLE_TIMEOUT_SECONDS = 2.0
# Largest event that is buffered until it is complete.
MAX_EVENT_BYTES = 1024 * 1024
# Bytes that are split into events before other greenlets may run.
SLICE_BYTES = 1_024
# Ids other than decimal numbers that are remembered in one answer.
MAX_SENT_IDS = 65_536


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
        self._progress = StreamProgress(entry.clock())
        # Only decimal ids are ordered; of the others, those sent are remembered.
        self._sent_ids: set[str] = set()
        self._pauser = Pauser()
        # Last id that the current response repeated.
        self._repeated_id = ""

    def forward(self, attempt: ResponseReader, head: h11.Response) -> Outcome:
        """Forward an endpoint's response until it ends or fails."""
        if not 200 <= head.status_code < 300:
            return self._read_error(attempt, head)
        splitter = EventSplitter(MAX_EVENT_BYTES)
        self.events = 0
        self._progress = StreamProgress(self._entry.clock())
        self._repeated_id = ""
        try:
            while True:
                event = self._receive(attempt)
                if isinstance(event, h11.EndOfMessage):
                    break
                attempt.check_deadline()
                self._split(splitter, bytes(event.data), head)
                if not self._exchange.memory.resize(splitter.partial_bytes):
                    raise ConnectionBrokenError("no room for the event")
                self._check_progress(attempt.idle_factor)
            self._send(splitter.finish(), head)
        except (InvalidEventError, ConnectionBrokenError) as error:
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

    def _receive(self, attempt: ResponseReader) -> h11.Event:
        """Return the next event of the response, waiting as long as it makes sense.

        Raises
        ------
        ConnectionBrokenError, ResponseTimeoutError
            As for `ResponseReader.receive`.
        """
        while True:
            timeout = self._compute_read_timeout(attempt.idle_factor)
            try:
                return attempt.receive(timeout)
            except ResponseTimeoutError:
                if not self._call.route.resumable or not attempt.may_wait_longer():
                    raise
                self._progress.extend(self._entry.clock())

    def _split(self, splitter: EventSplitter, data: bytes, head: h11.Response) -> None:
        """Send the events that some bytes complete."""
        self._progress.record_bytes(len(data), self._entry.clock())
        for start in range(0, len(data), SLICE_BYTES):
            if start:
                self._pauser.pause()
            self._send(splitter.feed(data[start : start + SLICE_BYTES]), head)

    def _send(self, events: list[StreamEvent], head: h11.Response) -> None:
        self.events += len(events)
        new_events = []
        has_progress = False
        for event in events:
            is_new = self._mark_if_new(event)
            if is_new:
                new_events.append(event)
            has_progress |= event.has_data and (is_new or self._mark_repeat(event))
        if new_events:
            self._start_response(head)
            self._exchange.send_chunk(b"".join(event.data for event in new_events))
        if has_progress:
            # Counts from here, as the caller may read slowly.
            self._progress.record_event(self._entry.clock())

    def _mark_if_new(self, event: StreamEvent) -> bool:
        """Return whether the caller lacks an event, and mark it as sent."""
        if event.id is None:
            return True
        if event.id in self._sent_ids or not is_later_id(
            event.id, self._call.last_event_id
        ):
            return False
        if not event.id.isdecimal():
            if len(self._sent_ids) >= MAX_SENT_IDS:
                raise InvalidEventError(f"more than {MAX_SENT_IDS} event ids")
            self._sent_ids.add(event.id)
        self._call.last_event_id = event.id
        return True

    def _mark_repeat(self, event: StreamEvent) -> bool:
        """Return whether an event, sent before, comes for the first time here.

        An endpoint that does not resume may repeat the stream from its beginning.
        """
        if not event.id.isdecimal() or not is_later_id(event.id, self._repeated_id):
            return False
        self._repeated_id = event.id
        return True

    def _check_progress(self, idle_factor: float) -> None:
        """Check that the stream still sends new events.

        Raises
        ------
        ConnectionBrokenError
            When it has sent only useless bytes for too long.
        """
        route = self._call.route
        timeout = (
            self._compute_idle_timeout(idle_factor)
            if route.resumable
            else idle_factor * compute_useless_timeout(route.event_gap_seconds)
        )
        if self._progress.is_useless(self._entry.clock(), timeout):
            raise ConnectionBrokenError("no new event in the bytes received")

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
        # Bytes that complete no event do not keep a stalled stream alive.
        idle_until = self._progress.last_event_at + self._compute_idle_timeout(
            idle_factor
        )
        return min(left, idle_until - self._entry.clock())

    def _compute_idle_timeout(self, idle_factor: float) -> float:
        gap = self._call.route.event_gap_seconds
        return idle_factor * max(IDLE_TIMEOUT_GAPS * gap, MIN_IDLE_TIMEOUT_SECONDS)
