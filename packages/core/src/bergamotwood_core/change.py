"""Application of tickets, and of the end of roll-outs, to the configuration."""

from dataclasses import replace

from bergamotwood_core.configuration import Model, Rollout, Ticket, Version
from bergamotwood_core.ids import (
    CascadeName,
    ModelName,
    RolloutId,
    ServiceName,
    TicketNumber,
    VersionId,
    WorkspaceId,
)
from bergamotwood_core.reference import ACTIVE_STATES
from bergamotwood_core.states import RolloutState, VersionState
from bergamotwood_core.tables import ConfigurationTables, RolloutProgress


def merge_ticket(tables: ConfigurationTables, ticket: Ticket) -> ConfigurationTables:
    """Build the configuration after a ticket.

    The ticket is not checked, and the given tables are not changed.

    Parameters
    ----------
    tables : ConfigurationTables
        The configuration before.
    ticket : Ticket
        The change.

    Returns
    -------
    ConfigurationTables
        New tables that share unchanged entities with the given ones.
    """
    after = copy_tables(tables)
    after.ticket = TicketNumber(ticket.number)
    _remove_objects(after, ticket)
    after.workspaces.update({item.key: item for item in ticket.workspaces})
    after.models.update({item.key: item for item in ticket.models})
    after.cascades.update({item.key: item for item in ticket.cascades})
    after.services.update({item.key: item for item in ticket.services})
    for rollout in ticket.rollouts:
        _set_rollout(after, rollout, after.ticket)
    _stop_withdrawn_rollouts(after, ticket)
    rebuild_versions(after)
    drop_finished_rollouts(after)
    return after


def copy_tables(tables: ConfigurationTables) -> ConfigurationTables:
    """Copy the tables; entities and suspects are shared, progress is copied."""
    return ConfigurationTables(
        index=tables.index,
        ticket=tables.ticket,
        workspaces=dict(tables.workspaces),
        models=dict(tables.models),
        versions=dict(tables.versions),
        cascades=dict(tables.cascades),
        services=dict(tables.services),
        rollouts=dict(tables.rollouts),
        progress={key: replace(item) for key, item in tables.progress.items()},
        suspects=tables.suspects,
    )


def replace_tables(target: ConfigurationTables, source: ConfigurationTables) -> None:
    """Replace the content of one tables object with that of another, in place."""
    for name in target.__dataclass_fields__:
        setattr(target, name, getattr(source, name))


def apply_rollout_end(tables: ConfigurationTables, rollout: Rollout) -> None:
    """Apply the end of a roll-out to its model.

    A completed roll-out makes its candidate the current version; a stopped one
    withdraws it. An active one changes nothing.

    Parameters
    ----------
    tables : ConfigurationTables
        Changed in place.
    rollout : Rollout
        The roll-out; its progress is read from the tables.
    """
    model = tables.models.get(ModelName(rollout.model))
    if model is None:
        return
    match tables.progress[rollout.key].state:
        case RolloutState.COMPLETED:
            changed = model.model_copy(update={"current": rollout.candidate})
        case RolloutState.STOPPED:
            changed = withdraw_version(model, VersionId(rollout.candidate))
        case _:
            return
    tables.models[model.key] = changed


def withdraw_version(model: Model, version_id: VersionId) -> Model:
    """Return the model with one of its versions withdrawn."""
    versions = tuple(_withdraw_if(item, version_id) for item in model.versions)
    return model.model_copy(update={"versions": versions})


def rebuild_versions(tables: ConfigurationTables) -> None:
    """Rebuild the table of versions from the models."""
    tables.versions = {
        version.version_id: version
        for model in tables.models.values()
        for version in model.versions
    }


def drop_finished_rollouts(tables: ConfigurationTables) -> None:
    """Drop finished roll-outs that no longer match the current models."""
    for rollout in list(tables.rollouts.values()):
        if _is_superseded(tables, rollout):
            del tables.rollouts[rollout.key]
            del tables.progress[rollout.key]


def _withdraw_if(version: Version, version_id: VersionId) -> Version:
    if version.id != version_id:
        return version
    return version.model_copy(update={"state": VersionState.WITHDRAWN})


def _is_superseded(tables: ConfigurationTables, rollout: Rollout) -> bool:
    state = tables.progress[rollout.key].state
    if state in ACTIVE_STATES:
        return False
    model = tables.models.get(ModelName(rollout.model))
    if model is None:
        return True
    if state is RolloutState.COMPLETED:
        return model.current != rollout.candidate
    return all(version.id != rollout.candidate for version in model.versions)


def _remove_objects(tables: ConfigurationTables, ticket: Ticket) -> None:
    remove = ticket.remove
    for name in remove.workspaces:
        tables.workspaces.pop(WorkspaceId(name), None)
    for name in remove.models:
        tables.models.pop(ModelName(name), None)
    for name in remove.cascades:
        tables.cascades.pop(CascadeName(name), None)
    for name in remove.services:
        tables.services.pop(ServiceName(name), None)
    for name in remove.rollouts:
        tables.rollouts.pop(RolloutId(name), None)
        tables.progress.pop(RolloutId(name), None)


def _set_rollout(
    tables: ConfigurationTables, rollout: Rollout, number: TicketNumber
) -> None:
    before = tables.rollouts.get(rollout.key)
    progress = tables.progress.get(rollout.key)
    tables.rollouts[rollout.key] = rollout
    tables.progress[rollout.key] = _carry_over_progress(
        before, progress, rollout, number
    )
    if rollout.state is RolloutState.STOPPED:
        apply_rollout_end(tables, rollout)


def _carry_over_progress(
    before: Rollout | None,
    progress: RolloutProgress | None,
    rollout: Rollout,
    number: TicketNumber,
) -> RolloutProgress:
    fresh = RolloutProgress(ticket=number, state=rollout.state)
    if rollout.state is RolloutState.STOPPED:
        fresh.reason = f"stopped by ticket {number}"
    if before is None or progress is None or not _has_same_target(before, rollout):
        return fresh
    if progress.state in ACTIVE_STATES:
        stage = _find_stage(rollout, before.stages[progress.stage])
        return replace(fresh, stage=stage, exposed=progress.exposed)
    if progress.state is rollout.state:
        return replace(progress, ticket=number)
    return fresh


def _has_same_target(before: Rollout, after: Rollout) -> bool:
    return (before.model, before.candidate) == (after.model, after.candidate)


def _find_stage(rollout: Rollout, share: float) -> int:
    reached = [index for index, item in enumerate(rollout.stages) if item <= share]
    return reached[-1] if reached else 0


def _stop_withdrawn_rollouts(tables: ConfigurationTables, ticket: Ticket) -> None:
    named = {rollout.key for rollout in ticket.rollouts}
    withdrawn = {
        version.id
        for model in ticket.models
        for version in model.versions
        if version.state is VersionState.WITHDRAWN
    }
    for rollout in tables.rollouts.values():
        progress = tables.progress[rollout.key]
        if rollout.key in named or rollout.candidate not in withdrawn:
            continue
        if progress.state in ACTIVE_STATES:
            progress.state = RolloutState.STOPPED
            progress.reason = f"candidate withdrawn by ticket {ticket.number}"
            progress.ticket = TicketNumber(ticket.number)
