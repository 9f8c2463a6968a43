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
    """Apply an operator's ticket, given as JSON or YAML."""

    ticket: bytes
    operator: str = ""


class RecordProgress(Struct, frozen=True, tag="progress"):
    """Record a step of a roll-out.

    Parameters
    ----------
    rollout : RolloutId
        The roll-out.
    ticket : TicketNumber
        Ticket that had last set the roll-out when the step was decided; the
        step is refused once a later ticket has set the roll-out.
    stage, state, exposed, reason : int, RolloutState, int, str
        The new progress, as in `RolloutProgress`; `stage` and `exposed` never
        decrease.
    """

    rollout: RolloutId
    ticket: TicketNumber
    stage: int = 0
    state: RolloutState = RolloutState.RUNNING
    exposed: int = 0
    reason: str = ""


class RecordCrash(Struct, frozen=True, tag="crash"):
    """Record that an endpoint crashed while it ran a request with the fingerprint."""

    fingerprint: Fingerprint
    endpoint: EndpointId
    incarnation: Incarnation


class ClearSuspect(Struct, frozen=True, tag="clear"):
    """Clear a suspect; `forced` also lifts a quarantine."""

    fingerprint: Fingerprint
    forced: bool = False


ControlCommand = ApplyTicket | RecordProgress | RecordCrash | ClearSuspect


class TicketAnswer(Struct, frozen=True, tag="ticket"):
    """Result of a ticket.

    Parameters
    ----------
    number : TicketNumber
        Number of the ticket; 0 if it could not be read.
    outcome : TicketOutcome
        Whether it was accepted, now or earlier, and if not, why.
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
    """Result of a command other than a ticket: whether it was applied, or why not."""

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
    """Decode a command from the log; None if the bytes are not a command."""
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
