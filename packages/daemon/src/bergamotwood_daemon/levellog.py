"""Log lines about builds that are too old for a log group's feature level."""

from bergamotwood_core.ids import InstanceId
from bergamotwood_daemon.log import log_event


class LevelLog:
    """Logs each refused instance once, until its level changes.

    Parameters
    ----------
    name : str
        Name of the group, for log lines.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._logged: dict[InstanceId, int] = {}

    def log_refused(self, refused: dict[InstanceId, int], group_level: int) -> None:
        """Log the replicas that are refused now and were not before."""
        if refused == self._logged:
            return
        for instance, level in refused.items():
            if self._logged.get(instance) != level:
                reason = "the replica is not added to the group"
                log_too_old(self._name, instance, level, group_level, reason)
        self._logged = dict(refused)


def log_too_old(
    name: str, instance: InstanceId, level: int, group_level: int | None, reason: str
) -> None:
    """Log that the build of an instance is too old, with both levels."""
    log_event(
        name,
        "Level too old.",
        instance=instance,
        level=int(level),
        group_level=group_level,
        reason=reason,
    )
