"""Timing of the fake engine: batch slots, prefill and prefix cache."""

from collections import OrderedDict
from heapq import heappop, heappush
from itertools import count

from gevent import sleep
from gevent.event import Event
from msgspec import Struct
from xxhash import xxh64_intdigest

BLOCK_WORDS = 64
# Prefill time of a cached word, as a fraction of that of an uncached word.
CACHED_WORD_COST = 0.1


class Speed(Struct, frozen=True):
    """Speeds of an engine.

    Parameters
    ----------
    token_seconds : float
        Time of a decode step of a batch of one request.
    batch_growth : float
        Fraction by which each further request in the batch lengthens the step.
    prefill_seconds : float
        Time for one word of the prompt that is not cached.
    """

    token_seconds: float = 0.004
    batch_growth: float = 0.05
    prefill_seconds: float = 0.00002


class PrefixCache:
    """An LRU cache of the hashes of prompt prefixes, in blocks of words.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks of `BLOCK_WORDS` words.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def look_up_and_store(self, version: str, words: list[str]) -> int:
        """Count the cached words at the start of a prompt and cache its full blocks."""
        cached = 0
        missed = False
        digest = xxh64_intdigest(version.encode())
        for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
            block = " ".join(words[start : start + BLOCK_WORDS])
            digest = xxh64_intdigest(block.encode(), seed=digest)
            missed = missed or digest not in self._blocks
            cached += 0 if missed else BLOCK_WORDS
            self._store(digest)
        return cached

    def _store(self, digest: int) -> None:
        """Store a block as the most recently used and evict the oldest ones."""
        self._blocks[digest] = None
        self._blocks.move_to_end(digest)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)


class Batch:
    """The batch of an engine, with a priority queue of waiting requests.

    Parameters
    ----------
    capacity : int
        Maximum number of requests in the batch.
    speed : Speed
        Durations of prefill and decode steps.
    """

    def __init__(self, capacity: int, speed: Speed) -> None:
        self._capacity = capacity
        self._speed = speed
        self._queue: list[tuple[int, int, Event]] = []
        self._arrival_numbers = count()
        self.running = 0

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return self.running + len(self._queue)

    def acquire_slot(self, priority: int) -> None:
        """Wait for a slot; lower priority numbers are served first."""
        if self.running < self._capacity:
            self.running += 1
            return
        granted = Event()
        heappush(self._queue, (priority, next(self._arrival_numbers), granted))
        granted.wait()

    def release_slot(self) -> None:
        """Release a slot, or pass it to the next waiting request."""
        if not self._queue:
            self.running -= 1
            return
        _, _, granted = heappop(self._queue)
        granted.set()

    def prefill(self, words: int, cached: int) -> None:
        """Sleep for the time that prefill of a prompt takes."""
        uncached_equivalent = words - cached * (1.0 - CACHED_WORD_COST)
        sleep(uncached_equivalent * self._speed.prefill_seconds)

    def decode_step(self) -> None:
        """Sleep for the time of one decode step at the current batch size."""
        slowdown = 1.0 + self._speed.batch_growth * (self.running - 1)
        sleep(self._speed.token_seconds * slowdown)
