"""Simulated requests of two workspaces.

One sends chapters and letters, the other notes and editing sessions.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from bergamotwood_core.states import Priority


@dataclass(frozen=True)
class RequestKind:
    """One kind of request.

    Parameters
    ----------
    share : float
        Share of all requests.
    prefix_tokens, prompt_tokens, output_tokens : int
        Mean tokens; the shared prefix is part of the prompt.
    prefixes : int
        Number of different prefixes in use.
    first_seconds : float
        Deadline of the first token in seconds after arrival.
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
    RequestKind("chapter", 0.20, 5_000, 6_000, 400, 40, 10.0, "kubwa", Priority.LOW),
    RequestKind("letter", 0.35, 400, 900, 150, 4, 5.0, "kubwa"),
    RequestKind("note", 0.25, 300, 450, 60, 6, 2.5, "colofn", Priority.HIGH),
    RequestKind("session", 0.20, 1_800, 2_000, 150, 60, 4.0, "colofn"),
)


@dataclass(eq=False)
class OfferedRequest:
    """A request as sent by a caller, and its outcome.

    Parameters
    ----------
    number : int
        Number of the request in its run.
    arrived_at : float
        Time of arrival in seconds.
    kind : RequestKind
        Kind of the request.
    prefix : int
        Hash of the shared prefix.
    prompt_tokens, output_tokens : int
        Number of tokens.
    workspace : str
        Workspace of the caller.
    first_token_at, finished_at : float, optional
        Times of the first token and of the complete answer.
    refused, failed : bool
        Whether admission refused it, and whether its dispatch or last attempt failed.
    attempts : int
        Number of attempts at engines since the caller last sent it.
    cached_tokens : int
        Prompt tokens in the cache of the engine that sent the first token.
    sends : int
        Number of times that the caller has sent it.
    """

    number: int
    arrived_at: float
    kind: RequestKind
    prefix: int
    prompt_tokens: int
    output_tokens: int
    workspace: str
    first_token_at: float | None = None
    finished_at: float | None = None
    refused: bool = False
    failed: bool = False
    attempts: int = 0
    cached_tokens: int = 0
    sends: int = 1

    @property
    def met_deadline(self) -> bool:
        """Whether the answer is complete and its first token was in time."""
        if self.finished_at is None or self.first_token_at is None:
            return False
        return self.first_token_at - self.arrived_at <= self.kind.first_seconds


def make_requests(
    rate: float, seconds: float, rng: Random, kinds: tuple[RequestKind, ...] = KINDS
) -> Iterator[OfferedRequest]:
    """Generate Poisson arrivals of a mix of kinds.

    Parameters
    ----------
    rate : float
        Requests per second.
    seconds : float
        Duration of the arrivals.
    rng : Random
        Generator of arrival times and sizes.
    kinds : tuple of RequestKind
        Kinds of requests in the mix.
    """
    time = rng.expovariate(rate)
    number = 0
    shares = [kind.share for kind in kinds]
    while time < seconds:
        kind = rng.choices(kinds, shares)[0]
        # Lower numbers are more frequent; the mean is a third of their count.
        prefix_number = min(
            int(rng.expovariate(3.0 / kind.prefixes)), kind.prefixes - 1
        )
        own_tokens = kind.prompt_tokens - kind.prefix_tokens
        yield OfferedRequest(
            number,
            time,
            kind,
            prefix=hash_prefix(kind, prefix_number),
            prompt_tokens=kind.prefix_tokens
            + max(8, int(rng.expovariate(1 / own_tokens))),
            output_tokens=max(4, int(rng.gammavariate(2.0, kind.output_tokens / 2))),
            workspace=kind.workspace,
        )
        number += 1
        time += rng.expovariate(rate)


def hash_prefix(kind: RequestKind, number: int) -> int:
    """Return a hash for a prefix that is the same in every run."""
    rng = Random(f"{kind.name}/{number}")
    return rng.getrandbits(64)
