"""Direct checks whether an endpoint that has stopped reporting still runs.

An endpoint may have lost only its way to the control group, or report late, while it
works on requests. Its work is given up only if it does not answer a check either.
"""

from collections.abc import Callable

from gevent.event import AsyncResult

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.notices import IncarnationKey
from bergamotwood_daemon.gateway.client import (
    ConnectionBrokenError,
    EndpointConnection,
    NotConnectedError,
    ResponseTimeoutError,
)
from bergamotwood_daemon.gateway.message import Headers
from bergamotwood_daemon.log import log_event

# Time within which a running endpoint answers a check: it needs no slot.
CHECK_TIMEOUT_SECONDS = 0.6
# Shortest time for which a result holds, so that many waiting requests share one check.
CHECK_INTERVAL_SECONDS = 1.5
# Checks of one endpoint by all entries together, in a second.
MAX_CHECKS_PER_SECOND = 6.0
# End of the time in which a check may be sent to an endpoint without a limit.
NO_LIMIT = Seconds(float("inf"))


class LivenessChecker:
    """Checks endpoints, at most once in each interval.

    The interval grows with the number of entries, so that all of them together do not
    burden an endpoint.

    Parameters
    ----------
    target : bytes
        Request target that an endpoint answers without a free slot.
    clock : callable
        Returns the current time.
    count_entries : callable
        Returns the number of all entries.
    may_send : callable
        Whether a check may be sent to an endpoint.
    find_target : callable or None
        Returns the request target for an endpoint; None to send `target` to all.
    record_head : callable or None
        Called with an endpoint, the header fields of its answer, and the times of the
        check and of the answer.

    Attributes
    ----------
    checks : int
        Number of checks that were sent.
    """

    def __init__(
        self,
        target: bytes,
        clock: Callable[[], Seconds],
        count_entries: Callable[[], int],
        may_send: Callable[[EndpointHeartbeat], bool] = lambda heartbeat: True,
        find_target: Callable[[EndpointHeartbeat], bytes] | None = None,
        record_head: Callable[[EndpointHeartbeat, Headers, Seconds, Seconds], None]
        | None = None,
    ) -> None:
        self.checks = 0
        self._find_target = find_target or (lambda heartbeat: target)
        self._record_head = record_head
        self._count_entries = count_entries
        self._may_send = may_send
        self._clock = clock
        self._results: dict[IncarnationKey, AsyncResult] = {}
        self._checked_at: dict[IncarnationKey, Seconds] = {}

    def has_result(self, key: IncarnationKey) -> bool:
        """Whether a result of a check still holds, so that none is sent."""
        checked_at = self._checked_at.get(key)
        return (
            checked_at is not None
            and self._clock() - checked_at <= self._find_interval()
        )

    def check(
        self, heartbeat: EndpointHeartbeat, allowed_until: Seconds = NO_LIMIT
    ) -> bool:
        """Return whether an endpoint answers; waits up to the time-out.

        One that may not be checked is taken to answer, as its work must go on.

        Parameters
        ----------
        heartbeat : EndpointHeartbeat
            Newest heartbeat of the endpoint.
        allowed_until : Seconds
            Time until which a check may be sent. An endpoint that is not connected by
            then counts as alive.
        """
        if not self._may_send(heartbeat):
            return True
        key = (heartbeat.endpoint, heartbeat.incarnation)
        now = self._clock()
        result = self._results.get(key)
        if result is None or not self.has_result(key):
            result = self._results[key] = AsyncResult()
            self._checked_at[key] = now
            self.checks += 1
            is_alive = False
            try:
                is_alive = self._send_check(heartbeat, allowed_until)
            finally:
                # Greenlets that wait for this check must go on, whatever happens.
                result.set(is_alive)
        return result.get()

    def expire(self) -> None:
        """Remove results that no longer hold."""
        limit = self._clock() - self._find_interval() - CHECK_TIMEOUT_SECONDS
        for key in [key for key, at in self._checked_at.items() if at < limit]:
            del self._results[key]
            del self._checked_at[key]

    def _find_interval(self) -> float:
        return max(
            CHECK_INTERVAL_SECONDS, self._count_entries() / MAX_CHECKS_PER_SECOND
        )

    def _send_check(self, heartbeat: EndpointHeartbeat, allowed_until: Seconds) -> bool:
        connection = EndpointConnection(heartbeat.address, self._clock)
        reason = ""
        try:
            connection.open()
            sent_at = self._clock()
            if sent_at > allowed_until or not self._may_send(heartbeat):
                return True
            headers = [(b"host", heartbeat.address.encode())]
            connection.send(b"GET", self._find_target(heartbeat), headers, b"")
            head = connection.receive_head(CHECK_TIMEOUT_SECONDS)
            if self._record_head is not None:
                fields = list(head.headers)
                self._record_head(heartbeat, fields, sent_at, self._clock())
        except (
            NotConnectedError,
            ConnectionBrokenError,
            ResponseTimeoutError,
        ) as error:
            reason = str(error)
        finally:
            connection.close()
        log_event(
            "entry",
            "Silent endpoint checked.",
            endpoint=heartbeat.endpoint,
            is_alive=not reason,
            reason=reason,
        )
        return not reason
