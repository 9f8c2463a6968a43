from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotwood_core.errors import LogCorruptError, SettingsError
from bergamotwood_core.ids import InstanceId, LogIndex, ReplicaId, Term
from bergamotwood_core.logentries import (
    Entries,
    Entry,
    EntryKind,
    HardState,
    JoinedGroup,
    Snapshot,
)
from bergamotwood_core.membership import Genesis, Member, Membership
from bergamotwood_daemon import journal
from bergamotwood_daemon import journal as journal_module
from bergamotwood_daemon.journal import Journal

MEMBERS = Membership((Member(InstanceId("a"), ReplicaId("r1"), True),))
GENESIS = Genesis("g", MEMBERS)


def open_journal(folder, new_identity="r1"):
    return Journal(Path(folder), ReplicaId(new_identity))


def build_entry(index, term=1, command=None):
    command = command or b"command %d" % index
    return Entry(LogIndex(index), Term(term), EntryKind.COMMAND, command)


def build_entries(first, last, term=1):
    return Entries(tuple(build_entry(at, term) for at in range(first, last + 1)))


def write_batches(folder, count, size=3):
    journal = open_journal(folder)
    journal.save([JoinedGroup(GENESIS), HardState(Term(1), ReplicaId("r1"))])
    for batch in range(count):
        first = batch * size + 1
        journal.save([build_entries(first, first + size - 1)])
    journal.close()


def read_saved(folder, new_identity="other"):
    journal = open_journal(folder, new_identity)
    journal.close()
    return journal.saved


def test_saved_records_are_read_back(tmp_path):
    write_batches(tmp_path, 4)
    saved = read_saved(tmp_path)
    assert saved.replica == "r1"
    assert saved.genesis == GENESIS
    assert saved.hard_state == HardState(Term(1), ReplicaId("r1"))
    assert saved.entries == build_entries(1, 12).entries


def test_rewritten_entries_replace_all_from_their_index(tmp_path):
    write_batches(tmp_path, 3)
    journal = open_journal(tmp_path)
    journal.save([HardState(Term(2)), build_entries(5, 6, term=2)])
    journal.close()
    saved = read_saved(tmp_path)
    expected = build_entries(1, 4).entries + build_entries(5, 6, term=2).entries
    assert saved.entries == expected
    assert saved.hard_state == HardState(Term(2))


def test_empty_folder_gets_a_new_identity(tmp_path):
    write_batches(tmp_path, 1)
    for file in tmp_path.iterdir():
        file.unlink()
    saved = read_saved(tmp_path, new_identity="r2")
    assert saved.replica == "r2"
    assert saved.genesis is None
    assert saved.entries == ()


@pytest.mark.parametrize("lost_bytes", [1, 7, 40])
def test_torn_tail_is_truncated_and_writing_continues(tmp_path, lost_bytes):
    write_batches(tmp_path, 4)
    log = tmp_path / "log"
    log.write_bytes(log.read_bytes()[:-lost_bytes])
    journal = open_journal(tmp_path)
    assert journal.saved.entries == build_entries(1, 9).entries
    journal.save([build_entries(10, 11)])
    journal.close()
    assert read_saved(tmp_path).entries == build_entries(1, 11).entries


def test_garbage_after_the_last_frame_is_truncated(tmp_path):
    write_batches(tmp_path, 2)
    with (tmp_path / "log").open("ab") as log:
        log.write(b"BWlg" + bytes(5000))
    assert read_saved(tmp_path).entries == build_entries(1, 6).entries


def test_damage_before_the_last_frame_is_an_error(tmp_path):
    write_batches(tmp_path, 4)
    log = tmp_path / "log"
    data = bytearray(log.read_bytes())
    data[data.index(b"command 5")] ^= 1
    log.write_bytes(data)
    with pytest.raises(LogCorruptError, match="damaged at byte"):
        read_saved(tmp_path)


def test_damaged_snapshot_is_an_error(tmp_path):
    journal = open_journal(tmp_path)
    journal.compact(Snapshot(LogIndex(5), Term(1), MEMBERS, b"state"), ())
    journal.close()
    path = tmp_path / "snapshot"
    path.write_bytes(path.read_bytes().replace(b"state", b"stale"))
    with pytest.raises(LogCorruptError, match="damaged"):
        read_saved(tmp_path)


@pytest.mark.parametrize("name", ["snapshot", "log"])
def test_missing_log_or_snapshot_is_an_error(tmp_path, name):
    journal = open_journal(tmp_path)
    journal.save([build_entries(1, 8)])
    snapshot = Snapshot(LogIndex(5), Term(1), MEMBERS, b"state")
    journal.compact(snapshot, build_entries(6, 8).entries)
    journal.close()
    (tmp_path / name).unlink()
    with pytest.raises(LogCorruptError):
        read_saved(tmp_path)


def test_compaction_removes_entries_up_to_the_snapshot(tmp_path):
    write_batches(tmp_path, 10)
    journal = open_journal(tmp_path)
    before = journal.size_bytes
    snapshot = Snapshot(LogIndex(28), Term(1), MEMBERS, b"state")
    journal.compact(snapshot, build_entries(29, 30).entries)
    assert journal.size_bytes < before / 3
    journal.save([build_entries(31, 31)])
    journal.close()
    saved = read_saved(tmp_path)
    assert saved.snapshot == snapshot
    assert saved.entries == build_entries(29, 31).entries
    assert saved.genesis == GENESIS


def test_crash_between_writing_snapshot_and_log_loses_nothing(tmp_path):
    write_batches(tmp_path, 10)
    old_log = (tmp_path / "log").read_bytes()
    journal = open_journal(tmp_path)
    snapshot = Snapshot(LogIndex(28), Term(1), MEMBERS, b"state")
    journal.compact(snapshot, build_entries(29, 30).entries)
    journal.close()
    (tmp_path / "log").write_bytes(old_log)
    (tmp_path / "log.new").write_bytes(b"half")
    saved = read_saved(tmp_path)
    assert saved.snapshot == snapshot
    assert saved.entries == build_entries(29, 30).entries


def test_snapshot_saved_between_other_records_is_read_back(tmp_path):
    write_batches(tmp_path, 2)
    journal = open_journal(tmp_path)
    snapshot = Snapshot(LogIndex(50), Term(2), MEMBERS, b"state")
    journal.save([HardState(Term(2)), snapshot, build_entries(51, 52, term=2)])
    journal.close()
    saved = read_saved(tmp_path)
    assert saved.snapshot == snapshot
    assert saved.hard_state == HardState(Term(2))
    assert saved.entries == build_entries(51, 52, term=2).entries


def test_folder_cannot_be_opened_twice_at_once(tmp_path):
    journal = open_journal(tmp_path)
    with pytest.raises(SettingsError):
        open_journal(tmp_path)
    journal.close()
    open_journal(tmp_path).close()


def find_frame_ends(folder, count):
    """Return the size of the log after each batch."""
    sizes = []
    for batch_count in range(count + 1):
        with TemporaryDirectory(dir=folder) as other:
            write_batches(other, batch_count)
            sizes.append((Path(other) / "log").stat().st_size)
    return sizes


@settings(derandomize=True, max_examples=150, deadline=None)
@given(data=st.data())
def test_log_truncated_anywhere_yields_the_synced_batches(data):
    with TemporaryDirectory() as folder:
        ends = find_frame_ends(folder, 3)
        write_batches(folder, 3)
        log = Path(folder) / "log"
        whole = log.read_bytes()
        kept = data.draw(st.integers(ends[0], len(whole)))
        tail = data.draw(st.binary(max_size=30))
        log.write_bytes(whole[:kept] + tail)
        synced = sum(end <= kept for end in ends) - 1
        # The random tail may equal the bytes that were removed.
        if whole.startswith(whole[:kept] + tail):
            synced = sum(end <= kept + len(tail) for end in ends) - 1
        saved = read_saved(folder)
        assert saved.entries == build_entries(1, 3 * synced).entries


@settings(derandomize=True, max_examples=200, deadline=None)
@given(data=st.data())
def test_flipped_bit_is_never_read_as_an_entry(data):
    with TemporaryDirectory() as folder:
        ends = find_frame_ends(folder, 3)
        write_batches(folder, 3)
        log = Path(folder) / "log"
        whole = bytearray(log.read_bytes())
        at = data.draw(st.integers(0, len(whole) - 1))
        whole[at] ^= 1 << data.draw(st.integers(0, 7))
        log.write_bytes(whole)
        if at < ends[-2]:
            with pytest.raises(LogCorruptError):
                read_saved(folder)
        else:
            assert read_saved(folder).entries == build_entries(1, 6).entries


def test_partial_write_that_fails_is_removed_from_the_log(tmp_path, monkeypatch):
    journal = open_journal(tmp_path)
    journal.save([JoinedGroup(GENESIS), build_entries(1, 3)])
    write = journal_module.write_file

    def write_half(file, data):
        write(file, bytes(data)[: len(data) // 2])
        raise OSError("no space")

    monkeypatch.setattr(journal_module, "write_file", write_half)
    with pytest.raises(OSError, match="no space"):
        journal.save([build_entries(4, 6)])
    monkeypatch.undo()
    journal.save([build_entries(4, 6)])
    journal.close()
    assert read_saved(tmp_path).entries == build_entries(1, 6).entries


def test_every_folder_that_is_created_is_synced(tmp_path, monkeypatch):
    synced = []
    monkeypatch.setattr(journal, "_sync_folder", synced.append)
    open_journal(tmp_path / "a" / "b" / "c")
    assert synced[:3] == [tmp_path, tmp_path / "a", tmp_path / "a" / "b"]
