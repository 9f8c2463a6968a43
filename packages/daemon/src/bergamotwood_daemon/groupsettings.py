"""Settings of a log group, and the interface of its message transport."""

from pathlib import Path
from typing import Protocol

from msgspec import Struct

from bergamotwood_core.ids import DataCentre, InstanceId
from bergamotwood_core.replicastate import ReplicaSettings
from bergamotwood_core.tolerance import Tolerance


class Transport(Protocol):
    """Sends messages to other instances."""

    def send(self, target: InstanceId, body: bytes) -> None:
        """Send without blocking; the message may be lost."""
        ...


class GroupSettings(Struct, frozen=True):
    """Settings of a log group on one instance.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    initial_voters : tuple of InstanceId
        Instances that vote at first, in the same order on each instance.
    folder : Path
        Parent of the groups' data folders.
    tick_seconds, heartbeat_seconds : float
        Time between ticks, and between heartbeats.
    election_seconds : float
        Minimum time without a leader before an election.
    lease_seconds : float
        Duration of the leader lease; less than `election_seconds`.
    snapshot_entries : int
        Number of log entries after which a snapshot replaces the log on disk, once the
        log is as large as the previous snapshot.
    kept_entries : int
        Number of log entries before a snapshot that stay in memory, for followers.
    inbox_limit : int
        Maximum number of queued inputs.
    command_bytes : int
        Maximum size of a command in bytes.
    forms_group, open_membership, tolerance, level, data_centre, exchange_level
        As in `ReplicaSettings`.
    """

    instance: InstanceId
    initial_voters: tuple[InstanceId, ...]
    folder: Path
    tick_seconds: float = 0.05
    heartbeat_seconds: float = 0.2
    election_seconds: float = 1.0
    lease_seconds: float = 0.8
    snapshot_entries: int = 1000
    kept_entries: int = 500
    inbox_limit: int = 10_000
    command_bytes: int = 1024 * 1024
    forms_group: bool = True
    open_membership: bool = False
    tolerance: Tolerance = Tolerance()
    level: int = 0
    data_centre: DataCentre = DataCentre("")
    exchange_level: int = 0

    def build_replica_settings(self) -> ReplicaSettings:
        """Return the settings of the core replica, which does no input or output."""
        return ReplicaSettings(
            self.instance,
            self.initial_voters,
            election_seconds=self.election_seconds,
            heartbeat_seconds=self.heartbeat_seconds,
            lease_seconds=self.lease_seconds,
            forms_group=self.forms_group,
            open_membership=self.open_membership,
            tolerance=self.tolerance,
            level=self.level,
            data_centre=self.data_centre,
            exchange_level=self.exchange_level,
        )
