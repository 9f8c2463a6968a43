"""Admission control with weighted fair shares, priorities and early refusal."""

from dataclasses import dataclass, field
from itertools import count
from math import ceil

from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Workspace
from bergamotwood_core.errors import Code
from bergamotwood_core.ids import RequestId, WorkspaceId
from bergamotwood_core.states import Priority

DEFAULT_POOL = ""
# Extra slots, as a fraction of the limit, for workspaces below their fair share.
RESERVE_RATIO = 0.15
# Smoothing factor of the moving average of service times.
SERVICE_TIME_SMOOTHING = 0.1
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of admission at one entry.

    Parameters
    ----------
    limit : int
        Concurrent requests of a pool until `set_limit` is called for it.
    max_queued : int
        Maximum queue length of one workspace in one pool.
    max_wait_seconds : float
        Longest expected wait with which a request is still queued.
    service_seconds : float
        Initial estimate of how long a request runs.
    """

    limit: int = 64
    max_queued: int = 256
    max_wait_seconds: float = 10.0
    service_seconds: float = 1.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request holds a slot and runs now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits in a queue.

    It starts when `release`, `cancel` or `set_limit` returns its id, and must be
    refused when `expire` returns it or a later request displaces it.

    Parameters
    ----------
    displaced : tuple of RequestId
        Lower-priority requests that were removed from the queue and must be refused.
    """

    displaced: tuple[RequestId, ...] = ()


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused without having run.

    Parameters
    ----------
    code : Code
        Reason for the refusal.
    retry_after : float
        Seconds after which the caller should retry.
    """

    code: Code
    retry_after: float


Decision = Admitted | Queued | Refused


@dataclass(slots=True)
class _QueuedRequest:
    """A queued request."""

    id: RequestId
    priority: Priority
    arrival_number: int
    deadline: Seconds


@dataclass(slots=True)
class _RunningRequest:
    """A request that holds a slot."""

    pool: str
    workspace: WorkspaceId
    started_at: Seconds


@dataclass(slots=True)
class _WorkspaceQueue:
    """State of one workspace in one pool; `requests` is in the order of service."""

    workspace: Workspace
    in_flight: int = 0
    requests: list[_QueuedRequest] = field(default_factory=list)


@dataclass(slots=True)
class _PoolState:
    """Slots, queues and mean service time of one pool."""

    limit: int
    service_seconds: float
    in_flight: int = 0
    queues: dict[WorkspaceId, _WorkspaceQueue] = field(default_factory=dict)


class AdmissionController:
    """Shares the slots of each pool fairly among workspaces.

    A free slot goes to the workspace with the fewest running requests relative to
    its share. Within a workspace, requests run by priority, then in arrival order.

    Parameters
    ----------
    settings : AdmissionSettings
        Limits.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self._pools: dict[str, _PoolState] = {}
        self._running: dict[RequestId, _RunningRequest] = {}
        self._queued: dict[RequestId, tuple[str, WorkspaceId]] = {}
        self._in_flight: dict[WorkspaceId, int] = {}
        self._arrival_numbers = count()

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queued)

    @property
    def in_flight(self) -> int:
        """Number of running requests."""
        return len(self._running)

    def offer(
        self,
        request: RequestId,
        workspace: Workspace,
        priority: Priority,
        deadline: Seconds,
        now: Seconds,
        pool: str = DEFAULT_POOL,
    ) -> Decision:
        """Admit, queue or refuse a request.

        Parameters
        ----------
        request : RequestId
            Id of the request.
        workspace : Workspace
            Workspace of the request, with its share and limit.
        priority : Priority
            Priority within the workspace.
        deadline : Seconds
            Latest time at which the request may start.
        now : Seconds
            Current time.
        pool : str
            Pool whose capacity the request needs.
        """
        state = self._find_pool(pool)
        queue = state.queues.setdefault(workspace.key, _WorkspaceQueue(workspace))
        queue.workspace = workspace
        waiting = _QueuedRequest(
            request, priority, next(self._arrival_numbers), deadline
        )
        if not _count_ahead(queue, waiting) and self._has_free_slot(state, queue):
            self._start(pool, state, queue, request, now)
            return Admitted()
        wait = _estimate_wait(state, queue, _count_ahead(queue, waiting))
        if now + wait > deadline:
            return self._refuse(Code.DEADLINE_EXCEEDED, state, queue)
        if wait > self.settings.max_wait_seconds:
            return self._refuse(self._find_refusal_code(queue), state, queue)
        return self._enqueue(pool, state, queue, waiting)

    def release(self, request: RequestId, now: Seconds) -> tuple[RequestId, ...]:
        """Release the slot of a finished request.

        Returns
        -------
        tuple of RequestId
            Queued requests that start now.
        """
        running = self._running.pop(request, None)
        if running is None:
            return ()
        state = self._pools[running.pool]
        state.in_flight -= 1
        state.queues[running.workspace].in_flight -= 1
        self._in_flight[running.workspace] -= 1
        change = now - running.started_at - state.service_seconds
        state.service_seconds += SERVICE_TIME_SMOOTHING * change
        return self._admit_queued(now)

    def cancel(self, request: RequestId, now: Seconds) -> tuple[RequestId, ...]:
        """Remove a request whose caller has gone, whether queued or running.

        Returns
        -------
        tuple of RequestId
            Queued requests that start now.
        """
        if request in self._queued:
            self._dequeue(request)
            return ()
        return self.release(request, now)

    def expire(self, now: Seconds) -> tuple[RequestId, ...]:
        """Remove queued requests whose deadline has passed.

        Returns
        -------
        tuple of RequestId
            Removed requests, which must be refused.
        """
        expired = [
            waiting.id
            for state in self._pools.values()
            for queue in state.queues.values()
            for waiting in queue.requests
            if waiting.deadline <= now
        ]
        for request in expired:
            self._dequeue(request)
        return tuple(expired)

    def set_limit(self, pool: str, limit: int, now: Seconds) -> tuple[RequestId, ...]:
        """Set the number of concurrent requests of a pool.

        Returns
        -------
        tuple of RequestId
            Queued requests that start now.
        """
        self._find_pool(pool).limit = max(1, limit)
        return self._admit_queued(now)

    def estimate_retry_after(self, pool: str = DEFAULT_POOL) -> float:
        """Estimate the time until the queues of a pool are empty, in seconds."""
        state = self._find_pool(pool)
        waiting = sum(len(queue.requests) for queue in state.queues.values())
        return _clamp_retry_after((waiting + 1) * state.service_seconds / state.limit)

    def _find_pool(self, pool: str) -> _PoolState:
        """Return the state of a pool, creating it if necessary."""
        state = self._pools.get(pool)
        if state is None:
            state = _PoolState(self.settings.limit, self.settings.service_seconds)
            self._pools[pool] = state
        return state

    def _has_free_slot(self, state: _PoolState, queue: _WorkspaceQueue) -> bool:
        """Whether the limits of pool and workspace allow one more request."""
        if self._in_flight.get(queue.workspace.key, 0) >= queue.workspace.max_in_flight:
            return False
        limit = state.limit
        if queue.in_flight < _compute_fair_share(state, queue):
            limit += ceil(limit * RESERVE_RATIO)
        return state.in_flight < limit

    def _start(
        self,
        pool: str,
        state: _PoolState,
        queue: _WorkspaceQueue,
        request: RequestId,
        now: Seconds,
    ) -> None:
        """Give a slot to a request."""
        workspace = queue.workspace.key
        state.in_flight += 1
        queue.in_flight += 1
        self._in_flight[workspace] = self._in_flight.get(workspace, 0) + 1
        self._running[request] = _RunningRequest(pool, workspace, now)

    def _enqueue(
        self,
        pool: str,
        state: _PoolState,
        queue: _WorkspaceQueue,
        waiting: _QueuedRequest,
    ) -> Queued | Refused:
        """Insert a request into its workspace's queue by priority."""
        displaced: tuple[RequestId, ...] = ()
        if len(queue.requests) >= self.settings.max_queued:
            last = queue.requests[-1]
            if last.priority <= waiting.priority:
                return self._refuse(self._find_refusal_code(queue), state, queue)
            self._dequeue(last.id)
            displaced = (last.id,)
        queue.requests.insert(_count_ahead(queue, waiting), waiting)
        self._queued[waiting.id] = (pool, queue.workspace.key)
        return Queued(displaced)

    def _admit_queued(self, now: Seconds) -> tuple[RequestId, ...]:
        """Start queued requests while slots are free."""
        started: list[RequestId] = []
        for pool, state in self._pools.items():
            while (queue := self._choose_queue(state)) is not None:
                waiting = queue.requests.pop(0)
                del self._queued[waiting.id]
                self._start(pool, state, queue, waiting.id, now)
                started.append(waiting.id)
        return tuple(started)

    def _choose_queue(self, state: _PoolState) -> _WorkspaceQueue | None:
        """Choose the workspace with the fewest running requests for its share."""
        queues = [
            queue
            for queue in state.queues.values()
            if queue.requests and self._has_free_slot(state, queue)
        ]
        return min(
            queues,
            key=lambda queue: (
                queue.in_flight / queue.workspace.share,
                queue.requests[0].arrival_number,
            ),
            default=None,
        )

    def _dequeue(self, request: RequestId) -> None:
        """Remove a request from its queue."""
        pool, workspace = self._queued.pop(request)
        queue = self._pools[pool].queues[workspace]
        queue.requests = [
            waiting for waiting in queue.requests if waiting.id != request
        ]

    def _find_refusal_code(self, queue: _WorkspaceQueue) -> Code:
        """Return the code of the workspace's own limit or, below it, of overload."""
        running = self._in_flight.get(queue.workspace.key, 0)
        if running >= queue.workspace.max_in_flight:
            return Code.WORKSPACE_LIMIT
        return Code.OVERLOADED

    def _refuse(self, code: Code, state: _PoolState, queue: _WorkspaceQueue) -> Refused:
        """Refuse, with the expected time until the workspace's queue is empty."""
        return Refused(
            code, _clamp_retry_after(_estimate_wait(state, queue, len(queue.requests)))
        )


def compute_limit(
    capacity: float, reported_load: float, in_flight: int, entries: int
) -> int:
    """Compute the limit of concurrent requests of one entry in a pool.

    Parameters
    ----------
    capacity : float
        Concurrent requests that the endpoints of the pool can run in total.
    reported_load : float
        Requests from all entries that the endpoints run or queue now.
    in_flight : int
        Requests of this entry among `reported_load`.
    entries : int
        Live entries, this one included.

    Returns
    -------
    int
        An equal share of the capacity, or more while the endpoints have spare
        capacity.
    """
    share = capacity / max(1, entries)
    spare = (capacity - reported_load) / max(1, entries)
    return max(1, round(max(share, in_flight + spare)))


def _count_ahead(queue: _WorkspaceQueue, waiting: _QueuedRequest) -> int:
    """Count the queued requests of the workspace that are served earlier."""
    for position, other in enumerate(queue.requests):
        if (other.priority, other.arrival_number) > (
            waiting.priority,
            waiting.arrival_number,
        ):
            return position
    return len(queue.requests)


def _compute_fair_share(state: _PoolState, queue: _WorkspaceQueue) -> float:
    """Compute the workspace's fair share of a pool's slots, at least 1."""
    active = sum(
        other.workspace.share
        for other in state.queues.values()
        if other.requests or other.in_flight or other is queue
    )
    return max(1.0, state.limit * queue.workspace.share / active)


def _estimate_wait(state: _PoolState, queue: _WorkspaceQueue, ahead: int) -> float:
    """Estimate the wait of a request with `ahead` requests before it, in seconds.

    Below its fair share, the workspace gets every slot that becomes free. At or
    above it, the workspace gets only the slots that its own requests release.
    """
    slots = min(_compute_fair_share(state, queue), queue.workspace.max_in_flight)
    within_share = min(ahead + 1.0, max(0.0, slots - queue.in_flight))
    beyond_share = ahead + 1.0 - within_share
    return (within_share / state.limit + beyond_share / slots) * state.service_seconds


def _clamp_retry_after(seconds: float) -> float:
    """Limit a retry delay to the allowed range."""
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
