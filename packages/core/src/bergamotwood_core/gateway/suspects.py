"""Detection of requests that crash the endpoints that execute them.

A caller may resend such a request through any entry, and each attempt takes down an
engine. After a few crashes, all entries refuse the request for some time.
"""

from collections.abc import Iterable

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import EndpointId, Fingerprint, Incarnation

NEVER = Seconds(float("-inf"))
# Number of endpoints that a request must have crashed without a success in between, at
# all entries together. Two may be a coincidence while endpoints crash for another
# reason.
MIN_SUSPECT_CRASHES = 3
# Time for which a crash is kept, and thus the maximum suspension.
CRASH_RETENTION_SECONDS = 30.0
# Crashes kept by one entry; more indicate endpoints that fail for other reasons.
MAX_CRASHES = 64


class Crash(Struct, frozen=True, array_like=True):
    """Loss of the connection to an endpoint while it executed a request.

    Parameters
    ----------
    fingerprint : Fingerprint
        Hash of the method, path, query, workspace and body of the request.
    endpoint, incarnation : EndpointId, Incarnation
        Endpoint that executed the request.
    age_seconds : float
        Age of the crash at the time of the report.
    """

    fingerprint: Fingerprint
    endpoint: EndpointId
    incarnation: Incarnation
    age_seconds: float = 0.0


class Success(Struct, frozen=True, array_like=True):
    """Success of a request that is suspected because of earlier crashes.

    Parameters
    ----------
    fingerprint : Fingerprint
        Hash of the method, path, query, workspace and body of the request.
    age_seconds : float
        Age of the success at the time of the report.
    """

    fingerprint: Fingerprint
    age_seconds: float = 0.0


class SuspectTable:
    """Crashes observed by this entry and reported by other entries."""

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
        """Record that an endpoint crashed while it executed a request."""
        self._own.append((Crash(fingerprint, endpoint, incarnation), now))
        del self._own[:-MAX_CRASHES]

    def record_success(self, fingerprint: Fingerprint, now: Seconds) -> None:
        """Record a success, which clears the request of all crashes up to now."""
        if self._list_crashes(fingerprint, now):
            self._cleared_at[fingerprint] = now

    def apply_reports(
        self, crashes: Iterable[Crash], successes: Iterable[Success], now: Seconds
    ) -> None:
        """Replace the reports of all other entries."""
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
        """Return the seconds for which a request is refused; 0 if it is allowed."""
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
        """Return the time of the last success of a request at any entry."""
        return max(
            self._cleared_at.get(fingerprint, NEVER),
            self._cleared_by_others_at.get(fingerprint, NEVER),
        )

    def _expire(self, now: Seconds) -> None:
        limit = now - CRASH_RETENTION_SECONDS
        self._own = [(crash, at) for crash, at in self._own if at > limit]
        for fingerprint in [key for key, at in self._cleared_at.items() if at < limit]:
            del self._cleared_at[fingerprint]
