"""Versions that were rolled back; they get no request until an order brings them back.

The endpoints of such a version may live on, or come back, while later versions are
rolled out. It answers roll-outs of one service that follow each other.
"""

from collections.abc import Collection, Iterable, Mapping

from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.ids import LogIndex, ServiceName

# Withdrawn versions that are kept of a service, and services that have any.
MAX_VERSIONS = 64
MAX_SERVICES = 1_024
# Time after an order in which copies of it may arrive.
RESEND_SECONDS = 10.0

Withdrawn = dict[str, list[str]]


def withdraw_version(withdrawn: Withdrawn, service: str, version: str) -> Withdrawn:
    """Return the withdrawn versions with one more, the newest of its service last."""
    versions = [item for item in withdrawn.get(service, ()) if item != version]
    others = {key: item for key, item in withdrawn.items() if key != service}
    while len(others) >= MAX_SERVICES:
        del others[next(iter(others))]
    return {**others, service: [*versions, version][-MAX_VERSIONS:]}


def restore_version(withdrawn: Withdrawn, service: str, version: str) -> Withdrawn:
    """Return the withdrawn versions without one."""
    if version not in withdrawn.get(service, ()):
        return withdrawn
    versions = [item for item in withdrawn[service] if item != version]
    others = {key: item for key, item in withdrawn.items() if key != service}
    return {**others, service: versions} if versions else others


def is_new_order(current: ServiceRollout, ordered_at: float) -> bool:
    """Whether an order of the version that was last rolled out brings it back.

    It does if the version was rolled back; soon after the first order it may be a copy
    of that one.
    """
    seconds = max(current.duration_seconds, RESEND_SECONDS)
    return (
        current.outcome is RolloutOutcome.ROLLED_BACK
        and ordered_at > current.ordered_at + seconds
    )


class WithdrawnVersions:
    """What an entry knows of the versions that were rolled back.

    Attributes
    ----------
    index : LogIndex
        Index of the change that it knows of; -1 before the control group has told any,
        as below level 2.
    """

    def __init__(self) -> None:
        self.index = LogIndex(-1)
        self._told: dict[str, frozenset[str]] = {}
        self._seen: dict[str, set[str]] = {}

    def update(self, withdrawn: Mapping[str, Collection[str]], index: LogIndex) -> None:
        """Apply what the control group tells, unless it is older."""
        if index <= self.index:
            return
        if self.index >= 0:
            # What was seen before the group kept withdrawals is in no later list.
            self._seen.clear()
        self.index = index
        self._told = {key: frozenset(item) for key, item in withdrawn.items()}

    def observe(self, rollouts: Iterable[ServiceRollout]) -> None:
        """Note the newest roll-out of each service."""
        for rollout in rollouts:
            seen = self._seen.setdefault(rollout.service, set())
            if rollout.outcome is not RolloutOutcome.ROLLED_BACK:
                seen.discard(rollout.target)
            elif len(seen) < MAX_VERSIONS:
                seen.add(rollout.target)

    def list_versions(self, service: ServiceName) -> frozenset[str]:
        """Return the withdrawn versions of a service."""
        told = self._told.get(service, frozenset())
        seen = self._seen.get(service)
        return told | seen if seen else told


def is_newer_rollout(known: ServiceRollout | None, rollout: ServiceRollout) -> bool:
    """Whether a roll-out, as told by a replica, is at least as new as the known one.

    A replica that has just started may tell an older state.
    """
    if known is None or known.index != rollout.index:
        return known is None or known.index < rollout.index
    is_settled = known.outcome is not RolloutOutcome.IN_PROGRESS
    return not is_settled or rollout.outcome is not RolloutOutcome.IN_PROGRESS
