"""Fake model engine with a queue, batch slots, prefill, decoding and a prefix cache."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from heapq import heapify, heappop, heappush

from benchmarks.simulation import Simulation


class EngineHealth(Enum):
    """Condition of a fake engine."""

    GOOD = "good"
    SLOW = "slow"
    SILENT = "silent"
    DEAD = "dead"


SLOW_FACTOR = 6.0


@dataclass
class EngineSettings:
    """Speed and size of one engine.

    Parameters
    ----------
    capacity : int
        Maximum number of sequences in a batch.
    prefill_rate : float
        Prompt tokens prefilled per second, one prompt after the other.
    step_seconds, step_growth : float
        Fixed time of a decoding step, and time added for each running sequence.
    cache_tokens : int
        Prompt tokens that the prefix cache holds.
    prefill_stall : float
        Share of each prefill's time by which the decoding sequences are delayed.
    """

    capacity: int = 16
    prefill_rate: float = 8_000.0
    step_seconds: float = 0.020
    step_growth: float = 0.001
    cache_tokens: int = 60_000
    prefill_stall: float = 0.5


@dataclass(eq=False)
class Job:
    """One attempt on an engine, with callbacks for its progress."""

    prefix: int
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    priority: int
    on_first_token: Callable[[], None]
    on_done: Callable[[], None]
    on_fail: Callable[[], None]
    started_at: float | None = None
    first_token_at: float | None = None
    step_seconds: float = 0.0
    cached_tokens: int = 0
    # Value of the engine's `stall_seconds` that the scheduled end accounts for.
    stall_seconds: float = 0.0
    is_closed: bool = False

    def count_work(self, now: float) -> float:
        """Count the prompt and output tokens that the engine has processed so far."""
        if self.started_at is None:
            return 0.0
        work = float(self.prompt_tokens - self.cached_tokens)
        if self.first_token_at is not None and now > self.first_token_at:
            work += min(
                self.output_tokens, (now - self.first_token_at) / self.step_seconds
            )
        return work


@dataclass(eq=False)
class Engine:
    """Batches continuously; serves its queue by priority, then by arrival."""

    simulation: Simulation
    settings: EngineSettings
    health: EngineHealth = EngineHealth.GOOD
    running: set[Job] = field(default_factory=set)
    queue: list[tuple[int, int, Job]] = field(default_factory=list)
    cache: OrderedDict[int, int] = field(default_factory=OrderedDict)
    prefill_free_at: float = 0.0
    # Sum of the delays that all prefills so far have caused to decoding.
    stall_seconds: float = 0.0
    received: int = 0
    incarnation: int = 1

    @property
    def load(self) -> int:
        """Number of jobs that run or wait on this engine."""
        return len(self.running) + len(self.queue)

    def submit(self, job: Job) -> None:
        """Queue a job; a dead engine fails it."""
        if self.health is EngineHealth.DEAD:
            self.simulation.schedule(0.001, job.on_fail)
            return
        self.received += 1
        heappush(self.queue, (job.priority, self.received, job))
        self._start_queued()

    def cancel(self, job: Job) -> None:
        """Remove a queued or running job."""
        job.is_closed = True
        if job in self.running:
            self.running.discard(job)
            self._start_queued()
            return
        self.queue = [item for item in self.queue if item[2] is not job]
        heapify(self.queue)

    def crash(self, down_seconds: float) -> list[Job]:
        """Fail and return all jobs, and restart after a downtime in seconds."""
        lost = [*self.running, *(item[2] for item in self.queue)]
        self.running.clear()
        self.queue.clear()
        self.cache.clear()
        self.health = EngineHealth.DEAD
        for job in lost:
            job.is_closed = True
            self.simulation.schedule(0.001, job.on_fail)
        self.simulation.schedule(down_seconds, self._restart)
        return lost

    def silence(self, timeout_seconds: float) -> None:
        """Stop sending tokens; answers that have begun fail after the timeout."""
        self.health = EngineHealth.SILENT
        for job in self.running:
            if (
                job.first_token_at is not None
                and job.first_token_at <= self.simulation.now
            ):
                self.simulation.schedule(timeout_seconds, job.on_fail)

    def _restart(self) -> None:
        self.health = EngineHealth.GOOD
        self.incarnation += 1
        self.prefill_free_at = self.simulation.now

    def _start_queued(self) -> None:
        """Start queued jobs while there are free slots."""
        if self.health is EngineHealth.SILENT:
            return
        while self.queue and len(self.running) < self.settings.capacity:
            _, _, job = heappop(self.queue)
            self._start(job)

    def _start(self, job: Job) -> None:
        """Start a job and schedule its first token and its end."""
        now = self.simulation.now
        factor = SLOW_FACTOR if self.health is EngineHealth.SLOW else 1.0
        job.started_at = now
        job.cached_tokens = self._use_cache(job)
        prefill = (job.prompt_tokens - job.cached_tokens) / self.settings.prefill_rate
        self.prefill_free_at = max(now, self.prefill_free_at) + prefill * factor
        self.stall_seconds += prefill * factor * self.settings.prefill_stall
        job.stall_seconds = self.stall_seconds
        self.running.add(job)
        growth = self.settings.step_growth * len(self.running)
        job.step_seconds = (self.settings.step_seconds + growth) * factor
        job.first_token_at = self.prefill_free_at + job.step_seconds
        end = job.first_token_at + (job.output_tokens - 1) * job.step_seconds
        self.simulation.schedule(
            job.first_token_at - now,
            lambda: self._call_if_open(job, job.on_first_token),
        )
        self.simulation.schedule(end - now, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        if job.is_closed or self.health is EngineHealth.SILENT:
            return
        # Prefills since this end was scheduled have delayed the job.
        if job.stall_seconds < self.stall_seconds:
            delay, job.stall_seconds = (
                self.stall_seconds - job.stall_seconds,
                self.stall_seconds,
            )
            self.simulation.schedule(delay, lambda: self._finish(job))
            return
        self.running.discard(job)
        job.is_closed = True
        job.on_done()
        self._start_queued()

    def _call_if_open(self, job: Job, action: Callable[[], None]) -> None:
        if not job.is_closed and self.health is not EngineHealth.SILENT:
            action()

    def _use_cache(self, job: Job) -> int:
        """Return the number of cached prefix tokens, and cache the whole prefix.

        Evicts the least recently used prefixes if the cache is full.
        """
        reusable_tokens = self.cache.pop(job.prefix, 0)
        self.cache[job.prefix] = max(reusable_tokens, job.prefix_tokens)
        total = sum(self.cache.values())
        while total > self.settings.cache_tokens and len(self.cache) > 1:
            total -= self.cache.popitem(last=False)[1]
        return min(reusable_tokens, job.prefix_tokens)
