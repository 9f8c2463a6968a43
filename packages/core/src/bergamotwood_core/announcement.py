"""Decoding and validation of announcements from endpoints."""

from collections.abc import Iterator
from ipaddress import ip_address
from math import isfinite
from re import compile

from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder

from bergamotwood_core.errors import Code, RequestError
from bergamotwood_core.messages import MAX_PORT, Announcement

MAX_ANNOUNCEMENT_BYTES = 131_072
MAX_NAME_CHARACTERS = 128
MAX_VERSIONS = 64
MAX_PREFIXES = 4_096
MAX_SUSPECTS = 1_024
MAX_CAPACITY = 100_000
# Exclusive upper bounds of incarnations and sequences, and of prefix hashes.
COUNTER_LIMIT = 2**63
HASH_LIMIT = 2**64

_NAME = compile(r"[A-Za-z0-9][A-Za-z0-9._:@/-]*")
_ANNOUNCEMENTS = Decoder(Announcement)


def decode_announcement(body: bytes) -> Announcement:
    """Decode and validate an announcement.

    Parameters
    ----------
    body : bytes
        JSON document.

    Returns
    -------
    Announcement
        Validated without regard to the directory.

    Raises
    ------
    RequestError
        If the announcement is invalid, with `ANNOUNCEMENT_INVALID` and the invalid
        fields.
    """
    if len(body) > MAX_ANNOUNCEMENT_BYTES:
        detail = f"at most {MAX_ANNOUNCEMENT_BYTES} bytes"
        raise RequestError(f"announcement: {detail}", Code.ANNOUNCEMENT_INVALID)
    try:
        announcement = _ANNOUNCEMENTS.decode(body)
    except (ValidationError, DecodeError, UnicodeDecodeError) as error:
        raise RequestError(f"announcement: {error}", Code.ANNOUNCEMENT_INVALID)
    except RecursionError:
        raise RequestError("announcement: nested", Code.ANNOUNCEMENT_INVALID)
    faults = list(_find_faults(announcement))
    if faults:
        raise RequestError("; ".join(faults), Code.ANNOUNCEMENT_INVALID)
    return announcement


def _find_faults(announcement: Announcement) -> Iterator[str]:
    yield from _check_name("id", announcement.id)
    yield from _check_name("data_centre", announcement.data_centre)
    yield from _check_address(announcement)
    yield from _check_numbers(announcement)
    yield from _check_size("versions", len(announcement.versions), MAX_VERSIONS)
    for position, version in enumerate(announcement.versions[:MAX_VERSIONS]):
        yield from _check_name(f"versions[{position}]", version)
    suspects = announcement.crash_suspects
    yield from _check_size("crash_suspects", len(suspects), MAX_SUSPECTS)
    for position, suspect in enumerate(suspects[:MAX_SUSPECTS]):
        yield from _check_name(f"crash_suspects[{position}]", suspect)
    yield from _check_prefixes(announcement.prefixes)


def _check_name(place: str, name: str) -> Iterator[str]:
    if len(name) > MAX_NAME_CHARACTERS or _NAME.fullmatch(name) is None:
        yield (
            f"{place}: must match {_NAME.pattern}, "
            f"at most {MAX_NAME_CHARACTERS} characters"
        )


def _check_address(announcement: Announcement) -> Iterator[str]:
    address = announcement.address
    try:
        ip_address(address.host)
    except ValueError:
        yield "address.host: must be an IP number"
    if not 1 <= address.port <= MAX_PORT:
        yield f"address.port: must be from 1 to {MAX_PORT}"


def _check_numbers(announcement: Announcement) -> Iterator[str]:
    for place in ("incarnation", "sequence"):
        if not 0 <= getattr(announcement, place) < COUNTER_LIMIT:
            yield f"{place}: must be from 0 to 2**63 - 1"
    if not 1 <= announcement.capacity <= MAX_CAPACITY:
        yield f"capacity: must be from 1 to {MAX_CAPACITY}"
    if not isfinite(announcement.load) or announcement.load < 0.0:
        yield "load: must be 0 or more"


def _check_prefixes(prefixes: tuple[int, ...]) -> Iterator[str]:
    yield from _check_size("prefixes", len(prefixes), MAX_PREFIXES)
    if any(not 0 <= prefix < HASH_LIMIT for prefix in prefixes):
        yield "prefixes: each must be from 0 to 2**64 - 1"


def _check_size(place: str, size: int, limit: int) -> Iterator[str]:
    if size > limit:
        yield f"{place}: {size} items, at most {limit}"
