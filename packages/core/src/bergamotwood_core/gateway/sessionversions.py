"""Versions on which sessions are open; they stay there for the first half.

A session is open while a request of it runs, however long that takes, and for some time
after its end.
"""

from collections.abc import Collection, Iterator

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.orders import ServiceRollout
from bergamotwood_core.gateway.rollout import FIRST_SHARE, hash_affinity_key
from bergamotwood_core.ids import ServiceName, SessionId

# Time beyond its time-out for which a session counts as open: its caller sees the end
# of an answer later than the entry does.
SLACK_SECONDS = 1.0

SessionKey = tuple[ServiceName, SessionId]


class RunningSession(Struct):
    """A session with requests that run.

    Parameters
    ----------
    version : str
        Version that its latest request was sent to.
    requests : int
        Number of its requests that run.
    """

    version: str
    requests: int = 0


class SessionVersions:
    """Versions of the sessions that are open at this entry.

    Parameters
    ----------
    session_timeout_seconds : float
        Time without requests after which a session is closed.
    """

    def __init__(self, session_timeout_seconds: float) -> None:
        self._timeout_seconds = session_timeout_seconds + SLACK_SECONDS
        self._running: dict[SessionKey, RunningSession] = {}
        # Ordered by the time of the end.
        self._ended: dict[SessionKey, tuple[str, Seconds]] = {}

    def begin(self, service: ServiceName, session: SessionId, version: str) -> None:
        """Record that a request of a session is sent to a version."""
        key = (service, session)
        self._ended.pop(key, None)
        running = self._running.setdefault(key, RunningSession(version))
        running.version = version
        running.requests += 1

    def end(self, service: ServiceName, session: SessionId, now: Seconds) -> None:
        """Record that a request has ended, whether it was answered or not."""
        key = (service, session)
        running = self._running[key]
        running.requests -= 1
        if not running.requests:
            del self._running[key]
            self._ended[key] = (running.version, now)
            self._expire(now)

    def find_version(
        self, service: ServiceName, session: SessionId, now: Seconds
    ) -> str | None:
        """Return the version of an open session; None if it is not open."""
        key = (service, session)
        running = self._running.get(key)
        if running is not None:
            return running.version
        ended = self._ended.get(key)
        if ended is None or now - ended[1] > self._timeout_seconds:
            return None
        return ended[0]

    def list_open(
        self, rollout: ServiceRollout, now: Seconds, share: float = FIRST_SHARE
    ) -> list[SessionId]:
        """Return open sessions on other versions that a share would move."""
        self._expire(now)
        return [
            session
            for (service, session), version in self._list_versions()
            if service == rollout.service
            and version != rollout.target
            and hash_affinity_key(rollout, session) < share
        ]

    def list_on(
        self, service: ServiceName, versions: Collection[str], now: Seconds
    ) -> list[SessionId]:
        """Return open sessions on some versions of a service."""
        self._expire(now)
        return [
            session
            for (of, session), version in self._list_versions()
            if of == service and version in versions
        ]

    def _list_versions(self) -> Iterator[tuple[SessionKey, str]]:
        for key, running in self._running.items():
            yield key, running.version
        for key, (version, _) in self._ended.items():
            yield key, version

    def _expire(self, now: Seconds) -> None:
        while self._ended:
            key, (_, at) = next(iter(self._ended.items()))
            if now - at <= self._timeout_seconds:
                return
            del self._ended[key]
