"""State machine of the control log: tickets, roll-outs and suspects."""

from collections.abc import Iterator
from dataclasses import replace

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from bergamotwood_core.change import (
    apply_rollout_end,
    copy_tables,
    drop_finished_rollouts,
    merge_ticket,
    rebuild_versions,
    replace_tables,
)
from bergamotwood_core.configuration import (
    Cascade,
    Entity,
    Model,
    Rollout,
    Service,
    Ticket,
    Workspace,
)
from bergamotwood_core.control_command import (
    ApplyTicket,
    ClearSuspect,
    CommandAnswer,
    ControlAnswer,
    ControlCommand,
    RecordCrash,
    RecordProgress,
    TicketAnswer,
    decode_answer,
    decode_command,
    encode_answer,
    encode_command,
)
from bergamotwood_core.errors import TicketError
from bergamotwood_core.ids import (
    EndpointId,
    Fingerprint,
    Incarnation,
    LogIndex,
    RolloutId,
    TicketNumber,
)
from bergamotwood_core.quarantine import QUARANTINE_CRASHES
from bergamotwood_core.reference import ACTIVE_STATES
from bergamotwood_core.states import RolloutState, TicketOutcome
from bergamotwood_core.tables import ConfigurationTables, RolloutProgress, Suspect
from bergamotwood_core.ticket import KINDS, check_ticket, digest_ticket, parse_ticket

__all__ = [
    "ApplyTicket",
    "ClearSuspect",
    "CommandAnswer",
    "ControlAnswer",
    "ControlCommand",
    "ControlMachine",
    "RecordCrash",
    "RecordProgress",
    "TicketAnswer",
    "TicketRecord",
    "decode_answer",
    "encode_command",
]

# Newest accepted tickets that are remembered, to answer a repeated number.
MAX_TICKETS = 4_096
# Suspect fingerprints, and crash reports, that are kept.
MAX_SUSPECTS = 4_096
MAX_CRASH_REPORTS = 8_192
# Characters of a note, operator or reason, and object names per ticket, that are
# kept.
MAX_NOTE_CHARACTERS = 200
MAX_RECORDED_NAMES = 16


class TicketRecord(Struct, frozen=True):
    """Data of an accepted ticket that the control replicas keep."""

    number: TicketNumber
    digest: str
    index: LogIndex
    operator: str
    note: str
    names: tuple[str, ...]


class CrashReport(Struct, frozen=True):
    """Crash of an endpoint incarnation while it ran a request with this fingerprint."""

    fingerprint: Fingerprint
    endpoint: EndpointId
    incarnation: Incarnation


class ControlSnapshot(Struct, frozen=True):
    """The whole state; entities are JSON in the order of their tables."""

    index: LogIndex
    ticket: TicketNumber
    entities: dict[str, list[bytes]]
    progress: dict[RolloutId, RolloutProgress]
    suspects: dict[Fingerprint, Suspect]
    reports: list[CrashReport]
    records: list[TicketRecord]


_ADVANCING_STATES = (RolloutState.RUNNING, RolloutState.COMPLETED)
ENTITY_TYPES: dict[str, type[Entity]] = {
    "workspaces": Workspace,
    "models": Model,
    "cascades": Cascade,
    "services": Service,
    "rollouts": Rollout,
}
_ENCODER = Encoder()
_SNAPSHOTS = Decoder(ControlSnapshot)


class ControlMachine:
    """State machine that applies the commands of the control log to tables.

    Its state is identical on every replica that applied the same commands: it
    uses no clock and no randomness, and answers an invalid command instead of
    raising an exception.
    """

    def __init__(self) -> None:
        self.tables = ConfigurationTables()
        self.records: dict[TicketNumber, TicketRecord] = {}
        self._reports: dict[CrashReport, None] = {}

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
            An encoded `TicketAnswer` or `CommandAnswer`.
        """
        if index <= self.tables.index:
            return encode_answer(CommandAnswer(False, "index applied already"))
        self.tables.index = index
        decoded = decode_command(command)
        if decoded is None:
            return encode_answer(CommandAnswer(False, "no command"))
        return encode_answer(self._apply_command(index, decoded))

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        tables = self.tables
        entities = {kind: _dump_entities(getattr(tables, kind)) for kind in KINDS}
        state = ControlSnapshot(
            index=tables.index,
            ticket=tables.ticket,
            entities=entities,
            progress=tables.progress,
            suspects=tables.suspects,
            reports=list(self._reports),
            records=list(self.records.values()),
        )
        return _ENCODER.encode(state)

    def restore(self, content: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        state = _SNAPSHOTS.decode(content)
        tables = ConfigurationTables(index=state.index, ticket=state.ticket)
        for kind, entity_type in ENTITY_TYPES.items():
            items = map(entity_type.model_validate_json, state.entities[kind])
            getattr(tables, kind).update({item.key: item for item in items})
        tables.progress = state.progress
        tables.suspects = state.suspects
        rebuild_versions(tables)
        replace_tables(self.tables, tables)
        self.records = {record.number: record for record in state.records}
        self._reports = dict.fromkeys(state.reports)

    def _apply_command(self, index: LogIndex, command: ControlCommand) -> ControlAnswer:
        match command:
            case ApplyTicket():
                return self._apply_ticket(index, command)
            case RecordProgress():
                return self._record_progress(command)
            case RecordCrash():
                return self._record_crash(command)
            case ClearSuspect():
                return self._clear_suspect(command)

    def _apply_ticket(self, index: LogIndex, command: ApplyTicket) -> TicketAnswer:
        try:
            ticket = parse_ticket(command.ticket)
        except TicketError as error:
            return TicketAnswer(
                TicketNumber(0), TicketOutcome.INVALID, faults=error.faults
            )
        number = TicketNumber(ticket.number)
        digest = digest_ticket(ticket)
        if number <= self.tables.ticket:
            return self._answer_known_number(number, digest)
        faults = check_ticket(self.tables, ticket)
        if faults:
            return TicketAnswer(number, TicketOutcome.INVALID, faults=faults)
        replace_tables(self.tables, merge_ticket(self.tables, ticket))
        self._add_record(ticket, digest, index, command.operator)
        return TicketAnswer(number, TicketOutcome.ACCEPTED, index)

    def _answer_known_number(self, number: TicketNumber, digest: str) -> TicketAnswer:
        record = self.records.get(number)
        newest = self.tables.ticket
        if record is None:
            fault = f"number {number} is not above {newest}, the newest accepted"
            return TicketAnswer(number, TicketOutcome.STALE, faults=(fault,))
        if record.digest == digest:
            return TicketAnswer(number, TicketOutcome.REPEATED, record.index)
        by = f" by {record.operator}" if record.operator else ""
        fault = f"number {number} was accepted{by} with other content"
        return TicketAnswer(number, TicketOutcome.CONFLICT, faults=(fault,))

    def _add_record(
        self, ticket: Ticket, digest: str, index: LogIndex, operator: str
    ) -> None:
        number = TicketNumber(ticket.number)
        self.records[number] = TicketRecord(
            number=number,
            digest=digest,
            index=index,
            operator=operator[:MAX_NOTE_CHARACTERS],
            note=ticket.note[:MAX_NOTE_CHARACTERS],
            names=tuple(_list_names(ticket))[:MAX_RECORDED_NAMES],
        )
        _drop_oldest(self.records, MAX_TICKETS)

    def _record_progress(self, command: RecordProgress) -> CommandAnswer:
        rollout = self.tables.rollouts.get(command.rollout)
        progress = self.tables.progress.get(command.rollout)
        if rollout is None or progress is None:
            return CommandAnswer(False, "unknown roll-out")
        if command.ticket != progress.ticket:
            return CommandAnswer(False, f"set again by ticket {progress.ticket}")
        if progress.state not in ACTIVE_STATES:
            return CommandAnswer(False, f"roll-out is {progress.state}")
        if rollout.state is RolloutState.PAUSED and command.state in _ADVANCING_STATES:
            return CommandAnswer(False, "paused by its ticket")
        if not progress.stage <= command.stage < len(rollout.stages):
            return CommandAnswer(False, f"stage {command.stage} is out of range")
        tables = copy_tables(self.tables)
        tables.progress[command.rollout] = replace(
            progress,
            stage=command.stage,
            state=command.state,
            exposed=max(progress.exposed, command.exposed),
            reason=command.reason[:MAX_NOTE_CHARACTERS],
        )
        apply_rollout_end(tables, rollout)
        rebuild_versions(tables)
        drop_finished_rollouts(tables)
        replace_tables(self.tables, tables)
        return CommandAnswer(True)

    def _record_crash(self, command: RecordCrash) -> CommandAnswer:
        report = CrashReport(command.fingerprint, command.endpoint, command.incarnation)
        if report in self._reports:
            return CommandAnswer(False, "reported already")
        self._reports[report] = None
        _drop_oldest(self._reports, MAX_CRASH_REPORTS)
        suspects = self.tables.suspects
        suspect = suspects.pop(command.fingerprint, Suspect())
        crashes = suspect.crashes + 1
        suspects[command.fingerprint] = Suspect(crashes, command.endpoint)
        _drop_oldest_suspect(suspects)
        return CommandAnswer(True)

    def _clear_suspect(self, command: ClearSuspect) -> CommandAnswer:
        suspect = self.tables.suspects.get(command.fingerprint)
        if suspect is None:
            return CommandAnswer(False, "no suspect")
        if suspect.crashes >= QUARANTINE_CRASHES and not command.forced:
            return CommandAnswer(False, "quarantined")
        del self.tables.suspects[command.fingerprint]
        return CommandAnswer(True)


def _dump_entities(table: dict[str, Entity]) -> list[bytes]:
    return [item.model_dump_json().encode() for item in table.values()]


def _list_names(ticket: Ticket) -> Iterator[str]:
    for kind in KINDS:
        for item in getattr(ticket, kind):
            yield f"{kind}/{item.name}"
        for name in getattr(ticket.remove, kind):
            yield f"{kind}/{name} removed"


def _drop_oldest(table: dict, limit: int) -> None:
    while len(table) > limit:
        del table[next(iter(table))]


def _drop_oldest_suspect(suspects: dict[Fingerprint, Suspect]) -> None:
    if len(suspects) <= MAX_SUSPECTS:
        return
    unquarantined = (
        key for key, item in suspects.items() if item.crashes < QUARANTINE_CRASHES
    )
    del suspects[next(unquarantined, next(iter(suspects)))]
