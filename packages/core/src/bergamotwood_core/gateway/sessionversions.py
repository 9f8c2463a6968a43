"""Versions on which sessions are open; they stay there for the first half."""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.orders import ServiceRollout
from bergamotwood_core.gateway.rollout import FIRST_SHARE, hash_affinity_key
from bergamotwood_core.ids import ServiceName, SessionId


class SessionVersions:
    """Versions of the sessions that are open at this entry.

    Parameters
    ----------
    session_timeout_seconds : float
        Time without requests after which a session is closed.
    """

    def __init__(self, session_timeout_seconds: float) -> None:
        self._timeout_seconds = session_timeout_seconds
        self._seen: dict[tuple[ServiceName, SessionId], tuple[str, Seconds]] = {}

    def record(
        self, service: ServiceName, session: SessionId, version: str, now: Seconds
    ) -> None:
        """Record that a request of a session was sent to a version."""
        key = (service, session)
        self._seen.pop(key, None)
        self._seen[key] = (version, now)

    def find_version(
        self, service: ServiceName, session: SessionId, now: Seconds
    ) -> str | None:
        """Return the version of an open session; None if it is not open."""
        seen = self._seen.get((service, session))
        if seen is None or now - seen[1] > self._timeout_seconds:
            return None
        return seen[0]

    def list_open(
        self, rollout: ServiceRollout, now: Seconds, share: float = FIRST_SHARE
    ) -> list[SessionId]:
        """Return open sessions on other versions that a share would move."""
        self._expire(now)
        return [
            session
            for (service, session), (version, _) in self._seen.items()
            if service == rollout.service
            and version != rollout.target
            and hash_affinity_key(rollout, session) < share
        ]

    def _expire(self, now: Seconds) -> None:
        for key, (_, at) in list(self._seen.items()):
            if now - at <= self._timeout_seconds:
                return
            del self._seen[key]
