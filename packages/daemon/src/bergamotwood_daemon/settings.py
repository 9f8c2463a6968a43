"""Settings of a daemon, read from one YAML file."""

from enum import StrEnum
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from bergamotwood_core.configuration import KeyHash, Name
from bergamotwood_core.document import DocumentError, list_faults, load_document
from bergamotwood_core.errors import SettingsError
from bergamotwood_core.memory import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    MEBIBYTE,
)
from bergamotwood_daemon.settingscheck import SECRET_FIELDS, find_cross_field_faults

MAX_SETTINGS_BYTES = 1_000_000
# Least memory and descriptors of a daemon that has no callers.
MIN_MEMORY_BYTES = 64 * MEBIBYTE
MIN_DESCRIPTORS = 256


def _check_host(host: str) -> str:
    try:
        ip_address(host)
    except ValueError:
        raise ValueError("must be an IP address")
    return host


Host = Annotated[str, AfterValidator(_check_host)]
Port = Annotated[int, Field(ge=0, le=65_535)]
PositiveSeconds = Annotated[float, Field(gt=0.0, le=3_600.0)]


class Role(StrEnum):
    """What an instance does."""

    ENTRY = "entry"
    CONTROL = "control"


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid", allow_inf_nan=False)


class SocketAddress(_Section):
    """An IP address and a port."""

    host: Host = "127.0.0.1"
    port: Port


class ReplicaAddress(_Section):
    """A control replica and the address at which its peers reach it."""

    id: Name
    host: Host
    port: Annotated[int, Field(ge=1, le=65_535)]


class Limits(_Section):
    """Limits on requests and answers.

    Parameters
    ----------
    body_bytes, answer_bytes : int
        Maximum size of a request body, and of a stored answer, in bytes.
    body_seconds : float
        Time within which a caller must send its body.
    memory_bytes : int
        Memory that the process is given; a share of it may be held for callers.
    descriptors : int
        Descriptors that the process may have open.
    """

    body_bytes: int = Field(ge=1_024, default=4_000_000)
    answer_bytes: int = Field(ge=1_024, default=256_000)
    body_seconds: PositiveSeconds = 10.0
    memory_bytes: int = Field(ge=MIN_MEMORY_BYTES, default=DEFAULT_MEMORY_BYTES)
    descriptors: int = Field(ge=MIN_DESCRIPTORS, default=DEFAULT_DESCRIPTORS)


class Timeouts(_Section):
    """Timeouts in seconds.

    Parameters
    ----------
    connect : float
        Connecting to an endpoint.
    first_chunk, next_chunk : float
        Silence before the first chunk of an answer, and between later ones.
    call : float
        Wait of a caller for a non-idempotent request to a plain service, and silence
        of the endpoint after which an idempotent one has failed.
    late : float
        Silence of the endpoint after which a non-idempotent request to a plain
        service has failed; it may run on after its caller's wait.
    ledger : float
        Waiting for the ledger to commit.
    request : float
        Whole request, if the caller sets no deadline.
    drain : float
        Time that a draining entry keeps serving, while callers still cache its address.
    """

    connect: PositiveSeconds = 1.0
    first_chunk: PositiveSeconds = 10.0
    next_chunk: PositiveSeconds = 2.0
    call: PositiveSeconds = 10.0
    late: PositiveSeconds = 60.0
    ledger: PositiveSeconds = 4.0
    request: PositiveSeconds = 120.0
    drain: PositiveSeconds = 6.0


class Tls(_Section):
    """Certificate, private key, and the authority of the certificates of peers.

    Parameters
    ----------
    certificate, key : Path
        PEM files of this instance.
    authority : Path or None
        PEM file; callers must then present a certificate signed by it.
    """

    certificate: Path
    key: Path
    authority: Path | None = None


class WeightStore(_Section):
    """Rate limit of the weight store, which load orders keep to.

    Parameters
    ----------
    loads_per_second : float
        Sustained rate of loads.
    burst : int
        Number of loads that may start at once.
    """

    loads_per_second: float = Field(gt=0.0, le=1_000.0, default=1.0)
    burst: int = Field(ge=1, le=1_000, default=2)


class Settings(_Section):
    """Settings of a daemon.

    Parameters
    ----------
    instance, data_centre : str
        Name of the instance, and its data centre.
    nearby : tuple of str
        Data centres within a few milliseconds, used like its own.
    listen, peer_listen : SocketAddress
        Addresses to listen on for callers and for other daemons.
    advertise : SocketAddress or None
        Address given to callers in place of `listen`.
    roles : tuple of Role
        Entry, control, or both.
    data_folder : Path or None
        Folder of the log groups; required by the control role.
    replicas : tuple of ReplicaAddress
        The control replicas.
    operator_key_hashes, endpoint_key_hashes : tuple of str
        SHA-256 of the keys that operators and endpoints present.
    instance_key : str
        Key that the daemons share to authenticate each other.
    session_secret : str
        Authenticates session ids.
    max_config_age_seconds : float
        An entry with an older configuration takes no new work.
    address_ttl_seconds : int
        How long callers may cache the answer of `/v1/addresses`.
    rating_address : SocketAddress or None
        Address of the rating service.
    order_key : str
        Key that authenticates orders to endpoints.
    trace_file : Path or None
        Where spans are written as OTLP JSON lines.
    tls : Tls or None
        Encrypts connections of callers, endpoints and operators.
    peer_tls : Tls or None
        Encrypts connections between instances; requires `authority`.
    weight_store : WeightStore
        Rate limit of load orders.
    allow_plain : bool
        Whether the daemon may listen beyond loopback without encryption.
    limits : Limits
        Limits on requests and answers.
    timeouts : Timeouts
        Timeouts in seconds.
    """

    instance: Name
    data_centre: Name
    nearby: tuple[Name, ...] = ()
    listen: SocketAddress
    peer_listen: SocketAddress
    advertise: SocketAddress | None = None
    roles: tuple[Role, ...] = Field(min_length=1, default=(Role.ENTRY,))
    data_folder: Path | None = None
    replicas: tuple[ReplicaAddress, ...] = Field(min_length=1, max_length=7)
    operator_key_hashes: tuple[KeyHash, ...] = ()
    endpoint_key_hashes: tuple[KeyHash, ...] = ()
    instance_key: str = Field(min_length=16)
    session_secret: str = Field(min_length=16)
    order_key: str = ""
    max_config_age_seconds: PositiveSeconds = 5.0
    address_ttl_seconds: int = Field(ge=1, le=3_600, default=5)
    rating_address: SocketAddress | None = None
    trace_file: Path | None = None
    allow_plain: bool = False
    tls: Tls | None = None
    peer_tls: Tls | None = None
    weight_store: WeightStore = WeightStore()
    limits: Limits = Limits()
    timeouts: Timeouts = Timeouts()

    @property
    def advertised(self) -> SocketAddress:
        """Address that callers are told to use."""
        return self.advertise or self.listen

    @property
    def is_control(self) -> bool:
        """Whether this instance is a control replica."""
        return Role.CONTROL in self.roles

    @property
    def is_entry(self) -> bool:
        """Whether this instance serves callers."""
        return Role.ENTRY in self.roles


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : Path
        The file.

    Returns
    -------
    Settings
        Valid settings.

    Raises
    ------
    SettingsError
        When the file cannot be read or is invalid. Lists every fault with key, value
        and what is allowed.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        faults = (error.strerror or "cannot be read",)
        raise SettingsError(f"{path}: cannot be read", faults) from error
    try:
        document = load_document(content, MAX_SETTINGS_BYTES)
    except DocumentError as error:
        raise SettingsError(f"{path}: cannot be read", error.faults) from error
    return make_settings(document, str(path))


def make_settings(document: Any, source: str) -> Settings:
    """Check a settings document.

    Parameters
    ----------
    document : Any
        Content of the YAML file.
    source : str
        Origin of the document, for the error.

    Returns
    -------
    Settings
        Valid settings.

    Raises
    ------
    SettingsError
        When the document is invalid. Lists every fault.
    """
    faults = list(find_cross_field_faults(document))
    settings = None
    try:
        settings = Settings.model_validate(document)
    except ValidationError as error:
        faults = [*_list_field_faults(error), *faults]
    if settings is None or faults:
        raise SettingsError(f"{source}: invalid settings", tuple(faults))
    return settings


def _list_field_faults(error: ValidationError) -> list[str]:
    return [_redact_secret(fault) for fault in list_faults(error)]


def _redact_secret(fault: str) -> str:
    name = fault.partition(":")[0]
    if name not in SECRET_FIELDS:
        return fault
    return fault.partition(" (got ")[0]
