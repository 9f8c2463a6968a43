"""Limits that endpoints name on the requests a second which all entries may send.

An endpoint in need names its limit in its answers for as long as it holds, whatever its
heartbeats say. It answers overload of single endpoints.
"""

from math import isfinite

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.notices import IncarnationKey

# Limit from which on no endpoint is limited by it.
MAX_LIMIT = 100_000.0


class KnownLimit(Struct):
    """Newest statement of an incarnation about its limit.

    Parameters
    ----------
    requests_per_second : float or None
        The limit; None if it no longer has one.
    stated_at : Seconds
        Time of the statement.
    """

    requests_per_second: float | None
    stated_at: Seconds


class LimitTable:
    """Limits that this entry knows of."""

    def __init__(self) -> None:
        self._limits: dict[IncarnationKey, KnownLimit] = {}

    def record_answer(
        self,
        key: IncarnationKey,
        requests_per_second: float | None,
        sent_at: Seconds,
        now: Seconds,
    ) -> bool:
        """Record what an answer says of its endpoint's limit.

        Parameters
        ----------
        key : IncarnationKey
            The endpoint's incarnation.
        requests_per_second : float or None
            The limit in the answer; None if there is none.
        sent_at : Seconds
            Time at which the request was sent. An answer to a request that is older
            than the newest statement does not end the limit.
        now : Seconds
            Time of the answer.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        known = self._limits.get(key)
        if requests_per_second is None and (known is None or sent_at < known.stated_at):
            return False
        self._limits[key] = KnownLimit(requests_per_second, now)
        return known is None or known.requests_per_second != requests_per_second

    def retain(self, keys: set[IncarnationKey]) -> None:
        """Remove all incarnations except the given ones."""
        self._limits = {key: item for key, item in self._limits.items() if key in keys}


def is_valid_limit(requests_per_second: float) -> bool:
    """Whether a number that an endpoint names limits its requests."""
    return isfinite(requests_per_second) and 0.0 <= requests_per_second <= MAX_LIMIT
