"""Settings of a gateway daemon, filled in by an adapter."""

from pathlib import Path

from msgspec import Struct

from bergamotwood_core.ids import DataCentre, InstanceId
from bergamotwood_core.messages import Address


class GatewayBounds(Struct, frozen=True):
    """Times and ratios that operators promise to users.

    Parameters
    ----------
    key_lease_seconds : float
        Age of the configuration up to which callers' keys are believed.
    grace_seconds : float
        Time between SIGTERM and SIGKILL.
    address_seconds : float
        How long callers may keep a list of entries.
    retry_ratio, retry_extra, retry_window_seconds : float
        Repeats allowed in each window: a part of the requests, and some more.
    session_seconds : float
        Pause up to which requests belong to one session.
    acknowledge_seconds : float
        Time that an operator waits for an answer to one call.
    heartbeat_seconds : float
        Time between two beats of an endpoint.
    """

    key_lease_seconds: float = 4.0
    grace_seconds: float = 8.0
    address_seconds: float = 1.0
    retry_ratio: float = 0.5
    retry_extra: float = 10.0
    retry_window_seconds: float = 10.0
    session_seconds: float = 5.0
    acknowledge_seconds: float = 0.9
    heartbeat_seconds: float = 1.0


class GatewaySettings(Struct, frozen=True):
    """Everything that a gateway daemon is told at its start.

    Parameters
    ----------
    instance : InstanceId
        Where other daemons reach it: host and port for traffic between daemons.
    name : str
        Name for logs.
    data_centre : DataCentre
        Where it runs.
    seeds : tuple of InstanceId
        Control replicas to begin with.
    bounds : GatewayBounds
        Times and ratios.
    callers : Address or None
        Where an entry takes requests; None without the role.
    readiness : Address or None
        Where an entry answers readiness checks and metrics.
    control : Address or None
        Where operators and endpoints call; None without the role.
    data_folder : Path or None
        Disk of a control replica.
    forms_group : bool
        Whether the fleet starts for the first time.
    """

    instance: InstanceId
    name: str
    data_centre: DataCentre
    seeds: tuple[InstanceId, ...]
    bounds: GatewayBounds = GatewayBounds()
    callers: Address | None = None
    readiness: Address | None = None
    control: Address | None = None
    data_folder: Path | None = None
    forms_group: bool = False
