"""Feed of numbered directory changes, of which a watcher gets only the new ones."""

from collections import deque
from dataclasses import dataclass

from bergamotwood_core.clock import Seconds
from bergamotwood_core.directory import (
    expire_endpoints,
    expire_entries,
    merge_announcement,
    merge_report,
)
from bergamotwood_core.evidence import Evidence, SequenceFilter
from bergamotwood_core.ids import EndpointId, InstanceId
from bergamotwood_core.messages import Announcement, EntryReport, LoadReport
from bergamotwood_core.tables import DirectoryTables

MAX_KEPT_EVIDENCE = 256
# Watchers get the reports of an entry instance at most this often, unless its state
# changed.
ENTRY_REPORT_INTERVAL_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class DirectoryChanges:
    """Changes after a cursor, and the cursor after these changes."""

    cursor: int
    announcements: tuple[Announcement, ...]
    loads: tuple[LoadReport, ...]
    reports: tuple[EntryReport, ...]
    ratings: tuple[Evidence, ...]


@dataclass(frozen=True, slots=True)
class _NumberedEvidence:
    cursor: int
    evidence: Evidence


class DirectoryFeed:
    """A control replica's directory with numbered changes.

    Parameters
    ----------
    boot : str
        Identifies this start of the replica; cursors of another start are invalid.

    Attributes
    ----------
    cursor : int
        Number of the newest change.
    membership_cursor : int
        Number of the newest change of membership: a new endpoint or entry, a change
        of an endpoint's state, incarnation, versions or address, or of an entry's
        state.
    """

    def __init__(self, boot: str) -> None:
        self.boot = boot
        self.tables = DirectoryTables()
        self.cursor = 0
        self.membership_cursor = 0
        self._endpoint_cursors: dict[EndpointId, int] = {}
        self._membership_cursors: dict[EndpointId, int] = {}
        self._entry_cursors: dict[InstanceId, int] = {}
        self._entries_published_at: dict[InstanceId, Seconds] = {}
        self._evidence_filter = SequenceFilter()
        self._ratings: deque[_NumberedEvidence] = deque(maxlen=MAX_KEPT_EVIDENCE)

    def record_announcement(self, announcement: Announcement, now: Seconds) -> bool:
        """Merge an announcement; return whether it was new."""
        known = self.tables.endpoints.get(announcement.id)
        before = known.announcement if known is not None else None
        if not merge_announcement(self.tables, announcement, now):
            return False
        self.cursor += 1
        self._endpoint_cursors[announcement.id] = self.cursor
        if before is None or _differs_in_membership(before, announcement):
            self.membership_cursor = self.cursor
            self._membership_cursors[announcement.id] = self.cursor
        return True

    def record_report(self, report: EntryReport, now: Seconds) -> bool:
        """Merge an entry's report; return whether it was new."""
        known = self.tables.entries.get(report.id)
        before = known.report if known is not None else None
        if not merge_report(self.tables, report, now):
            return False
        changed = before is None or before.state is not report.state
        published_at = self._entries_published_at.get(report.id, Seconds(float("-inf")))
        if not changed and now - published_at < ENTRY_REPORT_INTERVAL_SECONDS:
            return True
        self._entries_published_at[report.id] = now
        self.cursor += 1
        self._entry_cursors[report.id] = self.cursor
        if changed:
            self.membership_cursor = self.cursor
        return True

    def record_ratings(self, evidence: Evidence) -> bool:
        """Keep evidence from ratings for watchers; return whether it was new."""
        if not self._evidence_filter.accept(evidence.source, evidence.sequence):
            return False
        self.cursor += 1
        self._ratings.append(_NumberedEvidence(self.cursor, evidence))
        return True

    def list_changes(self, boot: str, cursor: int) -> DirectoryChanges:
        """Return the changes after a watcher's cursor.

        A cursor of another start of the replica gets the whole directory.
        """
        if boot != self.boot:
            cursor = 0
        endpoints = self.tables.endpoints
        entries = self.tables.entries
        return DirectoryChanges(
            self.cursor,
            tuple(
                endpoint.announcement
                for id, endpoint in endpoints.items()
                if self._membership_cursors.get(id, 0) > cursor
            ),
            tuple(
                _make_load_report(endpoint.announcement)
                for id, endpoint in endpoints.items()
                if self._endpoint_cursors.get(id, 0)
                > cursor
                >= self._membership_cursors.get(id, 0)
            ),
            tuple(
                entry.report
                for id, entry in entries.items()
                if self._entry_cursors.get(id, 0) > cursor
            ),
            tuple(kept.evidence for kept in self._ratings if kept.cursor > cursor),
        )

    def expire(self, now: Seconds) -> None:
        """Remove endpoints and entries that have not reported for too long."""
        expire_endpoints(self.tables, now)
        expire_entries(self.tables, now)
        for id in self._endpoint_cursors.keys() - self.tables.endpoints.keys():
            del self._endpoint_cursors[id]
            del self._membership_cursors[id]
        for id in self._entry_cursors.keys() - self.tables.entries.keys():
            del self._entry_cursors[id]
            del self._entries_published_at[id]


def _make_load_report(announcement: Announcement) -> LoadReport:
    return LoadReport(
        announcement.id,
        announcement.incarnation,
        announcement.sequence,
        announcement.load,
    )


def _differs_in_membership(before: Announcement, after: Announcement) -> bool:
    return (
        before.state is not after.state
        or before.incarnation != after.incarnation
        or before.versions != after.versions
        or before.address != after.address
    )
