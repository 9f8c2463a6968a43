"""Blocks greenlets until the admission controller admits or refuses their requests."""

from dataclasses import dataclass

from gevent.event import AsyncResult

from bergamotwood_core.admission import (
    Admitted,
    Queued,
    Refused,
    compute_limit,
)
from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import Code, RefusedError
from bergamotwood_core.ids import RequestId
from bergamotwood_core.tables import DirectoryTables, Endpoint, InFlight
from bergamotwood_daemon.entry import Entry, RequestContext

# Retry delay given to requests that are displaced or expire in the queue.
DROPPED_RETRY_SECONDS = 1.0


class AdmissionGate:
    """Makes each request wait until the admission queue admits or refuses it.

    Parameters
    ----------
    entry : Entry
        Owner of the admission queue and of the table of requests in flight.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._admission = entry.admission
        self._waiting: dict[RequestId, AsyncResult[None]] = {}

    def acquire(self, context: RequestContext, pool: str) -> None:
        """Wait for a slot of a pool, and count the request as in flight.

        Parameters
        ----------
        context : RequestContext
            State of the request.
        pool : str
            Version or service whose endpoints share one limit.

        Raises
        ------
        RefusedError
            The request was refused, or dropped from the queue; nothing ran.
        """
        context.trace.annotate(request=context.id, workspace=context.workspace.name)
        try:
            self._entry.claims.check_backlog()
            self._entry.retry_budget.record_offered()
            self._wait_for_slot(context, pool)
        except RefusedError:
            context.trace.end()
            raise
        self._entry.tables.in_flight[context.id] = InFlight(
            context.id, context.workspace.key, self._entry.clock(), context.fingerprint
        )

    def release(self, context: RequestContext) -> None:
        """Release the slot; a second call has no effect."""
        self._entry.tables.in_flight.pop(context.id, None)
        self._admit_all(self._admission.release(context.id, self._entry.clock()))
        context.trace.end()

    def expire(self, now: Seconds) -> None:
        """Refuse queued requests that can no longer start before their deadline."""
        self._refuse_all(self._admission.expire(now), Code.DEADLINE_EXCEEDED)

    def set_limits(self, directory: DirectoryTables, now: Seconds) -> None:
        """Set the limit of each pool from the capacity and load of its endpoints."""
        totals: dict[str, _PoolTotal] = {}
        for endpoint in directory.endpoints.values():
            if endpoint.serving:
                _add_to_pools(totals, endpoint)
        entries = len(directory.entries)
        for pool, total in totals.items():
            limit = compute_limit(
                total.capacity, total.load, total.outstanding, entries
            )
            self._admit_all(self._admission.set_limit(pool, limit, now))

    def _wait_for_slot(self, context: RequestContext, pool: str) -> None:
        now = self._entry.clock()
        decision = self._admission.offer(
            context.id, context.workspace, context.priority, context.deadline, now, pool
        )
        match decision:
            case Admitted():
                return
            case Refused(code, retry_after):
                raise _make_refusal(code, retry_after)
            case Queued(displaced):
                self._refuse_all(displaced, Code.OVERLOADED)
                self._wait(context.id)

    def _wait(self, id: RequestId) -> None:
        outcome: AsyncResult[None] = AsyncResult()
        self._waiting[id] = outcome
        try:
            outcome.get()
        finally:
            self._waiting.pop(id, None)

    def _admit_all(self, ids: tuple[RequestId, ...]) -> None:
        for id in ids:
            self._waiting[id].set(None)

    def _refuse_all(self, ids: tuple[RequestId, ...], code: Code) -> None:
        for id in ids:
            self._waiting[id].set_exception(_make_refusal(code, DROPPED_RETRY_SECONDS))


@dataclass(slots=True)
class _PoolTotal:
    """Totals over the endpoints of one version or service."""

    capacity: float = 0.0
    load: float = 0.0
    outstanding: int = 0


def _add_to_pools(totals: dict[str, _PoolTotal], endpoint: Endpoint) -> None:
    announcement = endpoint.announcement
    for name in announcement.versions:
        total = totals.setdefault(name, _PoolTotal())
        total.capacity += announcement.capacity
        total.load += announcement.load
        total.outstanding += endpoint.outstanding


def _make_refusal(code: Code, retry_after: float) -> RefusedError:
    reasons = {
        Code.WORKSPACE_LIMIT: "the workspace has too many requests in flight",
        Code.DEADLINE_EXCEEDED: "the request cannot start before its deadline",
    }
    detail = reasons.get(code, "too many requests are waiting")
    return RefusedError(detail, code, retry_after=retry_after)
