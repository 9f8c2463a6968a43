"""Event streams on their way to callers, resumed where an endpoint fails."""

import h11

from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.events import EventSplitter, StreamEvent
from bergamotwood_core.gateway.health import AttemptResult
from bergamotwood_daemon.gateway.attempt import (
    Answered,
    Attempt,
    Delivered,
    Outcome,
    Unclear,
)
from bergamotwood_daemon.gateway.client import BrokenError, SilentError
from bergamotwood_daemon.gateway.entry import GatewayEntry
from bergamotwood_daemon.gateway.message import strip_connection_fields
from bergamotwood_daemon.gateway.server import Exchange

# Silence, in pauses that callers want at most, after which a stream goes on at
# another endpoint. Callers give up after eight.
SILENT_GAPS = 3.0
LEAST_SILENCE_SECONDS = 2.0


class StreamRelay:
    """Passes events on, each once, in order and whole.

    Parameters
    ----------
    entry : GatewayEntry
        The entry.
    call : Call
        The request; it remembers the last event that the caller has.
    exchange : Exchange
        Where the events go.

    Attributes
    ----------
    has_begun : bool
        Whether the caller has the head of the answer.
    events : int
        Events of the response that is passed on.
    """

    def __init__(self, entry: GatewayEntry, call: Call, exchange: Exchange) -> None:
        self.has_begun = False
        self.events = 0
        self._entry = entry
        self._call = call
        self._exchange = exchange

    def pass_on(self, attempt: Attempt, head: h11.Response) -> Outcome:
        """Pass an endpoint's response on until it ends or fails."""
        if not 200 <= head.status_code < 300:
            return self._collect_failure(attempt, head)
        splitter = EventSplitter()
        self.events = 0
        try:
            while True:
                event = attempt.receive(self._measure_patience())
                if isinstance(event, h11.EndOfMessage):
                    break
                self._send(splitter.feed(bytes(event.data)), head)
        except BrokenError as error:
            return Unclear(str(error), AttemptResult.BROKEN)
        except SilentError as error:
            return Unclear(str(error), AttemptResult.SILENT)
        if splitter.has_partial_event:
            return Unclear("ended within an event", AttemptResult.BROKEN)
        self._begin(head)
        attempt.keep_connection()
        self._exchange.end_stream()
        return Delivered()

    def _collect_failure(self, attempt: Attempt, head: h11.Response) -> Outcome:
        outcome = attempt.collect(head, self._measure_patience)
        if self.has_begun and isinstance(outcome, Answered):
            return Unclear(outcome.reason, AttemptResult.ERROR)
        return outcome

    def _send(self, events: list[StreamEvent], head: h11.Response) -> None:
        self.events += len(events)
        fresh = [event for event in events if self._is_new(event)]
        if not fresh:
            return
        self._begin(head)
        self._exchange.send_piece(b"".join(event.data for event in fresh))

    def _is_new(self, event: StreamEvent) -> bool:
        """Note an event; one that the caller has already is left out."""
        if event.id is None:
            return True
        if _is_after(event.id, self._call.last_event):
            self._call.last_event = event.id
            return True
        return False

    def _begin(self, head: h11.Response) -> None:
        if self.has_begun:
            return
        self.has_begun = True
        headers = strip_connection_fields(list(head.headers))
        self._exchange.begin_stream(head.status_code, headers)

    def _measure_patience(self) -> float:
        left = self._call.deadline - self._entry.clock()
        if not self._call.route.resumable:
            return left
        gap = SILENT_GAPS * self._call.route.event_gap_seconds
        return min(left, max(gap, LEAST_SILENCE_SECONDS))


def _is_after(event: str, last: str) -> bool:
    if event.isdecimal() and last.isdecimal():
        return int(event) > int(last)
    return event != last
