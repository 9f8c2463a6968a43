"""Records that stand-ins keep of what they ran, one JSON object a line."""

from enum import StrEnum
from pathlib import Path
from time import CLOCK_BOOTTIME, clock_gettime

from msgspec import DecodeError, Struct, json

from bergamotwood_core.clock import Seconds


class Event(StrEnum):
    """What a record tells."""

    START = "start"
    END = "end"


class Record(Struct, omit_defaults=True):
    """Start or end of one run at an endpoint.

    Parameters
    ----------
    event : Event
        Start or end.
    time : float
        Seconds on the machine's clock since boot, common to all processes.
    endpoint, incarnation : str, int
        Who ran it.
    run : int
        Number of the run within the incarnation.
    request, key : str
        Request id and idempotency key as received.
    version : str
        Model version, or the name of the service.
    method, path : str
        Of the HTTP request.
    fingerprint : str
        Digest of the body.
    mark : str
        The caller's mark in the body or path.
    tokens : int
        Tokens sent, at the end of a run.
    finished, cancelled : bool
        Whether the whole answer was sent, or its connection closed before.
    leaving : bool
        Whether the endpoint had announced that it leaves.
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
    """Read the clock that counts while the machine sleeps."""
    return Seconds(clock_gettime(CLOCK_BOOTTIME))


class RecordFile:
    """Appends records to a file, each flushed at once.

    Parameters
    ----------
    path : Path or None
        The file; None keeps nothing.
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
    """Read the records of a file, but for a torn last line."""
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
    """Find runs of the last incarnation that began and have no end."""
    if not records:
        return []
    last = max(record.incarnation for record in records)
    runs = [record for record in records if record.incarnation == last]
    ended = {record.run for record in runs if record.event is Event.END}
    starts = (record for record in runs if record.event is Event.START)
    return [record for record in starts if record.run not in ended]
