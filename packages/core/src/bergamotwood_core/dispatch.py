"""Final check before an attempt is sent to an endpoint."""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import AuthorizationError, Code, RefusedError
from bergamotwood_core.ids import EndpointId, Fingerprint, VersionId, WorkspaceId
from bergamotwood_core.quarantine import Isolated, Unsuspected, require_clearance
from bergamotwood_core.states import VersionState
from bergamotwood_core.tables import (
    ConfigurationTables,
    DirectoryTables,
    Endpoint,
    Tables,
)
from bergamotwood_core.target import ServiceTarget, Target, VersionTarget

MAX_CONFIG_AGE_SECONDS = 5.0


def check_dispatch(
    tables: Tables,
    workspace: WorkspaceId,
    target: Target,
    endpoint: EndpointId,
    config_age: Seconds,
    max_config_age: Seconds,
    fingerprint: Fingerprint,
) -> Unsuspected | Isolated:
    """Check all conditions that may have changed since a request was admitted.

    Every attempt is checked separately, whether it is a cascade step, a retry, a
    hedge or a resumed stream.

    Parameters
    ----------
    tables : Tables
        Current configuration and directory.
    workspace : WorkspaceId
        Workspace of the request.
    target : Target
        Version or service to run.
    endpoint : EndpointId
        Chosen endpoint.
    config_age, max_config_age : Seconds
        Age of the configuration of this daemon, and its limit.
    fingerprint : Fingerprint
        Fingerprint of the request.

    Returns
    -------
    Unsuspected or Isolated
        Clearance of the attempt.

    Raises
    ------
    AuthorizationError
        If the workspace may not use the target.
    RefusedError
        If the configuration is stale, the version is withdrawn, the endpoint has
        left, is leaving or has not loaded the target, or the request is quarantined.
    """
    if config_age > max_config_age:
        detail = f"configuration is {config_age:.1f} s old"
        raise RefusedError(detail, Code.CONFIG_STALE, retry_after=1.0)
    _check_rights(tables.configuration, workspace, target)
    _check_endpoint(tables.directory, target, endpoint)
    return require_clearance(tables.configuration.suspects, fingerprint)


def _check_rights(
    tables: ConfigurationTables, workspace: WorkspaceId, target: Target
) -> None:
    """Check that the workspace may currently use the target."""
    entity = tables.workspaces.get(workspace)
    if entity is None:
        raise AuthorizationError(f"workspace {workspace} is gone", Code.FORBIDDEN)
    match target:
        case VersionTarget(version):
            if version not in entity.versions:
                detail = f"workspace {workspace} may not use {version}"
                raise AuthorizationError(detail, Code.MODEL_NOT_ALLOWED)
            _check_version(tables, version)
        case ServiceTarget(service):
            if service not in entity.services or service not in tables.services:
                detail = f"workspace {workspace} may not use service {service}"
                raise AuthorizationError(detail, Code.FORBIDDEN)


def _check_version(tables: ConfigurationTables, version: VersionId) -> None:
    """Check that a version still accepts new work."""
    entity = tables.versions.get(version)
    if entity is None or entity.state is VersionState.WITHDRAWN:
        raise RefusedError(f"version {version} is withdrawn", Code.VERSION_WITHDRAWN)


def _check_endpoint(
    directory: DirectoryTables, target: Target, id_: EndpointId
) -> None:
    """Check that an endpoint still accepts work for the target."""
    endpoint = directory.endpoints.get(id_)
    if endpoint is None or not endpoint.serving:
        raise _make_endpoint_error(f"endpoint {id_} has left")
    if not _runs_target(endpoint, target):
        raise _make_endpoint_error(f"endpoint {id_} has not loaded {target.name}")


def _runs_target(endpoint: Endpoint, target: Target) -> bool:
    """Whether the endpoint has announced the target."""
    return target.name in endpoint.announcement.versions


def _make_endpoint_error(detail: str) -> RefusedError:
    """Return the error of an unusable endpoint; another endpoint may be usable."""
    return RefusedError(detail, Code.NO_ENDPOINT)
