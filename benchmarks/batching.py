"""Fake model engine with continuous batching, chunked prefill and a prefix cache.

Follows the users' data sheets. Each step prefills at most one chunk of prompt tokens
and generates one token for each request whose prompt is complete. It takes longer the
more of both there are. Running requests and cached prompt parts use the same memory;
the least recently used cached parts are evicted when it is full. More urgent requests
are admitted first; where no slot is free for one, a less urgent one goes back to the
queue.
"""

from bisect import bisect_left, insort
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.simulation import Simulation
from bergamotwood_core.gateway.call import PromptPart
from bergamotwood_core.ids import ModelName


@dataclass(frozen=True)
class BatchingSettings:
    """Speed and size of one engine.

    Parameters
    ----------
    slots : int
        Maximum number of requests that run at once.
    step_seconds, request_step_seconds : float
        Fixed time of a step, and time added for each request that is decoding.
    prefill_rate : float
        Prompt tokens prefilled per second, before `prefill_slowdowns`.
    chunk_tokens : int
        Maximum number of prompt tokens prefilled in one step.
    memory_tokens : int
        Capacity for the tokens of running requests and cached prompt parts.
    event_tokens : int
        Tokens sent in one stream event.
    prefill_slowdowns : dict
        Factor on the prefill time of each model. It applies to the prefill alone: while
        no prompt is being prefilled, a token takes 4 to 5 ms with every model, and
        8 ms more for each prompt that is.
    """

    slots: int
    step_seconds: float
    request_step_seconds: float
    prefill_rate: float
    chunk_tokens: int
    memory_tokens: int
    event_tokens: int
    prefill_slowdowns: dict[ModelName, float]


@dataclass(eq=False)
class Generation:
    """One request on one engine."""

    model: ModelName
    prompt: tuple[PromptPart, ...]
    events: int
    on_event: Callable[["Generation"], None]
    priority: int = 0
    prefill_left: int = 0
    read_again: int = 0
    reserved_tokens: int = 0
    tokens: int = 0
    is_finished: bool = False


@dataclass
class PrefillCounters:
    """Prompt tokens that engines prefilled, and those of them from shared parts."""

    prefill_tokens: int = 0
    shared_prefill_tokens: int = 0


@dataclass(eq=False)
class BatchingEngine:
    """Runs requests in batched steps of simulated time."""

    simulation: Simulation
    settings: BatchingSettings
    prefill_counters: PrefillCounters = field(default_factory=PrefillCounters)
    speed: float = 1.0
    running: list[Generation] = field(default_factory=list)
    queue: list[Generation] = field(default_factory=list)
    cache: OrderedDict[tuple[ModelName, str], int] = field(default_factory=OrderedDict)
    is_busy: bool = False

    def submit(self, generation: Generation) -> None:
        """Queue a request, unless it was cancelled on its way."""
        if generation.is_finished:
            return
        insort(self.queue, generation, key=lambda item: item.priority)
        self._start_step()

    def cancel(self, generation: Generation) -> None:
        """Remove a queued or running request."""
        if generation.is_finished:
            return
        generation.is_finished = True
        if generation in self.running:
            self.running.remove(generation)
        elif generation in self.queue:
            self.queue.remove(generation)

    def _start_step(self) -> None:
        if not self.is_busy and (self.running or self.queue):
            self.is_busy = True
            self.simulation.schedule(
                self._prepare_step() / self.speed, self._finish_step
            )

    def _prepare_step(self) -> float:
        """Admit queued requests, prefill a chunk, and return the step's duration."""
        self._admit()
        settings = self.settings
        decoding = sum(not generation.prefill_left for generation in self.running)
        seconds = settings.step_seconds + settings.request_step_seconds * decoding
        budget = settings.chunk_tokens
        for generation in self.running:
            if generation.prefill_left and budget:
                chunk = min(generation.prefill_left, budget)
                generation.prefill_left -= chunk
                budget -= chunk
                seconds += (
                    chunk
                    * settings.prefill_slowdowns[generation.model]
                    / settings.prefill_rate
                )
        return seconds

    def _finish_step(self) -> None:
        for generation in list(self.running):
            if generation.prefill_left or generation.is_finished:
                continue
            generation.tokens += 1
            if generation.tokens % self.settings.event_tokens and generation.tokens > 1:
                continue
            if generation.tokens >= generation.events * self.settings.event_tokens:
                generation.is_finished = True
                self.running.remove(generation)
            generation.on_event(generation)
        self.is_busy = False
        self._start_step()

    def _admit(self) -> None:
        while self.queue and self._has_slot(self.queue[0]):
            generation = self.queue[0]
            cached = self._find_cached(generation)
            prompt_tokens = sum(part.tokens for part in generation.prompt)
            needed = (
                prompt_tokens - cached + generation.events * self.settings.event_tokens
            )
            in_use = sum(other.reserved_tokens for other in self.running)
            if in_use + needed > self.settings.memory_tokens and self.running:
                return
            self.queue.pop(0)
            generation.reserved_tokens = needed
            generation.prefill_left = max(prompt_tokens - cached, 1)
            self.prefill_counters.prefill_tokens += generation.prefill_left
            shared = sum(part.tokens for part in generation.prompt[:-1])
            self.prefill_counters.shared_prefill_tokens += max(shared - cached, 0)
            self.running.append(generation)
            self._cache_prompt(generation, in_use + needed)

    def _has_slot(self, generation: Generation) -> bool:
        """Whether there is a slot, if need be that of a less urgent request."""
        if len(self.running) < self.settings.slots:
            return True
        least_urgent = max(self.running, key=lambda item: item.priority)
        if least_urgent.priority <= generation.priority:
            return False
        # It prefills its prompt again once it continues, from the cache if it can.
        self.running.remove(least_urgent)
        position = bisect_left(
            self.queue, least_urgent.priority, key=lambda item: item.priority
        )
        self.queue.insert(position, least_urgent)
        return True

    def _find_cached(self, generation: Generation) -> int:
        cached = 0
        for part in generation.prompt:
            if (generation.model, part.id) not in self.cache:
                break
            cached += part.tokens
        return cached

    def _cache_prompt(self, generation: Generation, in_use: int) -> None:
        for part in generation.prompt:
            self.cache[generation.model, part.id] = part.tokens
            self.cache.move_to_end((generation.model, part.id))
        total = sum(self.cache.values()) + in_use
        while total > self.settings.memory_tokens and len(self.cache) > 1:
            total -= self.cache.popitem(last=False)[1]
