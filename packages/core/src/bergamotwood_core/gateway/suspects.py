"""Requests that crash the endpoints that run them.

Answers a request that comes again and again, at any entry, and takes an engine down
each time: after a few crashes it is refused for a while, everywhere.
"""

from collections.abc import Iterable

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import EndpointId, Fingerprint, Incarnation

NEVER = Seconds(float("-inf"))
# Endpoints that a request must have crashed, with no success at any entry in between:
# two may be chance while endpoints crash for another reason.
MIN_SUSPECT_CRASHES = 3
# How long a crash is remembered, and so the longest suspension.
CRASH_RETENTION_SECONDS = 30.0
# Crashes remembered by one entry; more would be endpoints that fail by themselves.
MAX_CRASHES = 64


class Crash(Struct, frozen=True, array_like=True):
    """An endpoint that broke off while it ran a request.

    Parameters
    ----------
    fingerprint : Fingerprint
        The request: method, path, caller and body.
    endpoint, incarnation : EndpointId, Incarnation
        The endpoint.
    age_seconds : float
        How long ago, when it was reported.
    """

    fingerprint: Fingerprint
    endpoint: EndpointId
    incarnation: Incarnation
    age_seconds: float = 0.0


class Success(Struct, frozen=True, array_like=True):
    """A request under suspicion that an endpoint has answered.

    Parameters
    ----------
    fingerprint : Fingerprint
        The request: method, path, caller and body.
    age_seconds : float
        How long ago, when it was reported.
    """

    fingerprint: Fingerprint
    age_seconds: float = 0.0


class SuspectTable:
    """Crashes that an entry has seen, and those that others report."""

    def __init__(self) -> None:
        self._own: list[tuple[Crash, Seconds]] = []
        self._others: list[tuple[Crash, Seconds]] = []
        self._cleared_at: dict[Fingerprint, Seconds] = {}
        self._cleared_by_others_at: dict[Fingerprint, Seconds] = {}

    def record_crash(
        self,
        fingerprint: Fingerprint,
        endpoint: EndpointId,
        incarnation: Incarnation,
        now: Seconds,
    ) -> None:
        """Note that an endpoint broke off while it ran a request."""
        self._own.append((Crash(fingerprint, endpoint, incarnation), now))
        del self._own[:-MAX_CRASHES]

    def record_success(self, fingerprint: Fingerprint, now: Seconds) -> None:
        """Clear a request of all crashes up to now."""
        if self._list_crashes(fingerprint, now):
            self._cleared_at[fingerprint] = now

    def apply_reports(
        self, crashes: Iterable[Crash], successes: Iterable[Success], now: Seconds
    ) -> None:
        """Take in what all other entries report."""
        self._others = [(crash, Seconds(now - crash.age_seconds)) for crash in crashes]
        self._cleared_by_others_at = {}
        for success in successes:
            at = Seconds(now - success.age_seconds)
            known = self._cleared_by_others_at.get(success.fingerprint, NEVER)
            self._cleared_by_others_at[success.fingerprint] = max(known, at)

    def list_own_crashes(self, now: Seconds) -> tuple[Crash, ...]:
        """Return the crashes to report to other entries."""
        self._expire(now)
        return tuple(
            Crash(
                crash.fingerprint, crash.endpoint, crash.incarnation, round(now - at, 2)
            )
            for crash, at in self._own
            if at > self._find_last_success(crash.fingerprint)
        )

    def list_successes(self, now: Seconds) -> tuple[Success, ...]:
        """Return the successes to report to other entries."""
        self._expire(now)
        return tuple(
            Success(fingerprint, round(now - at, 2))
            for fingerprint, at in self._cleared_at.items()
        )

    def compute_suspension(self, fingerprint: Fingerprint, now: Seconds) -> float:
        """Return seconds for which a request is refused; 0 when it is not."""
        crashes = self._list_crashes(fingerprint, now)
        incarnations = {(crash.endpoint, crash.incarnation) for crash, _ in crashes}
        if len(incarnations) < MIN_SUSPECT_CRASHES:
            return 0.0
        newest = max(at for _, at in crashes)
        return max(newest + CRASH_RETENTION_SECONDS - now, 0.0)

    def _list_crashes(
        self, fingerprint: Fingerprint, now: Seconds
    ) -> list[tuple[Crash, Seconds]]:
        since = max(self._find_last_success(fingerprint), now - CRASH_RETENTION_SECONDS)
        return [
            (crash, at)
            for crash, at in (*self._own, *self._others)
            if crash.fingerprint == fingerprint and at > since
        ]

    def _find_last_success(self, fingerprint: Fingerprint) -> Seconds:
        """Return when any entry last saw the request answered."""
        return max(
            self._cleared_at.get(fingerprint, NEVER),
            self._cleared_by_others_at.get(fingerprint, NEVER),
        )

    def _expire(self, now: Seconds) -> None:
        limit = now - CRASH_RETENTION_SECONDS
        self._own = [(crash, at) for crash, at in self._own if at > limit]
        for fingerprint in [key for key, at in self._cleared_at.items() if at < limit]:
            del self._cleared_at[fingerprint]
