"""Request ids made by entries, and windows that find repeated ones."""

from collections import OrderedDict
from enum import Enum

from msgspec import Struct

from bergamotwood_core.ids import Incarnation, InstanceId, RequestId, Sequence

# Sequences below the newest one in which an entry's bills may still come.
WINDOW_SIZE = 65_536
# Starts of one instance, and instances, for which windows are kept.
MAX_INCARNATIONS = 3
MAX_INSTANCES = 1_024


class SequenceStatus(Enum):
    """What a window says of a sequence number."""

    NEW = "new"
    SEEN = "seen"
    PAST = "past"


class RequestOrigin(Struct, frozen=True):
    """The parts of a request id made by an entry."""

    instance: InstanceId
    incarnation: Incarnation
    sequence: Sequence


def make_request_id(
    instance: InstanceId, incarnation: Incarnation, sequence: Sequence
) -> RequestId:
    """Join the parts of a request id."""
    return RequestId(f"{instance}-{incarnation}-{sequence}")


def parse_request_id(request: RequestId) -> RequestOrigin | None:
    """Split a request id; None if no entry made it."""
    parts = request.rsplit("-", 2)
    if len(parts) != 3 or not parts[0]:
        return None
    incarnation, sequence = parts[1:]
    if not _is_number(incarnation) or not _is_number(sequence):
        return None
    return RequestOrigin(
        InstanceId(parts[0]), Incarnation(int(incarnation)), Sequence(int(sequence))
    )


class SequenceWindow(Struct):
    """Which of the newest sequence numbers were seen.

    Parameters
    ----------
    floor : int
        Numbers below it are past.
    seen : int
        Bit `n` is set if `floor + n` was seen.
    """

    floor: int = 0
    seen: int = 0

    def mark(self, sequence: Sequence) -> SequenceStatus:
        """Mark a number as seen, and tell whether it was."""
        if sequence < self.floor:
            return SequenceStatus.PAST
        excess = sequence - self.floor - WINDOW_SIZE + 1
        if excess > 0:
            self.floor += excess
            self.seen >>= excess
        bit = 1 << (sequence - self.floor)
        if self.seen & bit:
            return SequenceStatus.SEEN
        self.seen |= bit
        return SequenceStatus.NEW


class StoredWindow(Struct, frozen=True):
    """A window of sequences in a snapshot; the bits are little-endian."""

    instance: InstanceId
    incarnation: Incarnation
    floor: int
    seen: bytes


IncarnationWindows = dict[Incarnation, SequenceWindow]


class WindowTable:
    """Windows of the newest incarnations of each instance."""

    def __init__(self) -> None:
        self.windows: OrderedDict[InstanceId, IncarnationWindows] = OrderedDict()

    def mark(self, origin: RequestOrigin) -> SequenceStatus:
        """Mark a request as seen, and tell whether it was."""
        windows = self.windows.setdefault(origin.instance, {})
        self.windows.move_to_end(origin.instance)
        if len(self.windows) > MAX_INSTANCES:
            self.windows.popitem(last=False)
        window = windows.get(origin.incarnation)
        if window is not None:
            return window.mark(origin.sequence)
        if len(windows) >= MAX_INCARNATIONS:
            oldest = min(windows)
            if origin.incarnation < oldest:
                return SequenceStatus.PAST
            del windows[oldest]
        window = windows[origin.incarnation] = SequenceWindow()
        return window.mark(origin.sequence)

    def dump(self) -> list[StoredWindow]:
        """List the windows in the order of the table."""
        return [
            _dump_window(instance, incarnation, window)
            for instance, windows in self.windows.items()
            for incarnation, window in windows.items()
        ]

    def load(self, stored: list[StoredWindow]) -> None:
        """Fill an empty table in the same order."""
        for item in stored:
            window = SequenceWindow(item.floor, int.from_bytes(item.seen, "little"))
            windows = self.windows.setdefault(item.instance, {})
            windows[item.incarnation] = window


def _dump_window(
    instance: InstanceId, incarnation: Incarnation, window: SequenceWindow
) -> StoredWindow:
    size = (window.seen.bit_length() + 7) // 8
    seen = window.seen.to_bytes(size, "little")
    return StoredWindow(instance, incarnation, window.floor, seen)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 19
