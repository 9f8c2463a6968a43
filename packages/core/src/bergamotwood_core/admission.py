"""Admission control: fair shares, priorities and early refusal."""

from dataclasses import dataclass, field
from itertools import count
from math import ceil

from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Workspace
from bergamotwood_core.errors import Code
from bergamotwood_core.ids import RequestId, WorkspaceId
from bergamotwood_core.states import Priority

DEFAULT_POOL = ""
# Slots beyond the limit, as a part of it, for workspaces below their share.
RESERVE_RATIO = 0.15
# Weight of the newest running time in the moving average.
SERVICE_TIME_SMOOTHING = 0.1
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Bounds of admission at one entry.

    Parameters
    ----------
    limit : int
        Requests run at once in a pool whose limit was not set.
    max_queued : int
        Requests of one workspace that wait for one pool.
    max_wait_seconds : float
        Longest expected wait that is worth queueing for.
    service_seconds : float
        How long a request runs, until that is measured.
    """

    limit: int = 64
    max_queued: int = 256
    max_wait_seconds: float = 10.0
    service_seconds: float = 1.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request runs now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; `release` or `expire` names it later.

    Parameters
    ----------
    displaced : tuple of RequestId
        Requests of lower priority that lost their place and are refused now.
    """

    displaced: tuple[RequestId, ...] = ()


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused and did not run.

    Parameters
    ----------
    code : Code
        Why.
    retry_after : float
        Seconds after which a retry is worth trying.
    """

    code: Code
    retry_after: float


Decision = Admitted | Queued | Refused


@dataclass(slots=True)
class _QueuedRequest:
    """A request in a queue."""

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
    """One workspace in one pool; the queue is in the order of service."""

    workspace: Workspace
    in_flight: int = 0
    requests: list[_QueuedRequest] = field(default_factory=list)


@dataclass(slots=True)
class _PoolState:
    """Slots and queues of one pool."""

    limit: int
    service_seconds: float
    in_flight: int = 0
    queues: dict[WorkspaceId, _WorkspaceQueue] = field(default_factory=dict)


class AdmissionController:
    """Shares the slots of each pool fairly among workspaces.

    A free slot goes to the workspace that holds the least for its share; inside
    a workspace the higher priority goes first, then the older request.

    Parameters
    ----------
    settings : AdmissionSettings
        Bounds.
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
        """Requests that wait."""
        return len(self._queued)

    @property
    def in_flight(self) -> int:
        """Requests that hold a slot."""
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
            Its id.
        workspace : Workspace
            Whose it is, with share and limit.
        priority : Priority
            Rank inside the workspace.
        deadline : Seconds
            Last moment at which starting it is still of use.
        now : Seconds
            Time of the offer.
        pool : str
            What it needs capacity of.
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
        """Give a slot back.

        Returns
        -------
        tuple of RequestId
            Queued requests that run now.
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
        """Forget a request whose caller has gone, wherever it stands.

        Returns
        -------
        tuple of RequestId
            Queued requests that run now.
        """
        if request in self._queued:
            self._dequeue(request)
            return ()
        return self.release(request, now)

    def expire(self, now: Seconds) -> tuple[RequestId, ...]:
        """Give up queued requests that can no longer be of use.

        Returns
        -------
        tuple of RequestId
            They are to be refused at once.
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
        """Set how many requests run at once in a pool.

        Returns
        -------
        tuple of RequestId
            Queued requests that run now.
        """
        self._find_pool(pool).limit = max(1, limit)
        return self._admit_queued(now)

    def estimate_retry_after(self, pool: str = DEFAULT_POOL) -> float:
        """Estimate in how many seconds the pool's queue is worked off."""
        state = self._find_pool(pool)
        waiting = sum(len(queue.requests) for queue in state.queues.values())
        return _clamp_retry_after((waiting + 1) * state.service_seconds / state.limit)

    def _find_pool(self, pool: str) -> _PoolState:
        """Find or make the state of a pool."""
        state = self._pools.get(pool)
        if state is None:
            state = _PoolState(self.settings.limit, self.settings.service_seconds)
            self._pools[pool] = state
        return state

    def _has_free_slot(self, state: _PoolState, queue: _WorkspaceQueue) -> bool:
        """Whether the pool and the workspace may run one more."""
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
        """Put a request in its workspace's queue, at the place of its priority."""
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
        """Fill the free slots from the queues."""
        started: list[RequestId] = []
        for pool, state in self._pools.items():
            while (queue := self._choose_queue(state)) is not None:
                waiting = queue.requests.pop(0)
                del self._queued[waiting.id]
                self._start(pool, state, queue, waiting.id, now)
                started.append(waiting.id)
        return tuple(started)

    def _choose_queue(self, state: _PoolState) -> _WorkspaceQueue | None:
        """Choose the workspace that holds the least for its share."""
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
        """Take a request out of its queue."""
        pool, workspace = self._queued.pop(request)
        queue = self._pools[pool].queues[workspace]
        queue.requests = [
            waiting for waiting in queue.requests if waiting.id != request
        ]

    def _find_refusal_code(self, queue: _WorkspaceQueue) -> Code:
        """Say whether the workspace's own limit or the load is in the way."""
        running = self._in_flight.get(queue.workspace.key, 0)
        if running >= queue.workspace.max_in_flight:
            return Code.WORKSPACE_LIMIT
        return Code.OVERLOADED

    def _refuse(self, code: Code, state: _PoolState, queue: _WorkspaceQueue) -> Refused:
        """Refuse, with the time until the workspace's queue is worked off."""
        return Refused(
            code, _clamp_retry_after(_estimate_wait(state, queue, len(queue.requests)))
        )


def compute_limit(
    capacity: float, reported_load: float, in_flight: int, entries: int
) -> int:
    """Compute how many requests one entry may run at once in a pool.

    Parameters
    ----------
    capacity : float
        Requests that all endpoints of the pool run at once.
    reported_load : float
        Requests that they run or queue now, from all entries.
    in_flight : int
        Requests of this entry among them.
    entries : int
        Live entries, this one included.

    Returns
    -------
    int
        The entry's even part, or more while endpoints have room to spare.
    """
    share = capacity / max(1, entries)
    spare = (capacity - reported_load) / max(1, entries)
    return max(1, round(max(share, in_flight + spare)))


def _count_ahead(queue: _WorkspaceQueue, waiting: _QueuedRequest) -> int:
    """Count the queued requests of the workspace that go first."""
    for position, other in enumerate(queue.requests):
        if (other.priority, other.arrival_number) > (
            waiting.priority,
            waiting.arrival_number,
        ):
            return position
    return len(queue.requests)


def _compute_fair_share(state: _PoolState, queue: _WorkspaceQueue) -> float:
    """Count the slots that are the workspace's share of a pool."""
    active = sum(
        other.workspace.share
        for other in state.queues.values()
        if other.requests or other.in_flight or other is queue
    )
    return max(1.0, state.limit * queue.workspace.share / active)


def _estimate_wait(state: _PoolState, queue: _WorkspaceQueue, ahead: int) -> float:
    """Estimate how long a request with so many ahead of it waits, in seconds.

    Up to its share the workspace gets every slot that comes free; beyond it, only
    those that it frees itself.
    """
    slots = min(_compute_fair_share(state, queue), queue.workspace.max_in_flight)
    within_share = min(ahead + 1.0, max(0.0, slots - queue.in_flight))
    beyond_share = ahead + 1.0 - within_share
    return (within_share / state.limit + beyond_share / slots) * state.service_seconds


def _clamp_retry_after(seconds: float) -> float:
    """Keep a retry delay within its bounds."""
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
