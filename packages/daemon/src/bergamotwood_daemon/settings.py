"""Settings of a daemon, read from one YAML file."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from yaml import YAMLError, safe_load

from bergamotwood_core.configuration import KeyHash, Name
from bergamotwood_core.errors import SettingsError

MAX_SETTINGS_BYTES = 1_000_000

Port = Annotated[int, Field(ge=0, le=65_535)]
PositiveSeconds = Annotated[float, Field(gt=0.0, le=3_600.0)]


class Role(StrEnum):
    """What an instance does."""

    ENTRY = "entry"
    CONTROL = "control"


class _Part(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class Listen(_Part):
    """An IP number and a port to listen on."""

    host: str = "127.0.0.1"
    port: Port


class ReplicaAddress(_Part):
    """A control replica and where its peers reach it."""

    id: Name
    host: str
    port: Port


class Limits(_Part):
    """Bounds on what comes from outside.

    Parameters
    ----------
    body_bytes, answer_bytes : int
        Largest request body, and largest stored answer.
    body_seconds : float
        Time that a sender has for its body.
    """

    body_bytes: int = Field(ge=1_024, default=4_000_000)
    answer_bytes: int = Field(ge=1_024, default=256_000)
    body_seconds: PositiveSeconds = 10.0


class Timeouts(_Part):
    """Waits, in seconds.

    Parameters
    ----------
    connect : float
        Dialling an endpoint.
    first_chunk, next_chunk : float
        Silence allowed before the first and between later chunks of an answer.
    call : float
        Time that a caller is kept waiting for a non-idempotent request.
    late : float
        Silence after which a plain service's answer is given up.
    ledger : float
        Waiting for the ledger to commit.
    request : float
        Whole request where the caller names no deadline.
    drain : float
        Time that a leaving entry serves on while callers keep old answers.
    """

    connect: PositiveSeconds = 1.0
    first_chunk: PositiveSeconds = 10.0
    next_chunk: PositiveSeconds = 2.0
    call: PositiveSeconds = 10.0
    late: PositiveSeconds = 60.0
    ledger: PositiveSeconds = 4.0
    request: PositiveSeconds = 120.0
    drain: PositiveSeconds = 6.0


class Settings(_Part):
    """Everything a daemon is told at its start.

    Parameters
    ----------
    instance, data_centre : str
        Name and place of the instance.
    listen, peer_listen : Listen
        Where callers and other daemons reach it.
    roles : tuple of Role
        Entry, control, or both.
    data_folder : Path or None
        Needed by the control role.
    replicas : tuple of ReplicaAddress
        The control replicas.
    operator_key_hashes, endpoint_key_hashes : tuple of str
        SHA-256 of the keys that operators and endpoints show.
    instance_key : str
        Shared by the daemons.
    session_secret : str
        Authenticates session ids.
    max_config_age_seconds : float
        An entry with an older configuration takes no new work.
    address_ttl_seconds : int
        How long callers may keep the answer of `/v1/addresses`.
    rating_address : Listen or None
        Where the rating service is.
    order_key : str
        Shown to endpoints with orders.
    trace_file : Path or None
        Where spans are written as OTLP JSON lines.
    """

    instance: Name
    data_centre: Name
    listen: Listen
    peer_listen: Listen
    roles: tuple[Role, ...] = (Role.ENTRY,)
    data_folder: Path | None = None
    replicas: tuple[ReplicaAddress, ...] = Field(min_length=1, max_length=7)
    operator_key_hashes: tuple[KeyHash, ...] = ()
    endpoint_key_hashes: tuple[KeyHash, ...] = ()
    instance_key: str = Field(min_length=16)
    session_secret: str = Field(min_length=16)
    order_key: str = ""
    max_config_age_seconds: PositiveSeconds = 5.0
    address_ttl_seconds: int = Field(ge=1, le=3_600, default=5)
    rating_address: Listen | None = None
    trace_file: Path | None = None
    limits: Limits = Limits()
    timeouts: Timeouts = Timeouts()

    @model_validator(mode="after")
    def _check_roles(self) -> "Settings":
        if Role.CONTROL not in self.roles:
            return self
        if self.data_folder is None:
            raise ValueError("data_folder: needed by the control role")
        if self.instance not in {replica.id for replica in self.replicas}:
            raise ValueError("replicas: must name this instance, which has control")
        return self

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

    Raises
    ------
    SettingsError
        With every fault at once.
    """
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    if len(raw) > MAX_SETTINGS_BYTES:
        raise SettingsError(f"{path}: larger than {MAX_SETTINGS_BYTES} bytes")
    try:
        document = safe_load(raw)
    except YAMLError as error:
        raise SettingsError(f"{path}: not YAML: {error}") from error
    try:
        return Settings.model_validate(document)
    except ValidationError as error:
        raise SettingsError(f"{path}: invalid settings", _list_faults(error)) from error


def _list_faults(error: ValidationError) -> tuple[str, ...]:
    faults = []
    for item in error.errors():
        place = ".".join(str(part) for part in item["loc"]) or "settings"
        faults.append(f"{place}: {item['msg']} (found {item['input']!r:.80})")
    return tuple(faults)
