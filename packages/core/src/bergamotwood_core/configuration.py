"""Configuration entities, as sent in tickets and held in tables."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from bergamotwood_core.ids import (
    CascadeName,
    ModelName,
    RolloutId,
    ServiceName,
    VersionId,
    WorkspaceId,
)
from bergamotwood_core.states import RolloutState, VersionState

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
VERSION_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}:[a-z0-9][a-z0-9._-]{0,62}$"
HASH_PATTERN = r"^[0-9a-f]{64}$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
VersionName = Annotated[str, Field(pattern=VERSION_PATTERN)]
KeyHash = Annotated[str, Field(pattern=HASH_PATTERN)]
Share = Annotated[float, Field(gt=0.0, le=1.0)]
Probability = Annotated[float, Field(ge=0.0, le=1.0)]


class Entity(BaseModel):
    """Base of the entities: immutable, rejects unknown fields, inf and NaN."""

    model_config = ConfigDict(frozen=True, extra="forbid", allow_inf_nan=False)


class Version(Entity):
    """One version of a model.

    Parameters
    ----------
    id : VersionId
        Id in the form `model:version`.
    state : VersionState
        A withdrawn version receives no new work.
    input_price, output_price : float
        Cost units per 1,000 prompt and generated tokens.
    """

    id: VersionName
    state: VersionState = VersionState.SERVING
    input_price: float = Field(ge=0.0, default=0.0)
    output_price: float = Field(ge=0.0, default=0.0)

    @property
    def version_id(self) -> VersionId:
        """The id as a `VersionId`."""
        return VersionId(self.id)


class Model(Entity):
    """A model with all of its versions; new sessions run on `current`."""

    name: Name
    current: VersionName
    versions: tuple[Version, ...] = Field(min_length=1, max_length=32)

    @property
    def key(self) -> ModelName:
        """Key in the tables."""
        return ModelName(self.name)


class Cascade(Entity):
    """Models tried in order, from the cheapest to the most expensive."""

    name: Name
    models: tuple[Name, ...] = Field(min_length=1, max_length=8)

    @property
    def key(self) -> CascadeName:
        """Key in the tables."""
        return CascadeName(self.name)


class Service(Entity):
    """A plain HTTP service.

    Requests to `idempotent_paths` may be repeated whatever their method. `price` is
    the cost of one attempt, in cost units.
    """

    name: Name
    idempotent_paths: tuple[str, ...] = Field(max_length=64, default=())
    price: float = Field(ge=0.0, default=0.0)

    @property
    def key(self) -> ServiceName:
        """Key in the tables."""
        return ServiceName(self.name)


class Workspace(Entity):
    """A customer of the router.

    Parameters
    ----------
    name : str
        Name of the workspace.
    key_hashes : tuple of str
        SHA-256 of each caller key, in hexadecimal.
    versions : tuple of str
        Model versions that its requests may run on.
    cascades, services : tuple of str
        Cascades and services that its requests may name.
    quality_target : float
        Target for the mean quality of its answers, 0 to 1.
    latency_weight : float
        Cost units that one second of time to first token is worth.
    share : float
        Weight in the division of scarce capacity among workspaces.
    max_in_flight : int
        Maximum number of its requests that one entry runs at once.
    """

    name: Name
    key_hashes: tuple[KeyHash, ...] = Field(max_length=16, default=())
    versions: tuple[VersionName, ...] = Field(max_length=256, default=())
    cascades: tuple[Name, ...] = Field(max_length=64, default=())
    services: tuple[Name, ...] = Field(max_length=64, default=())
    quality_target: Probability = 0.8
    latency_weight: float = Field(ge=0.0, default=0.0)
    share: float = Field(gt=0.0, default=1.0)
    max_in_flight: int = Field(ge=1, le=10_000, default=64)

    @property
    def key(self) -> WorkspaceId:
        """Key in the tables."""
        return WorkspaceId(self.name)


class Rollout(Entity):
    """A staged roll-out that moves new sessions from one version to another.

    Parameters
    ----------
    name : str
        Name of the roll-out.
    model, candidate : str
        The model, and the version that is to replace its current one.
    stages : tuple of float
        Increasing shares of new sessions, ending with 1.
    false_stop_rate : float
        Acceptable probability of stopping a candidate that is no worse.
    state : RolloutState
        State that the operator requests: running, paused or stopped.
    """

    name: Name
    model: Name
    candidate: VersionName
    stages: tuple[Share, ...] = Field(
        min_length=1, max_length=16, default=(0.01, 0.05, 0.25, 1.0)
    )
    false_stop_rate: float = Field(gt=0.0, lt=0.5, default=0.05)
    state: RolloutState = RolloutState.RUNNING

    @property
    def key(self) -> RolloutId:
        """Key in the tables."""
        return RolloutId(self.name)


class Removal(Entity):
    """Names of objects that a ticket removes."""

    workspaces: tuple[Name, ...] = ()
    models: tuple[Name, ...] = ()
    cascades: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    rollouts: tuple[Name, ...] = ()


class Ticket(Entity):
    """A numbered change with the complete new state of each object that it names."""

    number: int = Field(ge=1, le=2**53)
    note: str = Field(max_length=2_000, default="")
    workspaces: tuple[Workspace, ...] = Field(max_length=1_000, default=())
    models: tuple[Model, ...] = Field(max_length=1_000, default=())
    cascades: tuple[Cascade, ...] = Field(max_length=1_000, default=())
    services: tuple[Service, ...] = Field(max_length=1_000, default=())
    rollouts: tuple[Rollout, ...] = Field(max_length=1_000, default=())
    remove: Removal = Removal()
