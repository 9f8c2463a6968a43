"""Settings of a gateway daemon; a platform adapter creates them."""

from pathlib import Path

from msgspec import Struct

from bergamotwood_core.gateway.exposure import ExposureLimit
from bergamotwood_core.ids import DataCentre, InstanceId
from bergamotwood_core.memory import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
)
from bergamotwood_core.messages import Address
from bergamotwood_core.tolerance import Tolerance


class GatewayBounds(Struct, frozen=True):
    """Time limits and retry ratios that operators guarantee to users.

    Parameters
    ----------
    key_lease_seconds : float
        Configuration age up to which an entry accepts callers' keys.
    grace_period_seconds : float
        Time between SIGTERM and SIGKILL at shutdown.
    address_ttl_seconds : float
        Time to live of the list of entries that callers get.
    retry_ratio, retry_extra, retry_window_seconds : float
        Retries allowed in each window: a fraction of the requests, plus a fixed
        number for the whole fleet.
    retry_share_fraction : float
        Fraction of its share of these retries that an entry uses while it does not
        know what the fleet uses.
    session_timeout_seconds : float
        Longest pause between two requests of one session.
    acknowledge_timeout_seconds : float
        Maximum time until one call of an operator is answered.
    heartbeat_seconds : float
        Interval between two heartbeats of an endpoint.
    evacuation_lease_seconds : float or None
        Age of an entry's control state up to which it sends to endpoints, as it knows
        of evacuations; None if data centres are never evacuated.
    evacuation_acknowledge_seconds : float
        Maximum time until a replica answers an order to evacuate a data centre.
    warmup_overshoot, warmup_tolerance : float or None
        Requests that a cold endpoint may receive in a second: a multiple of what it
        can handle, plus a fixed number. None if cold endpoints are not limited.
    exposure_limit : ExposureLimit
        Requests that a bad version may get before the deadline of its roll-out.
    """

    key_lease_seconds: float = 4.0
    grace_period_seconds: float = 8.0
    address_ttl_seconds: float = 1.0
    retry_ratio: float = 0.5
    retry_extra: float = 10.0
    retry_window_seconds: float = 10.0
    retry_share_fraction: float = 1.0
    session_timeout_seconds: float = 5.0
    acknowledge_timeout_seconds: float = 0.9
    heartbeat_seconds: float = 1.0
    evacuation_lease_seconds: float | None = None
    evacuation_acknowledge_seconds: float = 2.0
    warmup_overshoot: float | None = None
    warmup_tolerance: float | None = None
    exposure_limit: ExposureLimit = ExposureLimit()


class GatewaySettings(Struct, frozen=True):
    """Settings that a gateway daemon gets at its start.

    Parameters
    ----------
    instance : InstanceId
        Id of the daemon: the host and port at which other daemons reach it.
    name : str
        Name used in logs.
    data_centre : DataCentre
        Data centre in which it runs.
    seeds : tuple of InstanceId
        Control replicas to contact first.
    bounds : GatewayBounds
        Time limits and retry ratios.
    caller_address : Address or None
        Address at which an entry accepts requests; None if it is no entry.
    relay_address : Address or None
        Address at which an entry accepts requests that other entries relay; None if
        it accepts none.
    readiness_address : Address or None
        Address at which an entry serves readiness checks and metrics.
    control_address : Address or None
        Address for calls of operators and endpoints; None if it is no control
        replica.
    data_folder : Path or None
        Directory in which a control replica stores its log.
    forms_group : bool
        Whether the seeds form a new control group: true only at the first start
        of the fleet.
    tolerance : Tolerance
        What the control group may lose at the same time.
    data_centres : frozenset of DataCentre
        All data centres that may be evacuated.
    memory_bytes : int
        Memory that the process is given; a share of it may be held for callers.
    descriptors : int
        Descriptors that the process may have open.
    """

    instance: InstanceId
    name: str
    data_centre: DataCentre
    seeds: tuple[InstanceId, ...]
    bounds: GatewayBounds = GatewayBounds()
    caller_address: Address | None = None
    relay_address: Address | None = None
    readiness_address: Address | None = None
    control_address: Address | None = None
    data_folder: Path | None = None
    forms_group: bool = False
    tolerance: Tolerance = Tolerance()
    data_centres: frozenset[DataCentre] = frozenset()
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    descriptors: int = DEFAULT_DESCRIPTORS
