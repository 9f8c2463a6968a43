"""Fencing tokens, by which a receiver rejects orders of a former leader."""

from msgspec import Struct

from bergamotwood_core.ids import LogIndex, Term


class FencingToken(Struct, frozen=True, order=True, array_like=True):
    """Term and log index of the leader that gave an order; compared by term first."""

    term: Term
    index: LogIndex
