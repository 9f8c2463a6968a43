"""Records of the runs of fake endpoints, one JSON object per line."""

from enum import StrEnum
from pathlib import Path
from time import CLOCK_BOOTTIME, clock_gettime

from msgspec import DecodeError, Struct, json

from bergamotwood_core.clock import Seconds


class Event(StrEnum):
    """Which end of a run a record marks."""

    START = "start"
    END = "end"


class Record(Struct, omit_defaults=True):
    """Start or end of one run at an endpoint.

    Parameters
    ----------
    event : Event
        Whether the run starts or ends.
    time : float
        Seconds since boot, comparable between processes of the machine.
    endpoint, incarnation : str, int
        The endpoint that ran it.
    run : int
        Number of the run within the incarnation.
    request, key : str
        Request id and idempotency key as received.
    version : str
        Model version, or the name of the service.
    method, path : str
        Request line of the HTTP request.
    fingerprint : str
        Digest of the body.
    mark : str
        Identifier that the caller put into the body or path.
    tokens : int
        Events sent, in a record of an end; 1 for an answer of a plain service.
    finished, cancelled : bool
        In a record of an end, whether the complete answer was sent, or the run
        stopped before.
    leaving : bool
        Whether the endpoint was shutting down when the run started.
    """

    event: Event
    time: float
    endpoint: str
    incarnation: int
    run: int
    request: str = ""
    key: str = ""
    version: str = ""
    method: str = ""
    path: str = ""
    fingerprint: str = ""
    mark: str = ""
    tokens: int = 0
    finished: bool = False
    cancelled: bool = False
    leaving: bool = False


def read_clock() -> Seconds:
    """Read the boot-time clock, which also advances during suspend."""
    return Seconds(clock_gettime(CLOCK_BOOTTIME))


class RecordFile:
    """Appends records to a file and flushes each one immediately.

    Parameters
    ----------
    path : Path or None
        The file; None discards the records.
    """

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("ab") if path else None

    def write(self, record: Record) -> None:
        """Append one record."""
        if self._file is None:
            return
        self._file.write(json.encode(record) + b"\n")
        self._file.flush()


def read_records(path: Path) -> list[Record]:
    """Read the records of a file; skip invalid lines, such as a truncated last one."""
    if not path.exists():
        return []
    records = []
    for line in path.read_bytes().splitlines():
        try:
            records.append(json.decode(line, type=Record))
        except DecodeError:
            continue
    return records


def find_unfinished(records: list[Record]) -> list[Record]:
    """Find the runs of the latest incarnation that started but did not end."""
    if not records:
        return []
    latest_incarnation = max(record.incarnation for record in records)
    latest_records = [
        record for record in records if record.incarnation == latest_incarnation
    ]
    ended = {record.run for record in latest_records if record.event is Event.END}
    starts = (record for record in latest_records if record.event is Event.START)
    return [record for record in starts if record.run not in ended]
