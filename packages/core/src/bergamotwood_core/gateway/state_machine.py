"""Replicated state of the gateway: configuration, roll-outs and departures."""

from enum import StrEnum
from zlib import compress, decompress

from msgspec import Struct, field
from msgspec.msgpack import Decoder, Encoder
from msgspec.structs import replace

from bergamotwood_core.ids import EndpointId, Incarnation, LogIndex, ServiceName
from bergamotwood_core.states import EndpointState

# A beat is late by seconds, departures come a few a second on the worst day:
# this many outlast any beat that may still come.
MAX_DEPARTURES = 4_096


class RolloutOutcome(StrEnum):
    """How far the roll-out of a service's version is."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class ReplaceConfiguration(Struct, frozen=True, array_like=True, tag=1):
    """Set the whole configuration, unless one of a higher number holds.

    Parameters
    ----------
    number : int
        Its number.
    document : bytes
        What the operator sent, compressed.
    """

    number: int
    document: bytes


class BeginRollout(Struct, frozen=True, array_like=True, tag=2):
    """Move a service to another version within some seconds.

    Parameters
    ----------
    service, target : str
        The service and the version.
    duration_seconds : float
        Time that the operator gives it.
    ordered_at : float
        Time of day in seconds, so that a replica that starts later knows how
        much of the time is left.
    """

    service: ServiceName
    target: str
    duration_seconds: float
    ordered_at: float


class SettleRollout(Struct, frozen=True, array_like=True, tag=3):
    """End a roll-out."""

    service: ServiceName
    target: str
    outcome: RolloutOutcome


class RecordDeparture(Struct, frozen=True, array_like=True, tag=4):
    """An incarnation of an endpoint gets no more work."""

    endpoint: EndpointId
    incarnation: Incarnation
    state: EndpointState


GatewayCommand = ReplaceConfiguration | BeginRollout | SettleRollout | RecordDeparture


class ServiceRollout(Struct, frozen=True, array_like=True):
    """A roll-out as it stands.

    Parameters
    ----------
    service, target : str
        The service and the version that it moves to.
    duration_seconds : float
        Time that the operator gives it.
    outcome : RolloutOutcome
        How far it is.
    index : LogIndex
        Log entry of the order; it names the roll-out.
    ordered_at : float
        Time of day in seconds.
    """

    service: ServiceName
    target: str
    duration_seconds: float
    outcome: RolloutOutcome
    index: LogIndex
    ordered_at: float


class Departure(Struct, frozen=True, array_like=True):
    """An endpoint's incarnation that leaves or has left."""

    endpoint: EndpointId
    incarnation: Incarnation
    state: EndpointState


class GatewayState(Struct, array_like=True):
    """Everything that the log holds of the gateway.

    Parameters
    ----------
    number : int
        Number of the configuration in force, -1 before the first.
    document : bytes
        The configuration as it was sent, compressed.
    rollouts : dict
        Newest roll-out of each service.
    departures : list of Departure
        Newest last.
    """

    number: int = -1
    document: bytes = b""
    rollouts: dict[str, ServiceRollout] = field(default_factory=dict)
    departures: list[Departure] = field(default_factory=list)


class CommandOutcome(Struct, frozen=True, array_like=True):
    """Answer to a command.

    Parameters
    ----------
    accepted : bool
        False where the command contradicts what holds.
    changed : bool
        Whether the state is another one now.
    reason : str
        Why nothing changed.
    """

    accepted: bool
    changed: bool
    reason: str = ""


ENCODER = Encoder()
_COMMAND_DECODER = Decoder(GatewayCommand)
_STATE_DECODER = Decoder(GatewayState)
OUTCOME_DECODER = Decoder(CommandOutcome)


def encode_command(command: GatewayCommand) -> bytes:
    """Return a command as bytes, for the log."""
    return ENCODER.encode(command)


def compress_document(document: bytes) -> bytes:
    """Compress a configuration: it crosses data centres once for each daemon."""
    return compress(document)


def decompress_document(packed: bytes) -> bytes:
    """Return a configuration as the operator sent it."""
    return decompress(packed)


class GatewayStateMachine:
    """The state machine of the gateway's log."""

    def __init__(self) -> None:
        self.state = GatewayState()

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply a command; an unreadable one changes nothing on any replica."""
        return ENCODER.encode(
            self._apply_command(index, _COMMAND_DECODER.decode(command))
        )

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return ENCODER.encode(self.state)

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        self.state = _STATE_DECODER.decode(snapshot)

    def _apply_command(
        self, index: LogIndex, command: GatewayCommand
    ) -> CommandOutcome:
        match command:
            case ReplaceConfiguration():
                return self._replace_configuration(command)
            case BeginRollout():
                return self._begin_rollout(index, command)
            case SettleRollout():
                return self._settle_rollout(command)
            case RecordDeparture():
                return self._record_departure(command)

    def _replace_configuration(self, command: ReplaceConfiguration) -> CommandOutcome:
        if command.number <= self.state.number:
            reason = f"configuration {self.state.number} holds"
            return CommandOutcome(True, False, reason)
        self.state.number = command.number
        self.state.document = command.document
        return CommandOutcome(True, True)

    def _begin_rollout(self, index: LogIndex, command: BeginRollout) -> CommandOutcome:
        current = self.state.rollouts.get(command.service)
        if current is not None and current.target == command.target:
            return CommandOutcome(True, False, f"ordered already: {current.outcome}")
        if current is not None and current.outcome is RolloutOutcome.IN_PROGRESS:
            return CommandOutcome(False, False, f"{current.target} is being rolled out")
        self.state.rollouts[command.service] = ServiceRollout(
            command.service,
            command.target,
            command.duration_seconds,
            RolloutOutcome.IN_PROGRESS,
            index,
            command.ordered_at,
        )
        return CommandOutcome(True, True)

    def _settle_rollout(self, command: SettleRollout) -> CommandOutcome:
        current = self.state.rollouts.get(command.service)
        if current is None or current.target != command.target:
            return CommandOutcome(False, False, "no such roll-out")
        if current.outcome is not RolloutOutcome.IN_PROGRESS:
            return CommandOutcome(True, False, f"settled already: {current.outcome}")
        settled = replace(current, outcome=command.outcome)
        self.state.rollouts[command.service] = settled
        return CommandOutcome(True, True)

    def _record_departure(self, command: RecordDeparture) -> CommandOutcome:
        departure = Departure(command.endpoint, command.incarnation, command.state)
        if departure in self.state.departures:
            return CommandOutcome(True, False, "recorded already")
        self.state.departures.append(departure)
        del self.state.departures[:-MAX_DEPARTURES]
        return CommandOutcome(True, True)
