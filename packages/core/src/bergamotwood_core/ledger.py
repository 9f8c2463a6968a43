"""State machine of the ledger: claims, answers and bills."""

from collections import OrderedDict
from math import isfinite

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from bergamotwood_core.bill_table import BillTable, Total, is_valid
from bergamotwood_core.ids import (
    IdempotencyKey,
    LogIndex,
    RequestId,
    WorkspaceId,
)
from bergamotwood_core.key_table import (
    MAX_REPEATS,
    KeyRecord,
    KeyTable,
    Scope,
    hash_scope,
)
from bergamotwood_core.ledger_command import (
    Abandon,
    Applied,
    Attempt,
    Bill,
    BillAnswer,
    Claim,
    ClaimAnswer,
    Conflict,
    Done,
    Expired,
    Finish,
    Full,
    Granted,
    Held,
    LedgerAnswer,
    LedgerCommand,
    RecordBill,
    Refused,
    Release,
    Released,
    StoredAnswer,
    Tick,
    Unknown,
    VoidBill,
    decode_answer,
    decode_command,
    encode_answer,
    encode_command,
)
from bergamotwood_core.states import BillOutcome, ClaimState
from bergamotwood_core.watermark import (
    SequenceStatus,
    StoredWindow,
    WindowTable,
    parse_request_id,
)

__all__ = [
    "Abandon",
    "Attempt",
    "Bill",
    "BillAnswer",
    "Claim",
    "ClaimAnswer",
    "Conflict",
    "Done",
    "Expired",
    "Finish",
    "Full",
    "Granted",
    "Held",
    "KeyRecord",
    "LedgerAnswer",
    "LedgerCommand",
    "LedgerMachine",
    "Applied",
    "RecordBill",
    "Refused",
    "Release",
    "Released",
    "StoredAnswer",
    "Tick",
    "Total",
    "Unknown",
    "VoidBill",
    "decode_answer",
    "encode_command",
]

# Maximum log time that one tick adds.
MAX_TICK_SECONDS = 3_600.0


class LedgerSnapshot(Struct, frozen=True):
    """The whole state, each list in the order of its table."""

    index: LogIndex
    now: float
    keys: list[tuple[Scope, KeyRecord]]
    expired: list[tuple[bytes, float]]
    released: list[str]
    answers: list[tuple[Scope, int]]
    bills: list[Bill]
    totals: dict[WorkspaceId, Total]
    windows: list[StoredWindow]


_ENCODER = Encoder()
_SNAPSHOTS = Decoder(LedgerSnapshot)


class LedgerMachine:
    """State machine that applies the commands of the ledger's log.

    Its keys, bills and windows are identical on every replica that applied the
    same commands: time advances by `Tick` commands only. An invalid command is
    answered and raises no exception.
    """

    def __init__(self) -> None:
        self.index = LogIndex(0)
        self.now = 0.0
        self.keys = KeyTable()
        self.bills = BillTable()
        self.windows = WindowTable()

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply the command at a log index.

        Parameters
        ----------
        index : LogIndex
            Index of the command; one that is not above the last is ignored.
        command : bytes
            An encoded command; other bytes only advance the index.

        Returns
        -------
        bytes
            An encoded `LedgerAnswer`.
        """
        if index <= self.index:
            return encode_answer(Refused("index applied already"))
        self.index = index
        decoded = decode_command(command)
        if decoded is None:
            return encode_answer(Refused("no command"))
        return encode_answer(self._apply_command(decoded))

    def find_claim(
        self, workspace: WorkspaceId, key: IdempotencyKey
    ) -> KeyRecord | None:
        """Find the record of a caller's key."""
        return self.keys.records.get((workspace, key))

    def is_expired(self, workspace: WorkspaceId, key: IdempotencyKey) -> bool:
        """Tell whether a key was used, but its record is no longer kept."""
        return hash_scope((workspace, key)) in self.keys.expired

    def find_bill(self, request: RequestId) -> Bill | None:
        """Find the bill of a request, if it is still kept."""
        return self.bills.bills.get(request)

    def find_bill_of_key(
        self, workspace: WorkspaceId, key: IdempotencyKey
    ) -> Bill | None:
        """Find the bill of a caller's key, if it is still kept."""
        record = self.find_claim(workspace, key)
        if record is None or record.billed is None:
            return None
        return self.find_bill(record.billed)

    def list_bills(self, workspace: WorkspaceId | None, limit: int) -> list[Bill]:
        """List the newest bills of one or all workspaces, newest first."""
        return self.bills.list(workspace, limit)

    def total(self, workspace: WorkspaceId) -> Total:
        """Return the total of all bills of a workspace."""
        return self.bills.totals.get(workspace, Total())

    def list_totals(self) -> dict[WorkspaceId, Total]:
        """Return the total of each workspace that was billed."""
        return dict(self.bills.totals)

    def count_entities(self) -> dict[str, int]:
        """Return the sizes of the tables, for metrics."""
        return {
            "keys": len(self.keys.records),
            "held_claims": self.keys.count_held(),
            "expired_keys": len(self.keys.expired),
            "released_tokens": len(self.keys.released),
            "answer_bytes": self.keys.answer_bytes,
            "bills": len(self.bills.bills),
            "windows": sum(map(len, self.windows.windows.values())),
        }

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        state = LedgerSnapshot(
            index=self.index,
            now=self.now,
            keys=list(self.keys.records.items()),
            expired=list(self.keys.expired.items()),
            released=list(self.keys.released),
            answers=list(self.keys.answers.items()),
            bills=list(self.bills.bills.values()),
            totals=self.bills.totals,
            windows=self.windows.dump(),
        )
        return _ENCODER.encode(state)

    def restore(self, content: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        state = _SNAPSHOTS.decode(content)
        self.index = state.index
        self.now = state.now
        self.keys = KeyTable()
        self.keys.records = OrderedDict(state.keys)
        self.keys.expired = OrderedDict(state.expired)
        self.keys.released = OrderedDict.fromkeys(state.released)
        self.keys.answers = OrderedDict(state.answers)
        self.keys.rebuild()
        self.bills = BillTable()
        self.bills.bills = OrderedDict((bill.request, bill) for bill in state.bills)
        self.bills.totals = state.totals
        self.windows = WindowTable()
        self.windows.load(state.windows)

    def _apply_command(self, command: LedgerCommand) -> LedgerAnswer:
        match command:
            case Claim():
                return self.keys.claim(command, self.now)
            case Release():
                return Applied(int(self.keys.release(command)))
            case Finish():
                return self._finish(command)
            case RecordBill():
                return self._record_bill(command.bill)
            case VoidBill():
                return self._void_bill(command.bill)
            case Abandon():
                return Applied(self.keys.abandon(command.instance, command.incarnation))
            case Tick():
                return self._tick(command)

    def _tick(self, command: Tick) -> LedgerAnswer:
        if not isfinite(command.elapsed) or command.elapsed < 0.0:
            return Refused("elapsed: must be 0 or more seconds")
        self.now += min(command.elapsed, MAX_TICK_SECONDS)
        return Applied(self.keys.expire_claims(self.now))

    def _finish(self, command: Finish) -> BillAnswer:
        scope = (command.workspace, command.key)
        bill = command.bill
        record = self.keys.records.get(scope)
        if bill is not None and not _matches_scope(bill, scope):
            return BillAnswer(BillOutcome.INVALID, bill.request)
        if record is None:
            return self._finish_unknown_key(scope, bill)
        if record.token != command.token:
            return BillAnswer(BillOutcome.CONFLICT, record.request)
        if record.state is ClaimState.DONE:
            first = record.billed or record.request
            return BillAnswer(BillOutcome.DUPLICATE, first)
        if bill is None and command.answer is None:
            self.keys.end_claim(scope, ClaimState.UNKNOWN, None)
            return BillAnswer(BillOutcome.RECORDED, record.request)
        self.keys.end_claim(scope, ClaimState.DONE, command.answer)
        if bill is None:
            return BillAnswer(BillOutcome.RECORDED, record.request)
        return self._bill_key(record, bill)

    def _finish_unknown_key(self, scope: Scope, bill: Bill | None) -> BillAnswer:
        if bill is None:
            return BillAnswer(BillOutcome.EXPIRED, RequestId(""))
        if hash_scope(scope) in self.keys.expired:
            return self._bill_request(bill)
        return self._record_bill(bill)

    def _record_bill(self, bill: Bill) -> BillAnswer:
        if not is_valid(bill):
            return BillAnswer(BillOutcome.INVALID, bill.request)
        if bill.key is None:
            return self._bill_request(bill)
        scope = (bill.workspace, bill.key)
        record = self.keys.records.get(scope)
        if record is not None:
            if record.digest != bill.digest:
                return BillAnswer(BillOutcome.CONFLICT, record.request)
            return self._bill_key(record, bill)
        if hash_scope(scope) in self.keys.expired:
            return BillAnswer(BillOutcome.EXPIRED, RequestId(""))
        record = KeyRecord(bill.digest, ClaimState.DONE, "", bill.request, self.now)
        if not self.keys.add(scope, record, self.now):
            return BillAnswer(BillOutcome.FULL, bill.request)
        return self._bill_key(record, bill)

    def _bill_key(self, record: KeyRecord, bill: Bill) -> BillAnswer:
        if record.billed is not None:
            if record.billed != bill.request:
                record.repeats = [*record.repeats, bill][-MAX_REPEATS:]
            return BillAnswer(BillOutcome.DUPLICATE, record.billed)
        answer = self._bill_request(bill)
        if answer.outcome is BillOutcome.RECORDED:
            record.billed = bill.request
        return answer

    def _void_bill(self, bill: Bill) -> LedgerAnswer:
        """Remove a bill; one that is not recorded yet is refused when it arrives.

        A repeat with the same key may have been answered meanwhile, because the key
        was billed: its bill is recorded instead.
        """
        if not is_valid(bill):
            return BillAnswer(BillOutcome.INVALID, bill.request)
        origin = parse_request_id(bill.request)
        recorded = self.bills.bills.get(bill.request)
        record = self.keys.records.get((bill.workspace, bill.key))
        if record is not None:
            record.repeats = [
                repeat for repeat in record.repeats if repeat.request != bill.request
            ]
        if self.windows.mark(origin) is not SequenceStatus.SEEN or recorded is None:
            return Applied(0)
        self.bills.remove(recorded)
        if record is not None and record.billed == bill.request:
            record.billed = None
            self._bill_repeat(record)
        return Applied(1)

    def _bill_repeat(self, record: KeyRecord) -> None:
        if record.repeats:
            repeat = record.repeats.pop(0)
            self._bill_key(record, repeat)

    def _bill_request(self, bill: Bill) -> BillAnswer:
        origin = parse_request_id(bill.request)
        if origin is None:
            return BillAnswer(BillOutcome.INVALID, bill.request)
        match self.windows.mark(origin):
            case SequenceStatus.SEEN:
                return BillAnswer(BillOutcome.DUPLICATE, bill.request)
            case SequenceStatus.PAST:
                return BillAnswer(BillOutcome.EXPIRED, bill.request)
        self.bills.add(bill)
        return BillAnswer(BillOutcome.RECORDED, bill.request)


def _matches_scope(bill: Bill, scope: Scope) -> bool:
    return is_valid(bill) and (bill.workspace, bill.key) == scope
