"""Readable differences between two configurations."""

from collections.abc import Iterator, Mapping
from typing import Any

from msgspec import Struct
from pydantic import BaseModel

from bergamotwood_core.configuration import Version
from bergamotwood_core.tables import ConfigurationTables, RolloutProgress


class Change(Struct, frozen=True):
    """Difference of one object.

    Parameters
    ----------
    kind : str
        `workspace`, `model`, `cascade`, `service`, `rollout` or `progress`.
    name : str
        Name of the object.
    action : str
        `added`, `changed` or `removed`.
    details : tuple of str
        Each field that differs, with its old and new value.
    """

    kind: str
    name: str
    action: str
    details: tuple[str, ...] = ()


def diff_tables(
    before: ConfigurationTables, after: ConfigurationTables
) -> tuple[Change, ...]:
    """List the differences between two configurations.

    Parameters
    ----------
    before, after : ConfigurationTables
        The configurations.

    Returns
    -------
    tuple of Change
        Ordered by kind, then by name.
    """
    kinds = ("workspace", "model", "cascade", "service", "rollout")
    changes: list[Change] = []
    for kind in kinds:
        old = getattr(before, f"{kind}s")
        new = getattr(after, f"{kind}s")
        changes.extend(_diff_kind(kind, old, new))
    changes.extend(_diff_progress(before, after))
    return tuple(changes)


def _diff_kind(
    kind: str, old: Mapping[Any, BaseModel], new: Mapping[Any, BaseModel]
) -> Iterator[Change]:
    for name in sorted({*old, *new}):
        if name not in new:
            yield Change(kind, name, "removed")
        elif name not in old:
            yield Change(kind, name, "added", tuple(_list_fields(new[name])))
        elif old[name] != new[name]:
            details = tuple(_diff_fields(old[name], new[name]))
            yield Change(kind, name, "changed", details)


def _diff_progress(
    before: ConfigurationTables, after: ConfigurationTables
) -> Iterator[Change]:
    for name in sorted({*before.progress, *after.progress}):
        old = before.progress.get(name)
        new = after.progress.get(name)
        if old is None or new is None or old.state is new.state:
            continue
        yield Change("progress", name, "changed", (_describe_progress(old, new),))


def _describe_progress(old: RolloutProgress, new: RolloutProgress) -> str:
    reason = f" ({new.reason})" if new.reason else ""
    return f"state: {old.state} -> {new.state}{reason}"


def _list_fields(entity: BaseModel) -> Iterator[str]:
    for name in type(entity).model_fields:
        value = getattr(entity, name)
        if name == "name" or value in ((), ""):
            continue
        yield f"{name}: {_format_value(value)}"


def _diff_fields(old: BaseModel, new: BaseModel) -> Iterator[str]:
    for name in type(new).model_fields:
        before = getattr(old, name)
        after = getattr(new, name)
        if before == after:
            continue
        if isinstance(after, tuple) and set(before) != set(after):
            yield f"{name}: {_diff_items(before, after)}"
        else:
            yield f"{name}: {_format_value(before)} -> {_format_value(after)}"


def _diff_items(before: tuple[Any, ...], after: tuple[Any, ...]) -> str:
    removed = [f"-{_format_value(item)}" for item in before if item not in after]
    added = [f"+{_format_value(item)}" for item in after if item not in before]
    return " ".join(removed + added)


def _format_value(value: Any) -> str:
    match value:
        case Version():
            return (
                f"{value.id} {value.state} in={value.input_price:g} "
                f"out={value.output_price:g}"
            )
        case tuple():
            return ", ".join(_format_value(item) for item in value) or "none"
        case str() if len(value) == 64 and " " not in value:
            return f"{value[:8]}..."
        case _:
            return str(value)
