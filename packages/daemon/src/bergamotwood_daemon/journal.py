"""Durable storage of one replica: its log, newest snapshot and identity.

Each write to the log appends one frame of records, which is synced before the
next one is written, so a crash can damage only the last frame. Damage at the end
is truncated; damage that a complete frame follows is an error. A last frame that
was corrupted after its sync cannot be distinguished from one cut short by a crash.
"""

from fcntl import LOCK_EX, LOCK_NB, flock
from os import (
    O_APPEND,
    O_CREAT,
    O_DIRECTORY,
    O_RDONLY,
    O_RDWR,
    O_WRONLY,
    fsync,
    ftruncate,
    replace,
)
from os import close as close_file
from os import open as open_file
from os import write as write_file
from pathlib import Path
from struct import Struct as Layout
from zlib import crc32

from msgspec import MsgspecError
from msgspec.msgpack import Decoder, Encoder

from bergamotwood_core.errors import LogCorruptError, SettingsError
from bergamotwood_core.ids import LogIndex, ReplicaId
from bergamotwood_core.logentries import (
    Entries,
    Entry,
    HardState,
    Identity,
    JoinedGroup,
    LogStart,
    Record,
    SavedState,
    Snapshot,
)
from bergamotwood_core.membership import Genesis

LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"
LOCK_NAME = "lock"
TEMPORARY_SUFFIX = ".new"
FILE_MODE = 0o600
MAGIC = b"BWlg"
# Magic number, checksum of all that follows, length of the payload in bytes.
HEADER = Layout(">4sII")
LENGTH = Layout(">I")

_ENCODER = Encoder()
_RECORDS = Decoder(tuple[Record, ...])
_SNAPSHOT = Decoder(Snapshot)


class Journal:
    """The open, locked data folder of one replica; calls block on the disk.

    Parameters
    ----------
    folder : Path
        Data folder; an empty one is initialized with a new identity.
    new_identity : ReplicaId
        Identity for a new folder; must differ from any used before.

    Raises
    ------
    LogCorruptError
        When the snapshot, or the log before its last frame, is damaged.
    SettingsError
        When another process uses the folder.
    """

    def __init__(self, folder: Path, new_identity: ReplicaId) -> None:
        self._folder = folder
        self._create_folder()
        self._lock = self._acquire_lock()
        self._file = -1
        try:
            self._open(new_identity)
        except BaseException:
            self.close()
            raise

    @property
    def snapshot_index(self) -> LogIndex:
        """Index of the last entry that the newest snapshot contains."""
        return self._snapshot_index

    @property
    def size_bytes(self) -> int:
        """Size of the log file in bytes."""
        return self._size

    @property
    def snapshot_bytes(self) -> int:
        """Size of the snapshot file in bytes."""
        return self._snapshot_bytes

    def save(self, records: list[Record | Snapshot]) -> None:
        """Write records and sync them, in order.

        After an `OSError` the same records may be saved again: writing a record
        twice has no further effect.
        """
        batch: list[Record] = []
        for record in records:
            if isinstance(record, Snapshot):
                self._write(batch)
                batch = []
                self.compact(record, ())
            else:
                batch.append(record)
        self._write(batch)

    def compact(self, snapshot: Snapshot, tail: tuple[Entry, ...]) -> None:
        """Save a snapshot and rewrite the log to begin after it.

        Parameters
        ----------
        snapshot : Snapshot
            Replaces the previous one.
        tail : tuple of Entry
            Saved entries that follow it.
        """
        frame = _build_frame(_ENCODER.encode(snapshot))
        self._replace_file(SNAPSHOT_NAME, frame)
        self._snapshot_bytes = len(frame)
        self._snapshot_index = snapshot.index
        self._rewrite_log(tail)

    def close(self) -> None:
        """Close the files and release the lock on the folder."""
        for file in (self._file, self._lock):
            if file >= 0:
                close_file(file)
        self._file = self._lock = -1

    def _open(self, new_identity: ReplicaId) -> None:
        self._identity = Identity(new_identity)
        self._genesis: Genesis | None = None
        self._hard_state = HardState()
        snapshot = self._read_snapshot()
        self._snapshot_index = snapshot.index if snapshot else LogIndex(0)
        if not (self._folder / LOG_NAME).exists():
            if snapshot is not None:
                raise LogCorruptError(
                    f"{self._folder}: snapshot exists but log is missing"
                )
            self._rewrite_log(())
        entries = self._read_log()
        kept = tuple(entry for entry in entries if entry.index > self._snapshot_index)
        self.saved = SavedState(
            self._identity.replica, self._genesis, self._hard_state, snapshot, kept
        )

    def _create_folder(self) -> None:
        if self._folder.is_dir():
            return
        parents = [self._folder, *self._folder.parents]
        missing = [folder for folder in parents if not folder.is_dir()]
        self._folder.mkdir(parents=True)
        for folder in reversed(missing):
            _sync_folder(folder.parent)

    def _acquire_lock(self) -> int:
        lock = open_file(self._folder / LOCK_NAME, O_RDWR | O_CREAT, FILE_MODE)
        try:
            flock(lock, LOCK_EX | LOCK_NB)
        except OSError:
            close_file(lock)
            raise SettingsError(f"{self._folder} is in use by another process")
        return lock

    def _read_snapshot(self) -> Snapshot | None:
        path = self._folder / SNAPSHOT_NAME
        self._snapshot_bytes = 0
        if not path.exists():
            return None
        data = path.read_bytes()
        self._snapshot_bytes = len(data)
        payload = _read_frame(data, 0)
        if payload is None:
            raise LogCorruptError(f"{path} is damaged")
        return _SNAPSHOT.decode(payload)

    def _read_log(self) -> list[Entry]:
        path = self._folder / LOG_NAME
        data = path.read_bytes()
        entries: list[Entry] = []
        offset = 0
        while offset < len(data):
            payload = _read_frame(data, offset)
            if payload is None:
                self._check_torn_tail(data, offset)
                break
            for record in self._decode(payload, offset):
                self._replay_record(record, entries)
            offset += HEADER.size + len(payload)
        if offset == 0:
            raise LogCorruptError(f"{path} has no complete frame")
        self._size = offset
        self._file = open_file(path, O_WRONLY | O_APPEND)
        if offset < len(data):
            ftruncate(self._file, offset)
            fsync(self._file)
        return entries

    def _check_torn_tail(self, data: bytes, offset: int) -> None:
        next_offset = data.find(MAGIC, offset + 1)
        while next_offset >= 0:
            if _read_frame(data, next_offset) is not None:
                path = self._folder / LOG_NAME
                raise LogCorruptError(f"{path} is damaged at byte {offset}")
            next_offset = data.find(MAGIC, next_offset + 1)

    def _decode(self, payload: bytes, offset: int) -> tuple[Record, ...]:
        try:
            return _RECORDS.decode(payload)
        except MsgspecError as error:
            path = self._folder / LOG_NAME
            raise LogCorruptError(f"{path}: frame at byte {offset}: {error}")

    def _replay_record(self, record: Record, entries: list[Entry]) -> None:
        match record:
            case LogStart(index):
                if index > self._snapshot_index:
                    raise LogCorruptError(f"{self._folder}: the snapshot is missing")
            case Entries(added):
                _replace_entries(entries, added)
            case _:
                self._update_state(record)

    def _update_state(self, record: Record) -> None:
        match record:
            case Identity():
                self._identity = record
            case JoinedGroup(genesis):
                self._genesis = genesis
            case HardState():
                self._hard_state = record

    def _write(self, batch: list[Record]) -> None:
        if not batch:
            return
        frame = _build_frame(_ENCODER.encode(batch))
        try:
            _write_all(self._file, frame)
            fsync(self._file)
        except OSError:
            # The next frame must not follow a partial one.
            ftruncate(self._file, self._size)
            raise
        self._size += len(frame)
        for record in batch:
            self._update_state(record)

    def _rewrite_log(self, tail: tuple[Entry, ...]) -> None:
        records: list[Record] = [LogStart(self._snapshot_index), self._identity]
        if self._genesis is not None:
            records.append(JoinedGroup(self._genesis))
        records.append(self._hard_state)
        if tail:
            records.append(Entries(tail))
        frame = _build_frame(_ENCODER.encode(records))
        self._replace_file(LOG_NAME, frame)
        if self._file >= 0:
            close_file(self._file)
        self._file = open_file(self._folder / LOG_NAME, O_WRONLY | O_APPEND)
        self._size = len(frame)

    def _replace_file(self, name: str, data: bytes) -> None:
        path = self._folder / name
        temporary = self._folder / (name + TEMPORARY_SUFFIX)
        temporary.unlink(missing_ok=True)
        file = open_file(temporary, O_WRONLY | O_CREAT, FILE_MODE)
        try:
            _write_all(file, data)
            fsync(file)
        finally:
            close_file(file)
        replace(temporary, path)
        _sync_folder(self._folder)


def _build_frame(payload: bytes) -> bytes:
    checked = LENGTH.pack(len(payload)) + payload
    return HEADER.pack(MAGIC, crc32(checked), len(payload)) + payload


def _read_frame(data: bytes, offset: int) -> bytes | None:
    start = offset + HEADER.size
    if start > len(data):
        return None
    magic, checksum, length = HEADER.unpack_from(data, offset)
    if magic != MAGIC or start + length > len(data):
        return None
    payload = data[start : start + length]
    if crc32(LENGTH.pack(length) + payload) != checksum:
        return None
    return payload


def _replace_entries(entries: list[Entry], added: tuple[Entry, ...]) -> None:
    first = added[0].index
    if entries and first <= entries[-1].index:
        del entries[max(first - entries[0].index, 0) :]
    entries.extend(added)


def _write_all(file: int, data: bytes) -> None:
    left = memoryview(data)
    while left:
        left = left[write_file(file, left) :]


def _sync_folder(folder: Path) -> None:
    file = open_file(folder, O_RDONLY | O_DIRECTORY)
    try:
        fsync(file)
    finally:
        close_file(file)
