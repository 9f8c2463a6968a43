"""A queueing fake of a model engine: slots, prefill, decode, prefix cache."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from heapq import heapify, heappop, heappush

from benchmarks.agenda import Agenda


class Health(Enum):
    """How the fake behaves."""

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
        Sequences in a batch.
    prefill_rate : float
        Prompt tokens a second, one prompt after the other.
    step_seconds, step_growth : float
        Time of a decoding step, alone and for each further sequence.
    cache_tokens : int
        Prompt tokens that the prefix cache holds.
    prefill_stall : float
        Part of a prefill by which the sequences in decoding are held up.
    """

    capacity: int = 16
    prefill_rate: float = 8_000.0
    step_seconds: float = 0.020
    step_growth: float = 0.001
    cache_tokens: int = 60_000
    prefill_stall: float = 0.5


@dataclass(eq=False)
class Job:
    """One attempt on an engine, with what to call when it goes on."""

    prefix: int
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    priority: int
    on_first: Callable[[], None]
    on_done: Callable[[], None]
    on_fail: Callable[[], None]
    started: float | None = None
    first_at: float | None = None
    step: float = 0.0
    cached: int = 0
    stalled: float = 0.0
    gone: bool = False

    def count_work(self, now: float) -> float:
        """Engine tokens spent so far, prompt and output."""
        if self.started is None:
            return 0.0
        work = float(self.prompt_tokens - self.cached)
        if self.first_at is not None and now > self.first_at:
            work += min(self.output_tokens, (now - self.first_at) / self.step)
        return work


@dataclass(eq=False)
class Engine:
    """Batches continuously; serves its queue by priority, then by age."""

    agenda: Agenda
    settings: EngineSettings
    health: Health = Health.GOOD
    running: set[Job] = field(default_factory=set)
    queue: list[tuple[int, int, Job]] = field(default_factory=list)
    cache: OrderedDict[int, int] = field(default_factory=OrderedDict)
    prefill_free_at: float = 0.0
    stalled: float = 0.0
    received: int = 0
    incarnation: int = 1

    @property
    def load(self) -> int:
        """Requests that run or wait here."""
        return len(self.running) + len(self.queue)

    def submit(self, job: Job) -> None:
        """Take a job."""
        if self.health is Health.DEAD:
            self.agenda.add(0.001, job.on_fail)
            return
        self.received += 1
        heappush(self.queue, (job.priority, self.received, job))
        self._fill()

    def cancel(self, job: Job) -> None:
        """Drop a job."""
        job.gone = True
        if job in self.running:
            self.running.discard(job)
            self._fill()
            return
        self.queue = [item for item in self.queue if item[2] is not job]
        heapify(self.queue)

    def crash(self, down_seconds: float) -> list[Job]:
        """Lose everything that runs or waits; come back after a while."""
        lost = [*self.running, *(item[2] for item in self.queue)]
        self.running.clear()
        self.queue.clear()
        self.cache.clear()
        self.health = Health.DEAD
        for job in lost:
            job.gone = True
            self.agenda.add(0.001, job.on_fail)
        self.agenda.add(down_seconds, self._restart)
        return lost

    def silence(self, timeout: float) -> None:
        """Send nothing more; callers give running answers up at their timeout."""
        self.health = Health.SILENT
        for job in self.running:
            if job.first_at is not None and job.first_at <= self.agenda.now:
                self.agenda.add(timeout, job.on_fail)

    def _restart(self) -> None:
        self.health = Health.GOOD
        self.incarnation += 1
        self.prefill_free_at = self.agenda.now

    def _fill(self) -> None:
        """Start queued jobs while there are slots."""
        if self.health is Health.SILENT:
            return
        while self.queue and len(self.running) < self.settings.capacity:
            _, _, job = heappop(self.queue)
            self._start(job)

    def _start(self, job: Job) -> None:
        """Prefill and decode a job."""
        now = self.agenda.now
        factor = SLOW_FACTOR if self.health is Health.SLOW else 1.0
        job.started = now
        job.cached = self._use_cache(job)
        prefill = (job.prompt_tokens - job.cached) / self.settings.prefill_rate
        self.prefill_free_at = max(now, self.prefill_free_at) + prefill * factor
        self.stalled += prefill * factor * self.settings.prefill_stall
        job.stalled = self.stalled
        self.running.add(job)
        growth = self.settings.step_growth * len(self.running)
        job.step = (self.settings.step_seconds + growth) * factor
        job.first_at = self.prefill_free_at + job.step
        end = job.first_at + (job.output_tokens - 1) * job.step
        self.agenda.add(job.first_at - now, lambda: self._call(job, job.on_first))
        self.agenda.add(end - now, lambda: self._end(job))

    def _end(self, job: Job) -> None:
        if job.gone or self.health is Health.SILENT:
            return
        if job.stalled < self.stalled:
            delay, job.stalled = self.stalled - job.stalled, self.stalled
            self.agenda.add(delay, lambda: self._end(job))
            return
        self.running.discard(job)
        job.gone = True
        job.on_done()
        self._fill()

    def _call(self, job: Job, action: Callable[[], None]) -> None:
        if not job.gone and self.health is not Health.SILENT:
            action()

    def _use_cache(self, job: Job) -> int:
        """Look the prefix up, keep it, drop the oldest beyond the size."""
        held = self.cache.pop(job.prefix, 0)
        self.cache[job.prefix] = max(held, job.prefix_tokens)
        total = sum(self.cache.values())
        while total > self.settings.cache_tokens and len(self.cache) > 1:
            total -= self.cache.popitem(last=False)[1]
        return min(held, job.prefix_tokens)
