"""Requests of both fleets: chapters, letters, notes and editing sessions."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from bergamotwood_core.states import Priority


@dataclass(frozen=True)
class Kind:
    """One kind of request.

    Parameters
    ----------
    share : float
        Part of all requests.
    prefix_tokens, prompt_tokens, output_tokens : int
        Means; the shared prefix is part of the prompt.
    prefixes : int
        How many different prefixes are in use at a time.
    first_seconds : float
        Deadline of the first token.
    """

    name: str
    share: float
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    prefixes: int
    first_seconds: float
    workspace: str
    priority: Priority = Priority.NORMAL


KINDS = (
    Kind("chapter", 0.20, 5_000, 6_000, 400, 40, 10.0, "kubwa", Priority.LOW),
    Kind("letter", 0.35, 400, 900, 150, 4, 5.0, "kubwa"),
    Kind("note", 0.25, 300, 450, 60, 6, 2.5, "colofn", Priority.HIGH),
    Kind("session", 0.20, 1_800, 2_000, 150, 60, 4.0, "colofn"),
)


@dataclass(eq=False)
class Offer:
    """A request as a caller makes it, and what became of it."""

    number: int
    at: float
    kind: Kind
    prefix: int
    prompt_tokens: int
    output_tokens: int
    workspace: str
    first_at: float | None = None
    done_at: float | None = None
    refused: bool = False
    failed: bool = False
    attempts: int = 0
    cached: int = 0
    tries: int = 1

    @property
    def good(self) -> bool:
        """Whether it was answered whole and began in time."""
        if self.done_at is None or self.first_at is None:
            return False
        return self.first_at - self.at <= self.kind.first_seconds


def make_offers(
    rate: float, seconds: float, rng: Random, kinds: tuple[Kind, ...] = KINDS
) -> Iterator[Offer]:
    """Make Poisson arrivals of mixed kinds.

    Parameters
    ----------
    rate : float
        Requests a second.
    seconds : float
        For how long.
    rng : Random
        Source of times and sizes.
    kinds : tuple of Kind
        The mix.
    """
    time = rng.expovariate(rate)
    number = 0
    shares = [kind.share for kind in kinds]
    while time < seconds:
        kind = rng.choices(kinds, shares)[0]
        popular = min(int(rng.expovariate(3.0 / kind.prefixes)), kind.prefixes - 1)
        extra = kind.prompt_tokens - kind.prefix_tokens
        yield Offer(
            number,
            time,
            kind,
            prefix=hash_prefix(kind, popular),
            prompt_tokens=kind.prefix_tokens + max(8, int(rng.expovariate(1 / extra))),
            output_tokens=max(4, int(rng.gammavariate(2.0, kind.output_tokens / 2))),
            workspace=kind.workspace,
        )
        number += 1
        time += rng.expovariate(rate)


def hash_prefix(kind: Kind, number: int) -> int:
    """Hash a prefix, alike in every run."""
    seed = Random(f"{kind.name}/{number}")
    return seed.getrandbits(64)
