"""Parsing, encoding and checks of tickets, and the changes that they make."""

import json
from collections.abc import Iterator
from hashlib import sha256

from pydantic import ValidationError

from bergamotwood_core.change import merge_ticket
from bergamotwood_core.configuration import Model, Rollout, Ticket, Version
from bergamotwood_core.difference import Change, diff_tables
from bergamotwood_core.document import (
    MAX_FAULTS,
    DocumentError,
    list_faults,
    load_document,
)
from bergamotwood_core.errors import TicketError
from bergamotwood_core.reference import (
    ACTIVE_STATES,
    find_reference_faults,
    find_repeated,
)
from bergamotwood_core.states import RolloutState, VersionState
from bergamotwood_core.tables import ConfigurationTables

# Maximum bytes of a ticket's text.
MAX_TICKET_BYTES = 1_048_576
KINDS = ("workspaces", "models", "cascades", "services", "rollouts")


def parse_ticket(text: str | bytes) -> Ticket:
    """Read a ticket.

    Parameters
    ----------
    text : str or bytes
        YAML or JSON.

    Returns
    -------
    Ticket
        The ticket; its references are not checked yet.

    Raises
    ------
    TicketError
        With each fault and its place.
    """
    try:
        content = load_document(text, MAX_TICKET_BYTES)
    except DocumentError as error:
        raise TicketError("the ticket cannot be read", faults=error.faults)
    if not isinstance(content, dict):
        faults = ("document: must be a mapping with a number",)
        raise TicketError("the ticket cannot be read", faults=faults)
    try:
        return Ticket.model_validate(content)
    except ValidationError as error:
        raise TicketError("the ticket is not valid", faults=list_faults(error))


def encode_ticket(ticket: Ticket) -> bytes:
    """Encode a ticket in its canonical form, JSON without defaults.

    Fields that have their default are left out, so that a field added by a
    later release changes neither the form nor the digest of older tickets.

    Parameters
    ----------
    ticket : Ticket
        The ticket.

    Returns
    -------
    bytes
        JSON that `parse_ticket` reads back.
    """
    content = ticket.model_dump(mode="json", exclude_defaults=True)
    return json.dumps(content, sort_keys=True, separators=(",", ":")).encode()


def digest_ticket(ticket: Ticket) -> str:
    """Compute the SHA-256 of a ticket's content, in hexadecimal."""
    return sha256(encode_ticket(ticket)).hexdigest()


def diff_ticket(tables: ConfigurationTables, ticket: Ticket) -> tuple[Change, ...]:
    """List what a ticket would change, including its effects on roll-outs."""
    return diff_tables(tables, merge_ticket(tables, ticket))


def check_ticket(tables: ConfigurationTables, ticket: Ticket) -> tuple[str, ...]:
    """Check a ticket against the configuration that it would change.

    Faults that the configuration already has are not reported.

    Parameters
    ----------
    tables : ConfigurationTables
        The configuration before.
    ticket : Ticket
        The change.

    Returns
    -------
    tuple of str
        Faults with their places; empty if the ticket may be applied.
    """
    faults = [*_find_internal_faults(ticket), *_find_removal_faults(tables, ticket)]
    faults.extend(_find_rollout_faults(tables, ticket))
    faults.extend(_find_new_faults(tables, ticket))
    return tuple(faults[:MAX_FAULTS])


def _find_new_faults(tables: ConfigurationTables, ticket: Ticket) -> list[str]:
    after = merge_ticket(tables, ticket)
    workspaces = list(after.workspaces.values())
    if not _may_break_workspaces(tables, after, ticket):
        workspaces = list(ticket.workspaces)
    faults = list(find_reference_faults(after, workspaces))
    if not faults:
        return faults
    before = set(find_reference_faults(tables, tables.workspaces.values()))
    return [fault for fault in faults if fault not in before]


def _may_break_workspaces(
    before: ConfigurationTables, after: ConfigurationTables, ticket: Ticket
) -> bool:
    """Tell whether a ticket may cause faults in workspaces that it does not name."""
    if ticket.cascades or ticket.remove.cascades or ticket.remove.services:
        return True
    return any(
        version.state is VersionState.SERVING and not _is_serving(after, version)
        for version in before.versions.values()
    ) or any(name not in after.versions for name in before.versions)


def _is_serving(tables: ConfigurationTables, version: Version) -> bool:
    kept = tables.versions.get(version.version_id)
    return kept is not None and kept.state is VersionState.SERVING


def _find_internal_faults(ticket: Ticket) -> Iterator[str]:
    for kind in KINDS:
        names = [item.name for item in getattr(ticket, kind)]
        removed = getattr(ticket.remove, kind)
        for name in find_repeated(names):
            yield f"{kind}: {name} is named twice"
        for name in find_repeated(removed):
            yield f"remove.{kind}: {name} is named twice"
        for name in sorted(set(names) & set(removed)):
            yield f"remove.{kind}: {name} is also set by this ticket"
    for rollout in ticket.rollouts:
        if rollout.state is RolloutState.COMPLETED:
            yield (
                f"rollout {rollout.name}: completed cannot be asked for; "
                "set the model's current version"
            )


def _find_removal_faults(tables: ConfigurationTables, ticket: Ticket) -> Iterator[str]:
    for kind in KINDS:
        known = getattr(tables, kind)
        for name in getattr(ticket.remove, kind):
            if name not in known:
                yield f"remove.{kind}: unknown {name}"


def _find_rollout_faults(tables: ConfigurationTables, ticket: Ticket) -> Iterator[str]:
    models = {model.key: model for model in ticket.models}
    named = {rollout.name for rollout in ticket.rollouts}
    named.update(ticket.remove.rollouts)
    for rollout in ticket.rollouts:
        model = models.get(rollout.model)
        if model and rollout.state is RolloutState.STOPPED:
            yield from _check_stopped(model, rollout)
    for rollout in tables.rollouts.values():
        model = models.get(rollout.model)
        if model and rollout.name not in named:
            yield from _check_unnamed_rollout(tables, model, rollout)


def _check_unnamed_rollout(
    tables: ConfigurationTables, model: Model, rollout: Rollout
) -> Iterator[str]:
    state = tables.progress[rollout.key].state
    hint = f"name or remove roll-out {rollout.name} in the same ticket"
    current = tables.models[model.key].current
    if state is RolloutState.STOPPED:
        yield from _check_stopped(model, rollout)
        return
    if model.current != current:
        yield (
            f"model {model.name}: current {model.current} would undo roll-out "
            f"{rollout.name} ({state}, current {current}); {hint}"
        )
    listed = any(version.id == rollout.candidate for version in model.versions)
    if state in ACTIVE_STATES and not listed:
        yield (
            f"model {model.name}: drops {rollout.candidate}, the candidate of "
            f"{state} roll-out {rollout.name}; {hint}"
        )


def _check_stopped(model: Model, rollout: Rollout) -> Iterator[str]:
    for version in model.versions:
        if version.id != rollout.candidate:
            continue
        if version.state is VersionState.SERVING:
            yield (
                f"model {model.name}: {version.id} is serving, but roll-out "
                f"{rollout.name} is stopped and withdraws it; set it to withdrawn "
                f"or remove the roll-out in the same ticket"
            )
