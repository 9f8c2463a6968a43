"""Encoding of messages without records that cannot be used, which are counted."""

from msgspec.msgpack import Encoder

from bergamotwood_core.gateway.usable import ENCODING_ERRORS, leave_out_unencodable
from bergamotwood_daemon.log import log_event

_ENCODER = Encoder()


class _Counter:
    """Records that this process has left out."""

    def __init__(self) -> None:
        self.records = 0


_COUNTER = _Counter()


def count_unusable() -> int:
    """Return how many records were left out."""
    return _COUNTER.records


def report_unusable(source: str, count: int, reason: str) -> None:
    """Log and count records that are left out.

    Parameters
    ----------
    source : str
        Message or table that they belong to.
    count : int
        Number of the records.
    reason : str
        Why one of them cannot be used.
    """
    _COUNTER.records += count
    log_event(
        "control", "Records left out.", source=source, count=count, reason=reason[:200]
    )


def encode_usable(message: object) -> bytes:
    """Encode a message, without those of its records that have no encoding.

    Raises
    ------
    UnencodableError
        When it has no encoding without them either.
    """
    try:
        return _ENCODER.encode(message)
    except ENCODING_ERRORS as error:
        kept, count = leave_out_unencodable(message)
        report_unusable(type(message).__name__, count, str(error))
        return _ENCODER.encode(kept)
