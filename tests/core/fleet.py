"""Builders of small endpoint and configuration tables for tests."""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Model, Service, Version, Workspace
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    ModelName,
    Sequence,
    ServiceName,
    VersionId,
    WorkspaceId,
)
from bergamotwood_core.messages import Address, Announcement
from bergamotwood_core.states import EndpointKind, EndpointState, VersionState
from bergamotwood_core.tables import DirectoryTables, Endpoint, Tables

VERSION = VersionId("reader:1")
SERVICE = ServiceName("parcels")
WORKSPACE = WorkspaceId("kubwa")
WESTLANDS = DataCentre("westlands")
KAREN = DataCentre("karen")


def make_endpoint(
    name: str,
    data_centre: DataCentre = WESTLANDS,
    load: float = 0.0,
    capacity: int = 8,
    versions: tuple[str, ...] = (VERSION,),
    state: EndpointState = EndpointState.SERVING,
) -> Endpoint:
    """Make an endpoint as the directory holds it."""
    announcement = Announcement(
        id=EndpointId(name),
        incarnation=Incarnation(1),
        sequence=Sequence(1),
        address=Address("127.0.0.1", 9000),
        data_centre=data_centre,
        kind=EndpointKind.MODEL,
        versions=tuple(VersionId(version) for version in versions),
        capacity=capacity,
        load=load,
        state=state,
    )
    return Endpoint(announcement, Seconds(0.0))


def make_directory(*endpoints: Endpoint) -> DirectoryTables:
    """Make a directory with the given endpoints."""
    return DirectoryTables({endpoint.id: endpoint for endpoint in endpoints})


def make_tables(*endpoints: Endpoint) -> Tables:
    """Make tables with one workspace, one model version and one service."""
    tables = Tables(directory=make_directory(*endpoints))
    version = Version(id=VERSION, state=VersionState.SERVING)
    configuration = tables.configuration
    configuration.models[ModelName("reader")] = Model(
        name="reader", current=VERSION, versions=(version,)
    )
    configuration.versions[VERSION] = version
    configuration.services[SERVICE] = Service(name=SERVICE)
    configuration.workspaces[WORKSPACE] = Workspace(
        name=WORKSPACE, versions=(VERSION,), services=(SERVICE,)
    )
    return tables
