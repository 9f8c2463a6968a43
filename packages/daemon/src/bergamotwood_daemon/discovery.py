"""HTTP handlers for announcements of endpoints and for the list of entry instances."""

from msgspec import Struct

from bergamotwood_core.directory import (
    choose_addresses,
    decode_announcement,
    merge_announcement,
)
from bergamotwood_core.ids import DataCentre, InstanceId, LogIndex
from bergamotwood_core.messages import Address, EntryReport
from bergamotwood_core.states import EntryState
from bergamotwood_daemon.entry import Entry
from bergamotwood_daemon.web import Response, WebRequest, answer_json

MAX_ADDRESSES = 16
# Entry instances that lag further behind in the control log are listed last.
MAX_INDEX_LAG = 64


class AnnouncementReply(Struct):
    """Reply to an endpoint: whether its announcement was new."""

    accepted: bool


class EntryAddress(Struct):
    """An entry instance that a caller may use."""

    id: InstanceId
    address: str
    data_centre: DataCentre


class AddressList(Struct):
    """Entry instances to use, the best first, and how long the list may be cached."""

    addresses: list[EntryAddress]
    ttl_seconds: int


class Discovery:
    """Serves the directory of one entry.

    Parameters
    ----------
    entry : Entry
        The entry, with its tables and settings.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._sequence = 0

    def record_announcement(self, request: WebRequest) -> Response:
        """Record an endpoint's announcement."""
        announcement = decode_announcement(request.read_body())
        directory = self._entry.tables.directory
        previous_membership = directory.membership_version
        is_new = merge_announcement(directory, announcement, self._entry.clock())
        if is_new:
            urgent = directory.membership_version != previous_membership
            self._entry.watch.queue_announcement(announcement, urgent)
        return answer_json(AnnouncementReply(is_new))

    def list_addresses(self, request: WebRequest) -> Response:
        """Answer which entries a caller should use, and for how long."""
        near = request.read_parameter("near")
        directory = self._entry.tables.directory
        min_index = LogIndex(max(0, self._entry.watch.applied - MAX_INDEX_LAG))
        reports = choose_addresses(
            directory,
            DataCentre(near or self._entry.settings.data_centre),
            min_index,
            self._entry.clock(),
            self._entry.rng,
            MAX_ADDRESSES,
        )
        addresses = [
            EntryAddress(report.id, str(report.address), report.data_centre)
            for report in reports
        ]
        ttl = self._entry.settings.address_ttl_seconds
        response = answer_json(AddressList(addresses, ttl))
        headers = (("Cache-Control", f"max-age={ttl}"),)
        return Response(200, response.content_type, response.body, headers)

    def list_other_entries(self) -> tuple[str, ...]:
        """Return the addresses of the other entries that are serving."""
        return tuple(
            str(entry.report.address)
            for entry in self._entry.tables.directory.entries.values()
            if entry.report.id != self._entry.settings.instance
            and entry.report.state is EntryState.SERVING
        )

    def make_report(self) -> EntryReport:
        """Make this entry's report on itself."""
        self._sequence += 1
        settings = self._entry.settings
        draining = self._entry.draining
        return EntryReport(
            id=InstanceId(settings.instance),
            incarnation=self._entry.incarnation,
            sequence=self._sequence,
            address=Address(settings.advertised.host, settings.advertised.port),
            data_centre=DataCentre(settings.data_centre),
            state=EntryState.DRAINING if draining else EntryState.SERVING,
            in_flight=len(self._entry.tables.in_flight),
            applied=self._entry.watch.applied,
        )
