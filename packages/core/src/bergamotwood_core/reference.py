"""Cross-references between the entities of a configuration."""

from collections import Counter
from collections.abc import Iterable, Iterator

from bergamotwood_core.configuration import Cascade, Model, Rollout, Workspace
from bergamotwood_core.ids import VersionId
from bergamotwood_core.states import RolloutState, VersionState
from bergamotwood_core.tables import ConfigurationTables

# Maximum number of objects of one kind in the tables.
MAX_OBJECTS = 10_000
ACTIVE_STATES = (RolloutState.RUNNING, RolloutState.PAUSED)


def find_reference_faults(
    tables: ConfigurationTables, workspaces: Iterable[Workspace]
) -> Iterator[str]:
    """Find invalid references and other inconsistencies of a configuration.

    Parameters
    ----------
    tables : ConfigurationTables
        The whole configuration.
    workspaces : iterable of Workspace
        Workspaces whose references are checked.

    Yields
    ------
    str
        The object and what is wrong with it.
    """
    yield from _find_size_faults(tables)
    for model in tables.models.values():
        yield from _find_model_faults(model)
    for cascade in tables.cascades.values():
        yield from _find_cascade_faults(tables, cascade)
    for workspace in workspaces:
        yield from _find_workspace_faults(tables, workspace)
    yield from _find_key_faults(tables)
    for rollout in tables.rollouts.values():
        yield from _find_rollout_faults(tables, rollout)
    yield from _find_rollout_conflicts(tables)


def is_active(tables: ConfigurationTables, rollout: Rollout) -> bool:
    """Tell whether a roll-out is running or paused."""
    progress = tables.progress.get(rollout.key)
    state = progress.state if progress else rollout.state
    return state in ACTIVE_STATES


def find_repeated(names: Iterable[str]) -> list[str]:
    """List the names that occur more than once, sorted."""
    counts = Counter(names)
    return sorted(name for name, count in counts.items() if count > 1)


def _find_size_faults(tables: ConfigurationTables) -> Iterator[str]:
    sizes = {
        "workspaces": len(tables.workspaces),
        "models": len(tables.models),
        "cascades": len(tables.cascades),
        "services": len(tables.services),
        "rollouts": len(tables.rollouts),
    }
    for kind, size in sizes.items():
        if size > MAX_OBJECTS:
            yield f"{kind}: {size} objects, at most {MAX_OBJECTS}"


def _find_model_faults(model: Model) -> Iterator[str]:
    place = f"model {model.name}"
    for name in find_repeated(version.id for version in model.versions):
        yield f"{place}: version {name} stands twice"
    for version in model.versions:
        if version.id.partition(":")[0] != model.name:
            yield f"{place}: version {version.id} must begin with '{model.name}:'"
    states = {version.id: version.state for version in model.versions}
    if model.current not in states:
        yield f"{place}: current {model.current} is not among its versions"
    elif states[model.current] is VersionState.WITHDRAWN:
        yield f"{place}: current {model.current} is withdrawn"


def _find_cascade_faults(
    tables: ConfigurationTables, cascade: Cascade
) -> Iterator[str]:
    place = f"cascade {cascade.name}"
    if cascade.name in tables.models:
        yield f"{place}: a model has the same name"
    for name in find_repeated(cascade.models):
        yield f"{place}: model {name} stands twice"
    for name in cascade.models:
        if name not in tables.models:
            yield f"{place}: unknown model {name}"


def _find_workspace_faults(
    tables: ConfigurationTables, workspace: Workspace
) -> Iterator[str]:
    place = f"workspace {workspace.name}"
    for name in workspace.versions:
        if name not in tables.versions:
            yield f"{place}: unknown version {name}"
    for name in workspace.services:
        if name not in tables.services:
            yield f"{place}: unknown service {name}"
    for name in workspace.cascades:
        cascade = tables.cascades.get(name)
        if cascade is None:
            yield f"{place}: unknown cascade {name}"
            continue
        yield from _find_step_faults(tables, workspace, cascade)


def _find_step_faults(
    tables: ConfigurationTables, workspace: Workspace, cascade: Cascade
) -> Iterator[str]:
    allowed = set(workspace.versions)
    for name in cascade.models:
        model = tables.models.get(name)
        if model is None or _has_allowed_version(model, allowed):
            continue
        yield (
            f"workspace {workspace.name}: may use no serving version of model "
            f"{name} in cascade {cascade.name}"
        )


def _has_allowed_version(model: Model, allowed: set[str]) -> bool:
    return any(
        version.id in allowed and version.state is VersionState.SERVING
        for version in model.versions
    )


def _find_key_faults(tables: ConfigurationTables) -> Iterator[str]:
    owners: dict[str, str] = {}
    for workspace in tables.workspaces.values():
        for key_hash in workspace.key_hashes:
            owner = owners.setdefault(key_hash, workspace.name)
            if owner != workspace.name:
                yield (
                    f"workspace {workspace.name}: key hash {key_hash[:8]}... "
                    f"belongs to workspace {owner}"
                )


def _find_rollout_faults(
    tables: ConfigurationTables, rollout: Rollout
) -> Iterator[str]:
    place = f"rollout {rollout.name}"
    if list(rollout.stages) != sorted(set(rollout.stages)):
        yield f"{place}: stages must rise"
    if rollout.stages[-1] != 1.0:
        yield f"{place}: the last stage must be 1"
    model = tables.models.get(rollout.model)
    if model is None:
        yield f"{place}: unknown model {rollout.model}"
        return
    if not is_active(tables, rollout):
        return
    version = tables.versions.get(VersionId(rollout.candidate))
    if version is None or version not in model.versions:
        yield f"{place}: candidate {rollout.candidate} is no version of the model"
    elif version.state is VersionState.WITHDRAWN:
        yield f"{place}: candidate {rollout.candidate} is withdrawn"
    if rollout.candidate == model.current:
        yield f"{place}: candidate {rollout.candidate} is current already"


def _find_rollout_conflicts(tables: ConfigurationTables) -> Iterator[str]:
    active = [
        rollout for rollout in tables.rollouts.values() if is_active(tables, rollout)
    ]
    for name in find_repeated(rollout.model for rollout in active):
        names = ", ".join(sorted(item.name for item in active if item.model == name))
        yield f"model {name}: more than one active roll-out: {names}"
