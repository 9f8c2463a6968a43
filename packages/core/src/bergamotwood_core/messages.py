"""Status messages of endpoints and entries."""

from msgspec import Struct, field

from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    InstanceId,
    LogIndex,
    Sequence,
    VersionId,
)
from bergamotwood_core.states import EndpointKind, EndpointState, EntryState

MAX_PORT = 65_535


class Address(Struct, frozen=True):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse an address of the form `host:port`.

    Raises
    ------
    ValueError
        If the text has another form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port[:6]) > MAX_PORT or port[6:]:
        raise ValueError(f"not an address with a port: {text!r:.60}")
    return Address(host, int(port))


class Announcement(Struct, frozen=True, forbid_unknown_fields=True):
    """Periodic status of an endpoint, sent about every second.

    Parameters
    ----------
    id : EndpointId
        Endpoint.
    incarnation, sequence : int
        Increase with each start, and with each announcement after a start.
    address : Address
        Address that accepts requests.
    data_centre : DataCentre
        Data centre of the endpoint.
    kind : EndpointKind
        Model engine or plain service.
    versions : tuple of str
        Loaded model versions; for a plain service, its name.
    capacity : int
        Maximum number of concurrent requests.
    load : float
        Running and queued requests, as last measured.
    checks_fencing : bool
        Whether the endpoint refuses orders with an old fencing token.
    state : EndpointState
        Serving or leaving; leaving is final for an incarnation.
    prefixes : tuple of int
        64-bit hashes of the prompt prefixes in its cache, as a hint.
    crash_suspects : tuple of str
        Fingerprints that were running when the previous incarnation crashed.
    """

    id: EndpointId
    incarnation: Incarnation
    sequence: Sequence
    address: Address
    data_centre: DataCentre
    kind: EndpointKind
    versions: tuple[VersionId, ...] = ()
    capacity: int = 1
    load: float = 0.0
    checks_fencing: bool = False
    state: EndpointState = EndpointState.SERVING
    prefixes: tuple[int, ...] = ()
    crash_suspects: tuple[str, ...] = ()


class LoadReport(Struct, frozen=True, array_like=True):
    """New load of an endpoint, sent while its membership fields are unchanged."""

    id: EndpointId
    incarnation: Incarnation
    sequence: Sequence
    load: float


class EntryReport(Struct, frozen=True):
    """Status of an entry, sent to the control replicas.

    Parameters
    ----------
    id : InstanceId
        Entry.
    incarnation, sequence : int
        Order of its reports.
    address : Address
        Address for callers.
    data_centre : DataCentre
        Data centre of the entry.
    state : EntryState
        Serving or draining; callers never get the address of a draining entry.
    in_flight : int
        Number of requests being served.
    applied : LogIndex
        Log index of the configuration in force.
    """

    id: InstanceId
    incarnation: Incarnation
    sequence: Sequence
    address: Address
    data_centre: DataCentre
    state: EntryState = EntryState.SERVING
    in_flight: int = 0
    applied: LogIndex = field(default_factory=lambda: LogIndex(0))
