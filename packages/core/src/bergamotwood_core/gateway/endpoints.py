"""Endpoints that announce themselves, ordered by incarnation and sequence."""

from collections.abc import Iterable

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.machine import Departure
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    ModelName,
    Sequence,
    ServiceName,
)
from bergamotwood_core.states import EndpointState


class EndpointBeat(Struct, frozen=True, array_like=True):
    """What an endpoint says of itself.

    Parameters
    ----------
    endpoint : EndpointId
        Its id.
    incarnation : Incarnation
        Time of its start; a later one makes earlier ones void.
    sequence : Sequence
        Rises with each beat of an incarnation.
    service : ServiceName
        Service that it belongs to.
    address : str
        Host and port.
    data_centre : DataCentre
        Where it runs.
    version : str
        Version of its software.
    slots : int
        Requests that it runs at once.
    state : EndpointState
        Whether it wants new work.
    warmup_seconds : float
        How long it stays slow after its start.
    models : tuple of ModelName
        Models that it holds.
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
    """Newest beat of each endpoint.

    Parameters
    ----------
    silence_seconds : float
        Time without a beat after which an endpoint is forgotten. Requests find
        out sooner that it is gone; this bounds the table.

    Attributes
    ----------
    version : int
        Rises with each change that matters to entries.
    """

    def __init__(self, silence_seconds: float) -> None:
        self.version = 0
        self._silence = silence_seconds
        self._beats: dict[EndpointId, EndpointBeat] = {}
        self._heard: dict[EndpointId, Seconds] = {}
        self._departed: dict[tuple[EndpointId, Incarnation], EndpointState] = {}

    def __len__(self) -> int:
        return len(self._beats)

    def take_beat(self, beat: EndpointBeat, now: Seconds) -> bool:
        """Take in a beat; return whether it is news for other daemons."""
        held = self._beats.get(beat.endpoint)
        if held is not None and not _is_later(beat, held):
            return False
        if (beat.endpoint, beat.incarnation) in self._departed:
            return False
        if not self._claim_address(beat):
            return False
        self._beats[beat.endpoint] = beat
        self._heard[beat.endpoint] = now
        if held is None or _differs(beat, held):
            self.version += 1
        return True

    def take_departures(self, departures: Iterable[Departure]) -> None:
        """Drop incarnations that leave or have left."""
        for departure in departures:
            key = (departure.endpoint, departure.incarnation)
            if key in self._departed:
                continue
            self._departed[key] = departure.state
            held = self._beats.get(departure.endpoint)
            if held is not None and held.incarnation <= departure.incarnation:
                self._drop(departure.endpoint)

    def expire(self, now: Seconds) -> None:
        """Forget endpoints that have been silent for long."""
        limit = now - self._silence
        for endpoint in [key for key, at in self._heard.items() if at < limit]:
            self._drop(endpoint)

    def list_beats(self) -> tuple[EndpointBeat, ...]:
        """Return the newest beat of each endpoint."""
        return tuple(self._beats.values())

    def list_silent(self, now: Seconds, seconds: float) -> tuple[EndpointId, ...]:
        """Return the endpoints whose newest beat is older than some seconds."""
        return tuple(key for key, at in self._heard.items() if at < now - seconds)

    def find(self, endpoint: EndpointId) -> EndpointBeat | None:
        """Return the newest beat of an endpoint."""
        return self._beats.get(endpoint)

    def _claim_address(self, beat: EndpointBeat) -> bool:
        """Let the endpoint that started last have its address."""
        for other in list(self._beats.values()):
            if other.address != beat.address or other.endpoint == beat.endpoint:
                continue
            if other.incarnation > beat.incarnation:
                return False
            self._drop(other.endpoint)
        return True

    def _drop(self, endpoint: EndpointId) -> None:
        del self._beats[endpoint]
        del self._heard[endpoint]
        self.version += 1


def _is_later(beat: EndpointBeat, held: EndpointBeat) -> bool:
    return (beat.incarnation, beat.sequence) > (held.incarnation, held.sequence)


def _differs(beat: EndpointBeat, held: EndpointBeat) -> bool:
    """Whether a beat changes more than the time it came."""
    return (
        beat.incarnation != held.incarnation
        or beat.service != held.service
        or beat.address != held.address
        or beat.version != held.version
        or beat.state != held.state
        or beat.models != held.models
        or (beat.warmup_seconds > 0.0) != (held.warmup_seconds > 0.0)
    )
