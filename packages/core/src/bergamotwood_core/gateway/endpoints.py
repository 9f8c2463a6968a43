"""Directory of endpoints, built from their heartbeats."""

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.changefeed import ChangeFeed
from bergamotwood_core.gateway.state_machine import Departure
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    ModelName,
    Sequence,
    ServiceName,
)
from bergamotwood_core.states import EndpointState

# Departures that the log has dropped and the directory still knows.
MAX_OUTDATED_DEPARTURES = 1_024


class EndpointHeartbeat(Struct, frozen=True, array_like=True):
    """State that an endpoint announces periodically.

    Parameters
    ----------
    endpoint : EndpointId
        Id of the endpoint.
    incarnation : Incarnation
        Start time of the process; a later incarnation supersedes earlier ones.
    sequence : Sequence
        Increases with each heartbeat of an incarnation.
    service : ServiceName
        Service that the endpoint belongs to.
    address : str
        Host and port of the endpoint.
    data_centre : DataCentre
        Location of the endpoint.
    version : str
        Version of the software that runs on the endpoint.
    slots : int
        Maximum number of concurrent requests.
    state : EndpointState
        Whether the endpoint accepts new requests.
    warmup_seconds : float
        Time until the endpoint reaches full speed; 0 once it is warm.
    models : tuple of ModelName
        Models that the endpoint has loaded.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    sequence: Sequence
    service: ServiceName
    address: str
    data_centre: DataCentre
    version: str = ""
    slots: int = 1
    state: EndpointState = EndpointState.SERVING
    warmup_seconds: float = 0.0
    models: tuple[ModelName, ...] = ()


class EndpointDirectory:
    """Latest heartbeat of each endpoint.

    Parameters
    ----------
    expiry_seconds : float
        Time without a heartbeat after which an endpoint is removed. This only limits
        the size of the table: requests detect a failed endpoint sooner.

    Attributes
    ----------
    feed : ChangeFeed
        Heartbeats with changes that entries need to know.
    """

    def __init__(self, expiry_seconds: float) -> None:
        self.feed: ChangeFeed[EndpointId, EndpointHeartbeat] = ChangeFeed()
        self._expiry = expiry_seconds
        self._heartbeats: dict[EndpointId, EndpointHeartbeat] = {}
        self._last_heard: dict[EndpointId, Seconds] = {}
        self._departed: dict[tuple[EndpointId, Incarnation], EndpointState] = {}

    def __len__(self) -> int:
        return len(self._heartbeats)

    def apply_heartbeat(self, heartbeat: EndpointHeartbeat, now: Seconds) -> bool:
        """Store a heartbeat; return whether it has to be forwarded to other daemons."""
        known = self._heartbeats.get(heartbeat.endpoint)
        if known is not None and not _is_newer(heartbeat, known):
            return False
        if (heartbeat.endpoint, heartbeat.incarnation) in self._departed:
            return False
        if not self._claim_address(heartbeat):
            return False
        self._heartbeats[heartbeat.endpoint] = heartbeat
        self._last_heard[heartbeat.endpoint] = now
        if known is None or _has_changed(heartbeat, known):
            self.feed.put(heartbeat.endpoint, heartbeat)
        return True

    def apply_departures(self, departures: list[Departure]) -> None:
        """Remove incarnations that are leaving or have left.

        Parameters
        ----------
        departures : list of Departure
            Departures that the log keeps; older ones are forgotten some time later.
        """
        if len(self._departed) > len(departures) + MAX_OUTDATED_DEPARTURES:
            kept = {(item.endpoint, item.incarnation) for item in departures}
            self._departed = {
                key: state for key, state in self._departed.items() if key in kept
            }
        for departure in departures:
            key = (departure.endpoint, departure.incarnation)
            if key in self._departed:
                continue
            self._departed[key] = departure.state
            known = self._heartbeats.get(departure.endpoint)
            if known is not None and known.incarnation <= departure.incarnation:
                self._drop(departure.endpoint)

    def expire(self, now: Seconds) -> None:
        """Remove endpoints whose latest heartbeat is older than the expiry time."""
        limit = now - self._expiry
        for endpoint in [key for key, at in self._last_heard.items() if at < limit]:
            self._drop(endpoint)

    def list_heartbeats(self) -> tuple[EndpointHeartbeat, ...]:
        """Return the latest heartbeat of each endpoint."""
        return tuple(self._heartbeats.values())

    def list_silent(self, now: Seconds, seconds: float) -> tuple[EndpointId, ...]:
        """Return the endpoints whose latest heartbeat is older than `seconds`."""
        return tuple(key for key, at in self._last_heard.items() if at < now - seconds)

    def find(self, endpoint: EndpointId) -> EndpointHeartbeat | None:
        """Return the latest heartbeat of an endpoint; None if it is unknown."""
        return self._heartbeats.get(endpoint)

    def is_serving(self, endpoint: EndpointId, incarnation: Incarnation) -> bool:
        """Whether an incarnation is in the directory, so that it gets requests."""
        known = self._heartbeats.get(endpoint)
        return known is not None and known.incarnation == incarnation

    def _claim_address(self, heartbeat: EndpointHeartbeat) -> bool:
        """Remove older endpoints at the address; return False if a newer one has it."""
        for other in list(self._heartbeats.values()):
            if (
                other.address != heartbeat.address
                or other.endpoint == heartbeat.endpoint
            ):
                continue
            if other.incarnation > heartbeat.incarnation:
                return False
            self._drop(other.endpoint)
        return True

    def _drop(self, endpoint: EndpointId) -> None:
        del self._heartbeats[endpoint]
        del self._last_heard[endpoint]
        self.feed.remove(endpoint)


def _is_newer(heartbeat: EndpointHeartbeat, known: EndpointHeartbeat) -> bool:
    return (heartbeat.incarnation, heartbeat.sequence) > (
        known.incarnation,
        known.sequence,
    )


def _has_changed(heartbeat: EndpointHeartbeat, known: EndpointHeartbeat) -> bool:
    """Whether a heartbeat reports a change that entries need to know."""
    return (
        heartbeat.incarnation != known.incarnation
        or heartbeat.service != known.service
        or heartbeat.address != known.address
        or heartbeat.version != known.version
        or heartbeat.state != known.state
        or heartbeat.models != known.models
        or (heartbeat.warmup_seconds > 0.0) != (known.warmup_seconds > 0.0)
    )
