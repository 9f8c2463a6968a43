"""Commands of the control log and their answers."""

from msgspec import MsgspecError, Struct
from msgspec.msgpack import Decoder, Encoder

from bergamotwood_core.ids import (
    EndpointId,
    Fingerprint,
    Incarnation,
    LogIndex,
    RolloutId,
    TicketNumber,
)
from bergamotwood_core.states import RolloutState, TicketOutcome


class ApplyTicket(Struct, frozen=True, tag="ticket"):
    """Apply a ticket, given as JSON or YAML, for an operator."""

    ticket: bytes
    operator: str = ""


class RecordProgress(Struct, frozen=True, tag="progress"):
    """Record a step of a roll-out.

    Parameters
    ----------
    rollout : RolloutId
        The roll-out.
    ticket : TicketNumber
        Ticket whose roll-out the step was decided for; a step decided for an
        earlier ticket is refused.
    stage, state, exposed, reason
        The new progress. Stage and exposure never go back.
    """

    rollout: RolloutId
    ticket: TicketNumber
    stage: int = 0
    state: RolloutState = RolloutState.RUNNING
    exposed: int = 0
    reason: str = ""


class RecordCrash(Struct, frozen=True, tag="crash"):
    """Record that a fingerprint was running when an endpoint crashed."""

    fingerprint: Fingerprint
    endpoint: EndpointId
    incarnation: Incarnation


class ClearSuspect(Struct, frozen=True, tag="clear"):
    """Clear a suspect; `forced` also lifts a quarantine."""

    fingerprint: Fingerprint
    forced: bool = False


ControlCommand = ApplyTicket | RecordProgress | RecordCrash | ClearSuspect


class TicketAnswer(Struct, frozen=True, tag="ticket"):
    """What became of a ticket.

    Parameters
    ----------
    number : TicketNumber
        The ticket; 0 if it could not be read.
    outcome : TicketOutcome
        Whether it is in the configuration now.
    index : LogIndex
        Index at which it was first accepted, 0 if it was not.
    faults : tuple of str
        Every reason for a refusal.
    """

    number: TicketNumber
    outcome: TicketOutcome
    index: LogIndex = LogIndex(0)
    faults: tuple[str, ...] = ()


class CommandAnswer(Struct, frozen=True, tag="command"):
    """Whether any other command was applied, and if not, why."""

    applied: bool
    reason: str = ""


ControlAnswer = TicketAnswer | CommandAnswer


_ENCODER = Encoder()
_COMMANDS: Decoder[ControlCommand] = Decoder(ControlCommand)
_ANSWERS: Decoder[ControlAnswer] = Decoder(ControlAnswer)


def encode_command(command: ControlCommand) -> bytes:
    """Encode a command for the log."""
    return _ENCODER.encode(command)


def decode_command(content: bytes) -> ControlCommand | None:
    """Decode a command from the log; None if it is no command."""
    try:
        return _COMMANDS.decode(content)
    except (MsgspecError, UnicodeDecodeError):
        return None


def encode_answer(answer: ControlAnswer) -> bytes:
    """Encode an answer."""
    return _ENCODER.encode(answer)


def decode_answer(content: bytes) -> ControlAnswer:
    """Decode what `ControlMachine.apply` returned."""
    return _ANSWERS.decode(content)
