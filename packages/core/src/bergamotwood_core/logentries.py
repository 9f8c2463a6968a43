"""Entries of a replicated log, records on disk, and the log held in memory."""

from enum import IntEnum

from msgspec import Struct

from bergamotwood_core.ids import LogIndex, ReplicaId, Term
from bergamotwood_core.membership import Genesis, Membership


class EntryKind(IntEnum):
    """Kind of content of a log entry."""

    COMMAND = 0
    NOOP = 1
    MEMBERSHIP = 2


class Entry(Struct, frozen=True, array_like=True, gc=False):
    """One entry of the log.

    Parameters
    ----------
    index : LogIndex
        Index in the log, from 1.
    term : Term
        Term of the leader that appended it.
    kind : EntryKind
        Kind of content.
    command : bytes
        Command for the state machine.
    membership : Membership or None
        Members from this entry on; set in membership entries only.
    """

    index: LogIndex
    term: Term
    kind: EntryKind
    command: bytes = b""
    membership: Membership | None = None


class LogStart(Struct, frozen=True, array_like=True, tag="base"):
    """Record: the log file starts after the snapshot at this index."""

    index: LogIndex


class Identity(Struct, frozen=True, array_like=True, tag="identity"):
    """Record: the replica's identity, generated with its data folder."""

    replica: ReplicaId


class JoinedGroup(Struct, frozen=True, array_like=True, tag="binding"):
    """Record: the group that the replica belongs to permanently."""

    genesis: Genesis


class HardState(Struct, frozen=True, array_like=True, tag="state"):
    """Record: the current term and the vote given in it."""

    term: Term = Term(0)
    vote: ReplicaId = ReplicaId("")


class Entries(Struct, frozen=True, array_like=True, tag="entries"):
    """Record: entries that replace all entries from the first one's index on."""

    entries: tuple[Entry, ...]


class Snapshot(Struct, frozen=True, array_like=True, tag="snapshot"):
    """Record: the state machine's state after one entry.

    Parameters
    ----------
    index, term : int
        Index and term of the last entry that the state contains.
    membership : Membership
        Members at that entry.
    data : bytes
        State, as returned by `StateMachine.snapshot`.
    """

    index: LogIndex
    term: Term
    membership: Membership
    data: bytes


Record = LogStart | Identity | JoinedGroup | HardState | Entries


class SavedState(Struct, frozen=True):
    """State that a replica reads from its data folder when it starts."""

    replica: ReplicaId
    genesis: Genesis | None = None
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


class EntryLog:
    """Log entries after a starting index, and the memberships that they set.

    Parameters
    ----------
    start : LogIndex
        Index before the first entry held.
    start_term : Term
        Term of the entry at `start`.
    membership : Membership
        Members at `start`.
    """

    def __init__(
        self, start: LogIndex, start_term: Term, membership: Membership
    ) -> None:
        self.start = start
        self.start_term = start_term
        self._entries: list[Entry] = []
        self._memberships: list[tuple[LogIndex, Membership]] = [(start, membership)]

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def last_index(self) -> LogIndex:
        """Index of the last entry."""
        return LogIndex(self.start + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.start_term

    @property
    def membership(self) -> Membership:
        """Newest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> LogIndex:
        """Index of the entry that set the newest membership."""
        return self._memberships[-1][0]

    def find_membership(self, index: LogIndex) -> Membership:
        """Return the membership that applies at an index."""
        memberships = [
            members for first, members in self._memberships if first <= index
        ]
        return memberships[-1]

    def find_term(self, index: LogIndex) -> Term | None:
        """Return the term of the entry at an index, None when not held."""
        if index == self.start:
            return self.start_term
        if not self.start < index <= self.last_index:
            return None
        return self._entries[index - self.start - 1].term

    def get_entries(
        self, first: LogIndex, last: LogIndex, limit_bytes: int | None = None
    ) -> tuple[Entry, ...]:
        """Return the entries of an index range, up to a size but at least one."""
        start = first - self.start - 1
        found = self._entries[start : last - self.start]
        if limit_bytes is None:
            return tuple(found)
        size = 0
        for count, entry in enumerate(found):
            size += len(entry.command)
            if size > limit_bytes and count > 0:
                return tuple(found[:count])
        return tuple(found)

    def append(self, entry: Entry) -> None:
        """Append an entry, replacing any entries from its index on."""
        self._truncate(entry.index)
        self._entries.append(entry)
        if entry.membership is not None:
            self._memberships.append((entry.index, entry.membership))

    def find_conflict(self, index: LogIndex) -> LogIndex:
        """Return the index before the entries that share the term at an index."""
        term = self.find_term(index)
        while index > self.start and self.find_term(index) == term:
            index = LogIndex(index - 1)
        return index

    def compact(self, index: LogIndex) -> None:
        """Drop the entries up to an index."""
        if index <= self.start:
            return
        term = self.find_term(index)
        membership = self.find_membership(index)
        later = [item for item in self._memberships if item[0] > index]
        del self._entries[: index - self.start]
        self._memberships = [(index, membership), *later]
        self.start = index
        self.start_term = term

    def _truncate(self, index: LogIndex) -> None:
        if index > self.last_index:
            return
        del self._entries[index - self.start - 1 :]
        while self._memberships[-1][0] >= index:
            self._memberships.pop()
