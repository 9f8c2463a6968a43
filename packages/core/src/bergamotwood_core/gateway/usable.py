"""Which soft state can be used: one bad record must not spoil all others.

It answers values of another writer, and those that an instance of an older build has
taken in and passes on.
"""

from math import isfinite
from typing import TypeVar

from msgspec import Struct
from msgspec.msgpack import Encoder
from msgspec.structs import replace

from bergamotwood_core.bounds import (
    MAX_INTEGER,
    MAX_LIST_LENGTH,
    MAX_NAME_CHARACTERS,
    MAX_SECONDS,
    MAX_SLOTS,
)
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.load import EndpointLoad
from bergamotwood_core.messages import MAX_PORT, parse_address

Value = TypeVar("Value")

# What msgspec raises for values that have no encoding.
ENCODING_ERRORS = (OverflowError, RecursionError, TypeError, ValueError)
_ENCODER = Encoder()


class UnencodableError(Exception):
    """A value has no encoding, and no part of it could be left out."""


def find_heartbeat_fault(heartbeat: EndpointHeartbeat) -> str | None:
    """Return why a heartbeat names no endpoint to use; None if it does."""
    names = (
        heartbeat.endpoint,
        heartbeat.service,
        heartbeat.data_centre,
        heartbeat.version,
        *heartbeat.models,
    )
    if any(len(name) > MAX_NAME_CHARACTERS for name in names):
        return "name too long"
    if len(heartbeat.models) > MAX_LIST_LENGTH:
        return "too many models"
    counters = heartbeat.incarnation, heartbeat.sequence
    if not all(0 <= counter <= MAX_INTEGER for counter in counters):
        return "counter out of range"
    if not 1 <= heartbeat.slots <= MAX_SLOTS:
        return "number of slots out of range"
    if not 0.0 <= heartbeat.warmup_seconds <= MAX_SECONDS:
        return "warm-up out of range"
    return _find_address_fault(heartbeat.address)


def is_usable_load(load: EndpointLoad) -> bool:
    """Whether a load can be added to others."""
    seconds = load.prefill_seconds
    return isfinite(seconds) and abs(seconds) <= MAX_SECONDS


def leave_out_unencodable(value: Value) -> tuple[Value, int]:
    """Return a value without the records that cannot be encoded, and their number.

    A record is an item of a tuple, a list or a dict. An item is kept, without some of
    its own items, if these are all that cannot be encoded.

    Raises
    ------
    UnencodableError
        When the value cannot be encoded without them either.
    """
    if _is_encodable(value):
        return value, 0
    match value:
        case Struct():
            parts = {
                name: leave_out_unencodable(getattr(value, name))
                for name in value.__struct_fields__
            }
            changed = {name: part for name, (part, count) in parts.items() if count}
            return replace(value, **changed), sum(n for _, n in parts.values())
        case dict():
            pairs = [_leave_out_each(pair) for pair in value.items()]
            kept = {pair[0]: pair[1] for pair, _ in pairs if pair}
            return kept, sum(count for _, count in pairs)
        case tuple() | list():
            items = [_leave_out_each((item,)) for item in value]
            kept = [item[0] for item, _ in items if item]
            return type(value)(kept), sum(count for _, count in items)
        case _:
            raise UnencodableError(f"no encoding for {value!r:.60}")


def _leave_out_each(record: tuple) -> tuple[tuple, int]:
    try:
        parts = [leave_out_unencodable(part) for part in record]
    except UnencodableError:
        return (), 1
    return tuple(part for part, _ in parts), sum(count for _, count in parts)


def _is_encodable(value: object) -> bool:
    try:
        _ENCODER.encode(value)
    except ENCODING_ERRORS:
        return False
    return True


def _find_address_fault(text: str) -> str | None:
    if len(text) > MAX_NAME_CHARACTERS:
        return "address too long"
    try:
        address = parse_address(text)
    except ValueError as error:
        return str(error)
    if not 1 <= address.port <= MAX_PORT:
        return "address without a port to connect to"
    if not address.host.isprintable() or " " in address.host:
        return "address without a host"
    return None
