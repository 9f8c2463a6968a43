"""Fencing tokens: numbers by which a receiver refuses a former leader."""

from msgspec import Struct

from bergamotwood_core.ids import LogIndex, Term


class FencingToken(Struct, frozen=True, order=True, array_like=True):
    """Term and log index of the leader that gave an order; ordered in that order."""

    term: Term
    index: LogIndex
