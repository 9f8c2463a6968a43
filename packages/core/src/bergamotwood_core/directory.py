"""Directory of the endpoints and entries that are currently available."""

from collections.abc import Hashable
from typing import TypeVar

from msgspec.structs import replace

from bergamotwood_core.address import ENTRY_EXPIRY_SECONDS, choose_addresses
from bergamotwood_core.announcement import decode_announcement
from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import EndpointId, InstanceId
from bergamotwood_core.messages import Announcement, EntryReport, LoadReport
from bergamotwood_core.states import EndpointState, EntryState
from bergamotwood_core.tables import Departure, DirectoryTables, Endpoint, Entry

__all__ = [
    "choose_addresses",
    "decode_announcement",
    "expire_endpoints",
    "expire_entries",
    "merge_announcement",
    "merge_load",
    "merge_report",
]

# Time without a new announcement or load report after which an endpoint is removed.
ENDPOINT_EXPIRY_SECONDS = 5.0
# How long the last incarnation and sequence of a removed endpoint or entry are
# kept, to reject late messages.
DEPARTURE_RETENTION_SECONDS = 600.0
# Maximum sizes of the tables.
MAX_ENDPOINTS = 8_192
MAX_ENTRIES = 2_048
MAX_DEPARTURES = 16_384

Key = TypeVar("Key", bound=Hashable)


def merge_announcement(
    tables: DirectoryTables, announcement: Announcement, now: Seconds
) -> bool:
    """Merge an announcement into the directory.

    The newest (incarnation, sequence) wins, whatever the path of the message.
    Leaving is final for an incarnation, even if it arrives late. A new incarnation
    starts with a new `Endpoint`, so that requests still counted on the old one do
    not affect the counters of the new one.

    Parameters
    ----------
    tables : DirectoryTables
        Changed in place.
    announcement : Announcement
        Validated announcement.
    now : Seconds
        When the endpoint sent it; for a forwarded one, the time of arrival minus
        its age.

    Returns
    -------
    bool
        Whether the directory changed.
    """
    endpoint = tables.endpoints.get(announcement.id)
    if endpoint is None:
        return _add_endpoint(tables, announcement, now)
    known = endpoint.announcement
    if announcement.incarnation < known.incarnation:
        return False
    if announcement.incarnation > known.incarnation:
        _replace_endpoint(tables, announcement, now)
        return True
    if not endpoint.serving:
        return False
    if announcement.sequence <= known.sequence:
        return _merge_late_departure(tables, endpoint, announcement)
    if not _has_same_membership(known, announcement):
        tables.membership_version += 1
    endpoint.announcement = announcement
    endpoint.heard_at = max(endpoint.heard_at, now)
    endpoint.outstanding_at_report = endpoint.outstanding
    return True


def merge_load(tables: DirectoryTables, load: LoadReport, now: Seconds) -> bool:
    """Merge the load of an endpoint whose incarnation is already known.

    Parameters
    ----------
    tables : DirectoryTables
        Changed in place.
    load : LoadReport
        Load report.
    now : Seconds
        When the load report arrived.

    Returns
    -------
    bool
        Whether the directory changed.
    """
    endpoint = tables.endpoints.get(load.id)
    if endpoint is None or endpoint.announcement.incarnation != load.incarnation:
        return False
    known = endpoint.announcement
    announcement = replace(known, sequence=load.sequence, load=load.load)
    return merge_announcement(tables, announcement, now)


def merge_report(tables: DirectoryTables, report: EntryReport, now: Seconds) -> bool:
    """Merge an entry's report, by the same rules as announcements.

    Parameters
    ----------
    tables : DirectoryTables
        Changed in place.
    report : EntryReport
        Report.
    now : Seconds
        When the entry sent it.

    Returns
    -------
    bool
        Whether the directory changed.
    """
    entry = tables.entries.get(report.id)
    if entry is None:
        return _add_entry(tables, report, now)
    known = entry.report
    if report.incarnation < known.incarnation:
        return False
    if report.incarnation > known.incarnation:
        tables.entries[report.id] = Entry(report, now)
        return True
    if known.state is EntryState.DRAINING and report.state is EntryState.SERVING:
        return False
    if report.sequence <= known.sequence and report.state is known.state:
        return False
    entry.report = report
    entry.heard_at = max(entry.heard_at, now)
    return True


def expire_endpoints(
    tables: DirectoryTables,
    now: Seconds,
    expiry_seconds: float = ENDPOINT_EXPIRY_SECONDS,
) -> tuple[EndpointId, ...]:
    """Remove the endpoints without a recent announcement or load report.

    Parameters
    ----------
    tables : DirectoryTables
        Changed in place.
    now : Seconds
        Current time.
    expiry_seconds : float
        Time without a new announcement or load report.

    Returns
    -------
    tuple of EndpointId
        Removed endpoints.
    """
    expired = [
        endpoint
        for endpoint in tables.endpoints.values()
        if now - endpoint.heard_at > expiry_seconds
    ]
    for endpoint in expired:
        message = endpoint.announcement
        departure = Departure(
            message.incarnation, message.sequence, not endpoint.serving, now
        )
        del tables.endpoints[endpoint.id]
        tables.membership_version += 1
        _record_departure(tables.departed_endpoints, endpoint.id, departure)
    _expire_departures(tables.departed_endpoints, now)
    return tuple(endpoint.id for endpoint in expired)


def expire_entries(
    tables: DirectoryTables, now: Seconds, expiry_seconds: float = ENTRY_EXPIRY_SECONDS
) -> tuple[InstanceId, ...]:
    """Remove the entries without a recent report.

    Parameters
    ----------
    tables : DirectoryTables
        Changed in place.
    now : Seconds
        Current time.
    expiry_seconds : float
        Time without a new report.

    Returns
    -------
    tuple of InstanceId
        Removed entries.
    """
    expired = [
        entry.report
        for entry in tables.entries.values()
        if now - entry.heard_at > expiry_seconds
    ]
    for report in expired:
        leaving = report.state is EntryState.DRAINING
        departure = Departure(report.incarnation, report.sequence, leaving, now)
        del tables.entries[report.id]
        _record_departure(tables.departed_entries, report.id, departure)
    _expire_departures(tables.departed_entries, now)
    return tuple(report.id for report in expired)


def _has_same_membership(before: Announcement, after: Announcement) -> bool:
    return (
        before.state is after.state
        and before.kind is after.kind
        and before.data_centre == after.data_centre
        and before.versions == after.versions
        and before.address == after.address
    )


def _replace_endpoint(
    tables: DirectoryTables, announcement: Announcement, now: Seconds
) -> None:
    tables.endpoints[announcement.id] = Endpoint(announcement, now)
    tables.membership_version += 1


def _merge_late_departure(
    tables: DirectoryTables, endpoint: Endpoint, announcement: Announcement
) -> bool:
    if announcement.state is not EndpointState.LEAVING:
        return False
    tables.membership_version += 1
    endpoint.announcement = announcement
    return True


def _add_endpoint(
    tables: DirectoryTables, announcement: Announcement, now: Seconds
) -> bool:
    departure = tables.departed_endpoints.get(announcement.id)
    if departure is not None and not _is_newer(announcement, departure):
        return False
    if len(tables.endpoints) >= MAX_ENDPOINTS:
        return False
    tables.departed_endpoints.pop(announcement.id, None)
    _replace_endpoint(tables, announcement, now)
    return True


def _add_entry(tables: DirectoryTables, report: EntryReport, now: Seconds) -> bool:
    departure = tables.departed_entries.get(report.id)
    if departure is not None and not _is_newer(report, departure):
        return False
    if len(tables.entries) >= MAX_ENTRIES:
        return False
    tables.departed_entries.pop(report.id, None)
    tables.entries[report.id] = Entry(report, now)
    return True


def _is_newer(message: Announcement | EntryReport, departure: Departure) -> bool:
    if message.incarnation != departure.incarnation:
        return message.incarnation > departure.incarnation
    return not departure.leaving and message.sequence > departure.sequence


def _record_departure(
    departures: dict[Key, Departure], key: Key, departure: Departure
) -> None:
    departures.pop(key, None)
    departures[key] = departure
    while len(departures) > MAX_DEPARTURES:
        del departures[next(iter(departures))]


def _expire_departures(departures: dict[Key, Departure], now: Seconds) -> None:
    while departures:
        key = next(iter(departures))
        if now - departures[key].at <= DEPARTURE_RETENTION_SECONDS:
            return
        del departures[key]
