"""Directory of endpoints, built from their heartbeats."""

from msgspec import Struct
from msgspec.structs import replace

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

# Delay of heartbeats up to which one that was sent before the end of an evacuation is
# recognised.
MAX_HEARTBEAT_DELAY_SECONDS = 3.0
# Warm-up that is published of an endpoint that counts as cold although its heartbeat
# says otherwise. Only whether it is above 0 matters.
ASSUMED_WARMUP_SECONDS = 1.0
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


class ColdMark(Struct):
    """Mark of an incarnation that is cold until a later heartbeat says otherwise.

    Parameters
    ----------
    sequence : Sequence
        Newest heartbeat when it was marked, which is no evidence.
    marked_at : Seconds
        Time of the mark.
    first_later : Sequence or None
        First heartbeat that was received after the mark.
    """

    sequence: Sequence
    marked_at: Seconds
    first_later: Sequence | None = None

    def is_refuted(self, heartbeat: EndpointHeartbeat, now: Seconds) -> bool:
        """Record a later heartbeat; return whether it was sent after the mark.

        The first one may have been sent before the mark and read late, by a replica
        that was suspended.
        """
        if heartbeat.sequence <= self.sequence:
            return False
        if self.first_later is None:
            self.first_later = heartbeat.sequence
            return False
        return (
            heartbeat.sequence > self.first_later
            and now - self.marked_at >= MAX_HEARTBEAT_DELAY_SECONDS
        )


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
    warmup_services : frozenset of ServiceName
        Services whose endpoints may be cold.
    services : frozenset of ServiceName or None
        Services of the configuration; None before there is one. Only endpoints of
        these may take the id or the address of another.
    """

    def __init__(self, expiry_seconds: float) -> None:
        self.feed: ChangeFeed[EndpointId, EndpointHeartbeat] = ChangeFeed()
        self.warmup_services: frozenset[ServiceName] = frozenset()
        self.services: frozenset[ServiceName] | None = None
        self._cold_marks: dict[EndpointId, ColdMark] = {}
        self._marked_at: dict[DataCentre, Seconds] = {}
        self._expiry = expiry_seconds
        self._heartbeats: dict[EndpointId, EndpointHeartbeat] = {}
        self._last_heard: dict[EndpointId, Seconds] = {}
        self._departed: dict[tuple[EndpointId, Incarnation], EndpointState] = {}

    def __len__(self) -> int:
        return len(self._heartbeats)

    def apply_heartbeat(self, heartbeat: EndpointHeartbeat, now: Seconds) -> bool:
        """Store a heartbeat; return whether it has to be forwarded to other daemons."""
        known = self._heartbeats.get(heartbeat.endpoint)
        if known is not None and not self._supersedes(heartbeat, known):
            return False
        if (heartbeat.endpoint, heartbeat.incarnation) in self._departed:
            return False
        if not self._claim_address(heartbeat):
            return False
        self._heartbeats[heartbeat.endpoint] = heartbeat
        self._last_heard[heartbeat.endpoint] = now
        if known is None or known.incarnation != heartbeat.incarnation:
            self._mark_if_recent(heartbeat, now)
        published = self._cover_mark(heartbeat, now)
        previous = self.feed.find(heartbeat.endpoint)
        if previous is None or _has_changed(published, previous):
            self.feed.put(heartbeat.endpoint, published)
        return True

    def mark_cold(self, data_centre: DataCentre, now: Seconds) -> int:
        """Count the endpoints of a data centre as cold, as its evacuation has ended.

        Each counts as cold until a heartbeat says otherwise that was sent later. Only
        endpoints of `warmup_services` are affected.

        Parameters
        ----------
        data_centre : DataCentre
            The data centre.
        now : Seconds
            Current time.

        Returns
        -------
        int
            Number of endpoints that are marked.
        """
        self._marked_at[data_centre] = now
        marked = [
            heartbeat
            for heartbeat in self._heartbeats.values()
            if heartbeat.data_centre == data_centre
            and heartbeat.service in self.warmup_services
        ]
        for heartbeat in marked:
            self._cold_marks[heartbeat.endpoint] = ColdMark(heartbeat.sequence, now)
            self.feed.put(heartbeat.endpoint, self._cover_mark(heartbeat, now))
        return len(marked)

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

    def list_published(self) -> tuple[EndpointHeartbeat, ...]:
        """Return the latest heartbeats, with marked endpoints as cold."""
        return tuple(
            _assume_cold(heartbeat)
            if heartbeat.endpoint in self._cold_marks
            else heartbeat
            for heartbeat in self._heartbeats.values()
        )

    def list_silent(self, now: Seconds, seconds: float) -> tuple[EndpointId, ...]:
        """Return the endpoints whose latest heartbeat is older than `seconds`."""
        return tuple(key for key, at in self._last_heard.items() if at < now - seconds)

    def find(self, endpoint: EndpointId) -> EndpointHeartbeat | None:
        """Return the latest heartbeat of an endpoint; None if it is unknown."""
        return self._heartbeats.get(endpoint)

    def find_last_heard(
        self, endpoint: EndpointId, incarnation: Incarnation
    ) -> Seconds | None:
        """Return when the latest heartbeat of an incarnation was received."""
        if not self.is_serving(endpoint, incarnation):
            return None
        return self._last_heard[endpoint]

    def is_serving(self, endpoint: EndpointId, incarnation: Incarnation) -> bool:
        """Whether an incarnation is in the directory, so that it gets requests."""
        known = self._heartbeats.get(endpoint)
        return known is not None and known.incarnation == incarnation

    def _mark_if_recent(self, heartbeat: EndpointHeartbeat, now: Seconds) -> None:
        """Mark an endpoint that was first heard of just after its data centre's mark.

        Its heartbeat may have been sent before.
        """
        self._cold_marks.pop(heartbeat.endpoint, None)
        marked_at = self._marked_at.get(heartbeat.data_centre)
        if marked_at is None or now - marked_at >= MAX_HEARTBEAT_DELAY_SECONDS:
            return
        if heartbeat.service in self.warmup_services:
            self._cold_marks[heartbeat.endpoint] = ColdMark(
                heartbeat.sequence, marked_at, first_later=heartbeat.sequence
            )

    def _cover_mark(
        self, heartbeat: EndpointHeartbeat, now: Seconds
    ) -> EndpointHeartbeat:
        """Return what entries are told of an endpoint; drop a mark that is refuted."""
        mark = self._cold_marks.get(heartbeat.endpoint)
        if mark is None:
            return heartbeat
        if mark.is_refuted(heartbeat, now):
            del self._cold_marks[heartbeat.endpoint]
            return heartbeat
        return _assume_cold(heartbeat)

    def _claim_address(self, heartbeat: EndpointHeartbeat) -> bool:
        """Remove older endpoints at the address; return False if a newer one has it."""
        for other in list(self._heartbeats.values()):
            if (
                other.address != heartbeat.address
                or other.endpoint == heartbeat.endpoint
            ):
                continue
            if self._is_foreign(other) != self._is_foreign(heartbeat):
                continue
            if other.incarnation > heartbeat.incarnation:
                return False
            self._drop(other.endpoint)
        return True

    def _supersedes(
        self, heartbeat: EndpointHeartbeat, known: EndpointHeartbeat
    ) -> bool:
        if self._is_foreign(heartbeat) != self._is_foreign(known):
            return self._is_foreign(known)
        return _is_newer(heartbeat, known)

    def _is_foreign(self, heartbeat: EndpointHeartbeat) -> bool:
        """Whether a heartbeat is of a service that no configuration names.

        It may be of another writer, and names no endpoint to use.
        """
        return self.services is not None and heartbeat.service not in self.services

    def _drop(self, endpoint: EndpointId) -> None:
        del self._heartbeats[endpoint]
        del self._last_heard[endpoint]
        self._cold_marks.pop(endpoint, None)
        self.feed.remove(endpoint)


def _is_newer(heartbeat: EndpointHeartbeat, known: EndpointHeartbeat) -> bool:
    return (heartbeat.incarnation, heartbeat.sequence) > (
        known.incarnation,
        known.sequence,
    )


def _assume_cold(heartbeat: EndpointHeartbeat) -> EndpointHeartbeat:
    if heartbeat.warmup_seconds > 0.0:
        return heartbeat
    return replace(heartbeat, warmup_seconds=ASSUMED_WARMUP_SECONDS)


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
