"""Recording of the runs of one endpoint."""

from hashlib import sha256
from itertools import count
from pathlib import Path
from re import compile as compile_pattern

from msgspec import Struct
from msgspec.structs import replace

from bergamotwood_core.ids import EndpointId, Incarnation
from bergamotwood_fakes.record import Event, Record, RecordFile, read_clock
from bergamotwood_fakes.web import Environ, read_header

MARK_PATTERN = compile_pattern(rb"mark-([A-Za-z0-9_.-]+)")


class Identity(Struct, frozen=True):
    """Identity of an endpoint and of its current incarnation."""

    id: EndpointId
    incarnation: Incarnation


class Recorder:
    """Numbers the runs of an endpoint and records their starts and ends.

    Parameters
    ----------
    identity : Identity
        The endpoint.
    path : Path or None
        File for the records; None discards them.
    """

    def __init__(self, identity: Identity, path: Path | None) -> None:
        self._identity = identity
        self._file = RecordFile(path)
        self._numbers = count(1)
        self.running = 0
        self.leaving = False

    def record_start(self, environ: Environ, body: bytes, version: str) -> Record:
        """Record the start of a run."""
        record = Record(
            event=Event.START,
            time=read_clock(),
            endpoint=self._identity.id,
            incarnation=self._identity.incarnation,
            run=next(self._numbers),
            request=read_header(environ, "X-Request-Id"),
            key=read_header(environ, "Idempotency-Key"),
            version=version,
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            fingerprint=sha256(body).hexdigest(),
            mark=find_mark(environ["PATH_INFO"].encode() + body),
            leaving=self.leaving,
        )
        self.running += 1
        self._file.write(record)
        return record

    def record_end(self, started: Record, tokens: int, finished: bool) -> None:
        """Record the end of a run; an unfinished run counts as cancelled."""
        record = replace(
            started,
            event=Event.END,
            time=read_clock(),
            tokens=tokens,
            finished=finished,
            cancelled=not finished,
        )
        self.running -= 1
        self._file.write(record)


def find_mark(text: bytes) -> str:
    """Find the mark that identifies the caller's request, empty without one."""
    match = MARK_PATTERN.search(text)
    return match.group(1).decode() if match else ""
