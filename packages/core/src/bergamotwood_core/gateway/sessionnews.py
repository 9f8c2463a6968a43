"""Which open sessions entries have to learn at once.

A session must not move to a new version in the first half of its roll-out. It answers
callers that change the entry right after their first request, while the first share
begins: with the regular polls the other entries learn of it up to a second later.
"""

from collections.abc import Collection, Container

from bergamotwood_core.gateway.rollout import RolloutView, hash_affinity_key
from bergamotwood_core.ids import InstanceId, SessionId


def is_news(view: RolloutView, session: SessionId, version: str) -> bool:
    """Whether other entries need a session that begins on a version.

    Parameters
    ----------
    view : RolloutView
        Newest roll-out of the service.
    session : SessionId
        The session.
    version : str
        Version that its request is sent to.
    """
    if not view.exchanges_sessions or version == view.rollout.target:
        return False
    return hash_affinity_key(view.rollout, session) < view.exchanged_share


class SessionNews:
    """Sessions that each entry was told, so that only new ones wake its poll."""

    def __init__(self) -> None:
        self._told: dict[InstanceId, frozenset[SessionId]] = {}

    def has_news(self, entry: InstanceId, sessions: Collection[SessionId]) -> bool:
        """Whether an entry that was told some sessions lacks one of these."""
        told = self._told.get(entry)
        return told is not None and not told.issuperset(sessions)

    def record_sent(self, entry: InstanceId, sessions: Collection[SessionId]) -> None:
        """Record that an entry is sent all these sessions."""
        self._told[entry] = frozenset(sessions)

    def record_own(self, entry: InstanceId, sessions: Collection[SessionId]) -> None:
        """Record sessions that an entry states itself."""
        if entry in self._told:
            self._told[entry] |= frozenset(sessions)

    def retain(self, entries: Container[InstanceId]) -> None:
        """Forget all entries except some."""
        self._told = {key: told for key, told in self._told.items() if key in entries}
