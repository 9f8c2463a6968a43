"""Submits commands to the current leader of a log group."""

from collections.abc import Callable
from random import Random

from gevent import sleep
from gevent.lock import BoundedSemaphore

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import Code, ReplicationError
from bergamotwood_core.ids import InstanceId
from bergamotwood_core.states import Run
from bergamotwood_daemon.peer import PROPOSE, QUERY, Method, PeerChannel
from bergamotwood_daemon.wire import (
    ENCODER,
    PROPOSE_REPLY,
    Committed,
    NotLeader,
    ProposeRequest,
    Query,
    QueryRequest,
    Unknown,
)

CALL_TIMEOUT_SECONDS = 1.5
# Maximum number of pending calls; each occupies a thread.
MAX_CONCURRENT_CALLS = 64
MIN_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.3


class Proposer:
    """Finds the leader of one log group and submits commands to it.

    All commands are idempotent, so a command whose answer was lost is retried
    until the deadline.

    Parameters
    ----------
    group : str
        Name of the log group.
    channels : dict of InstanceId to PeerChannel
        Channels to the control replicas.
    clock : callable
        Returns the current time.
    rng : Random
        Source of jitter.
    """

    def __init__(
        self,
        group: str,
        channels: dict[InstanceId, PeerChannel],
        clock: Callable[[], Seconds],
        rng: Random,
    ) -> None:
        self._group = group
        self._channels = channels
        self._clock = clock
        self._rng = rng
        self._replica_order = list(channels)
        self._call_slots = BoundedSemaphore(MAX_CONCURRENT_CALLS)
        rng.shuffle(self._replica_order)

    def propose(self, command: bytes, timeout_seconds: float) -> bytes:
        """Commit a command and return the state machine's answer.

        Raises
        ------
        ReplicationError
            When the command was not confirmed in time. `run` tells whether it may
            still be committed.
        """
        request = ProposeRequest(self._group, command, CALL_TIMEOUT_SECONDS)
        return self._submit(PROPOSE, ENCODER.encode(request), timeout_seconds)

    def query(self, query: Query, timeout_seconds: float) -> bytes:
        """Query the leader's state and return the answer as JSON.

        Raises
        ------
        ReplicationError
            When no leader answered in time.
        """
        request = QueryRequest(self._group, query, CALL_TIMEOUT_SECONDS)
        return self._submit(QUERY, ENCODER.encode(request), timeout_seconds)

    def _submit(self, method: Method, body: bytes, timeout_seconds: float) -> bytes:
        deadline = self._clock() + timeout_seconds
        backoff = MIN_BACKOFF_SECONDS
        run = Run.NOT_RUN
        while True:
            remaining = deadline - self._clock()
            if remaining <= 0.0:
                break
            match self._call(method, body, min(remaining, CALL_TIMEOUT_SECONDS)):
                case Committed(result):
                    return result
                case NotLeader(leader):
                    self._prefer_leader(leader)
                case Unknown():
                    run = Run.MAY_HAVE_RUN
                    self._replica_order.append(self._replica_order.pop(0))
            sleep(min(backoff * self._rng.uniform(0.5, 1.0), max(remaining, 0.0)))
            backoff = min(2.0 * backoff, MAX_BACKOFF_SECONDS)
        raise ReplicationError(
            f"{self._group}: no majority confirmed within {timeout_seconds} s",
            Code.NO_QUORUM,
            run,
            retry_after=1.0,
        )

    def _call(
        self, method: Method, body: bytes, timeout_seconds: float
    ) -> Committed | NotLeader | Unknown:
        name = self._replica_order[0]
        if not self._call_slots.acquire(timeout=timeout_seconds):
            # Nothing was sent, so the next attempt goes to the same replica.
            return NotLeader(name)
        try:
            reply = self._channels[name].call(method, body, timeout_seconds)
        except ReplicationError as error:
            if error.run is Run.NOT_RUN:
                return NotLeader()
            return Unknown(error.detail)
        finally:
            self._call_slots.release()
        return PROPOSE_REPLY.decode(reply)

    def _prefer_leader(self, leader: str | None) -> None:
        if leader is None or leader not in self._channels:
            self._replica_order.append(self._replica_order.pop(0))
            return
        name = InstanceId(leader)
        self._replica_order.remove(name)
        self._replica_order.insert(0, name)
