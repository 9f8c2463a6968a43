"""Replicated state machine for configuration, roll-outs and endpoint departures."""

from zlib import compress, decompress

from msgspec import MsgspecError, Raw, Struct, ValidationError, field
from msgspec.msgpack import Decoder, Encoder
from msgspec.structs import replace

from bergamotwood_core.errors import BuildTooOldError
from bergamotwood_core.gateway.evacuations import (
    NEVER_CHANGED,
    Evacuation,
    begin_evacuation,
    end_evacuation,
    find_evacuation,
)
from bergamotwood_core.gateway.levels import OWN_LEVEL, FeatureLevel
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.suspects import Cause
from bergamotwood_core.gateway.suspensions import MAX_SUSPENSIONS, Suspension
from bergamotwood_core.gateway.withdrawals import (
    is_new_order,
    restore_version,
    withdraw_version,
)
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    InstanceId,
    LogIndex,
    ServiceName,
)
from bergamotwood_core.states import EndpointState

# Departures are kept to reject delayed heartbeats. Heartbeats are delayed by seconds,
# and at most a few endpoints depart per second, so this number covers any delay.
MAX_DEPARTURES = 4_096


class ReplaceConfiguration(Struct, frozen=True, array_like=True, tag=1):
    """Replace the configuration if its number is higher than the current one.

    Parameters
    ----------
    number : int
        Number of the configuration.
    document : bytes
        Document sent by the operator, compressed.
    """

    number: int
    document: bytes


class BeginRollout(Struct, frozen=True, array_like=True, tag=2):
    """Start the roll-out of a service to another version.

    Parameters
    ----------
    service, target : str
        Service and version to roll out.
    duration_seconds : float
        Time within which the roll-out has to finish.
    ordered_at : float
        Wall-clock time in seconds, from which a replica that starts later computes
        the time left.
    """

    service: ServiceName
    target: str
    duration_seconds: float
    ordered_at: float


class SettleRollout(Struct, frozen=True, array_like=True, tag=3):
    """End a roll-out with an outcome."""

    service: ServiceName
    target: str
    outcome: RolloutOutcome


class RecordDeparture(Struct, frozen=True, array_like=True, tag=4):
    """Record that an incarnation of an endpoint receives no more requests."""

    endpoint: EndpointId
    incarnation: Incarnation
    state: EndpointState


class SuspendCause(Struct, frozen=True, array_like=True, tag=5):
    """Refuse all requests with a cause of crashes.

    Parameters
    ----------
    cause : Cause
        The cause.
    versions : tuple of str
        Versions of its service that are in use.
    ordered_at : float
        Wall-clock time in seconds.
    """

    cause: Cause
    versions: tuple[str, ...]
    ordered_at: float


class GrantTrial(Struct, frozen=True, array_like=True, tag=6):
    """Let one entry try one request with a suspended cause.

    Parameters
    ----------
    cause : Cause
        The cause.
    index : LogIndex
        Index of the suspension that the trial was decided for.
    entry, incarnation : InstanceId, Incarnation
        Run of the entry.
    versions : tuple of str
        Versions of the service that are in use.
    ordered_at : float
        Wall-clock time in seconds.
    """

    cause: Cause
    index: LogIndex
    entry: InstanceId
    incarnation: Incarnation
    versions: tuple[str, ...]
    ordered_at: float


class LiftSuspension(Struct, frozen=True, array_like=True, tag=7):
    """End a suspension, unless it has changed since it was decided."""

    cause: Cause
    index: LogIndex


class RaiseLevel(Struct, frozen=True, array_like=True, tag=8):
    """Raise the feature level of the group; a lower level changes nothing."""

    level: int


class BeginEvacuation(Struct, frozen=True, array_like=True, tag=9):
    """Send nothing more to the endpoints of a data centre.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre.
    ordered_at : float
        Wall-clock time in seconds.
    base : LogIndex
        Index of the data centre's last change when the order was received. A delayed
        copy of an order has an older one than the state, and changes nothing.
    """

    data_centre: DataCentre
    ordered_at: float
    base: LogIndex = NEVER_CHANGED


class EndEvacuation(Struct, frozen=True, array_like=True, tag=10):
    """Withdraw the order to evacuate a data centre.

    Parameters
    ----------
    data_centre, ordered_at, base
        As for `BeginEvacuation`.
    """

    data_centre: DataCentre
    ordered_at: float
    base: LogIndex = NEVER_CHANGED


GatewayCommand = (
    ReplaceConfiguration
    | BeginRollout
    | SettleRollout
    | RecordDeparture
    | SuspendCause
    | GrantTrial
    | LiftSuspension
    | RaiseLevel
    | BeginEvacuation
    | EndEvacuation
)


# Commands that builds below a level cannot read.
COMMAND_LEVELS: dict[type[Struct], FeatureLevel] = {
    BeginEvacuation: FeatureLevel.EVACUATIONS,
    EndEvacuation: FeatureLevel.EVACUATIONS,
}


def find_required_level(command: GatewayCommand) -> FeatureLevel:
    """Return the level that must be in effect before a command may be written."""
    return COMMAND_LEVELS.get(type(command), FeatureLevel.BASE)


class Departure(Struct, frozen=True, array_like=True):
    """An incarnation of an endpoint that is leaving or has left."""

    endpoint: EndpointId
    incarnation: Incarnation
    state: EndpointState


class GatewayState(Struct, array_like=True):
    """Complete state of the gateway that results from the log.

    Parameters
    ----------
    number : int
        Number of the current configuration; -1 before the first.
    document : bytes
        Configuration document as sent by the operator, compressed.
    rollouts : dict
        Latest roll-out of each service.
    departures : list of Departure
        Latest departures, oldest first.
    suspensions : list of Suspension
        Suspended causes of crashes, oldest first.
    suspensions_index : LogIndex
        Index of the last change of the suspensions.
    level : int
        Feature level of the group, which never decreases.
    evacuations : list of Evacuation
        Last evacuation of each data centre that ever had one.
    evacuations_index : LogIndex
        Index of the last change of the evacuations.
    withdrawn : dict
        Versions of each service that were rolled back and not ordered since, oldest
        first. Of level 2.
    withdrawn_index : LogIndex
        Index of the last change of the withdrawn versions.
    """

    number: int = -1
    document: bytes = b""
    rollouts: dict[str, ServiceRollout] = field(default_factory=dict)
    departures: list[Departure] = field(default_factory=list)
    suspensions: list[Suspension] = field(default_factory=list)
    suspensions_index: LogIndex = LogIndex(0)
    level: int = FeatureLevel.BASE
    evacuations: list[Evacuation] = field(default_factory=list)
    evacuations_index: LogIndex = LogIndex(0)
    withdrawn: dict[str, list[str]] = field(default_factory=dict)
    withdrawn_index: LogIndex = LogIndex(0)

    @property
    def keeps_withdrawals(self) -> bool:
        """Whether all builds of the group keep the withdrawn versions."""
        return self.level >= FeatureLevel.WITHDRAWALS

    def find_suspension(self, cause: Cause) -> Suspension | None:
        """Return the suspension of a cause; None if it is not suspended."""
        for suspension in self.suspensions:
            if suspension.cause == cause:
                return suspension
        return None


class LeveledSnapshot(Struct, frozen=True):
    """Snapshot of a state above level `BASE`.

    It is encoded as a map, which builds that know no levels cannot read: they would
    drop the fields that they do not know, and write the rest back.

    Parameters
    ----------
    level : int
        Feature level of the group.
    state : Raw
        Encoded `GatewayState`.
    """

    level: int
    state: Raw


class CommandOutcome(Struct, frozen=True, array_like=True):
    """Result of applying a command.

    Parameters
    ----------
    accepted : bool
        False if the command conflicts with the current state.
    changed : bool
        Whether the command changed the state.
    reason : str
        Why the state did not change; empty if it did.
    """

    accepted: bool
    changed: bool
    reason: str = ""


ENCODER = Encoder()
_COMMAND_DECODER = Decoder(GatewayCommand)
_STATE_DECODER = Decoder(GatewayState)
_SNAPSHOT_DECODER = Decoder(LeveledSnapshot)
OUTCOME_DECODER = Decoder(CommandOutcome)


def encode_command(command: GatewayCommand) -> bytes:
    """Return the serialized command for the log."""
    return ENCODER.encode(command)


def compress_document(document: bytes) -> bytes:
    """Compress a configuration, which is sent across data centres to each daemon."""
    return compress(document)


def decompress_document(packed: bytes) -> bytes:
    """Return the configuration document as sent by the operator."""
    return decompress(packed)


def decode_command(data: bytes) -> GatewayCommand:
    """Decode a command of the log.

    Raises
    ------
    msgspec.MsgspecError
        When this build cannot read it.
    """
    return _COMMAND_DECODER.decode(data)


class GatewayStateMachine:
    """Applies the commands of the gateway's log to its state.

    Parameters
    ----------
    own_level : int
        Feature level that this build supports.
    """

    def __init__(self, own_level: int = OWN_LEVEL) -> None:
        self.state = GatewayState()
        self.own_level = own_level

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply a command and return the serialized outcome.

        Raises
        ------
        BuildTooOldError
            When this build cannot read the command, or when it raises the level above
            that of this build. The state is unchanged.
        """
        try:
            decoded = decode_command(command)
        except MsgspecError as error:
            raise self._make_error(f"command {index}: {error}", None)
        if isinstance(decoded, RaiseLevel) and decoded.level > self.own_level:
            raise self._make_error(f"command {index} raises it", decoded.level)
        return ENCODER.encode(self._apply_command(index, decoded))

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        state = ENCODER.encode(self.state)
        if self.state.level == FeatureLevel.BASE:
            return state
        return ENCODER.encode(LeveledSnapshot(self.state.level, Raw(state)))

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot.

        Raises
        ------
        BuildTooOldError
            When the state has a higher level than this build, or cannot be read. The
            state is unchanged.
        """
        try:
            self.state = self._decode_snapshot(snapshot)
        except MsgspecError as error:
            raise self._make_error(f"snapshot: {error}", None)

    def _decode_snapshot(self, snapshot: bytes) -> GatewayState:
        try:
            leveled = _SNAPSHOT_DECODER.decode(snapshot)
        except ValidationError:
            return _STATE_DECODER.decode(snapshot)
        if leveled.level > self.own_level:
            raise self._make_error("snapshot", leveled.level)
        return _STATE_DECODER.decode(leveled.state)

    def _make_error(self, detail: str, group_level: int | None) -> BuildTooOldError:
        known = "a newer level" if group_level is None else f"level {group_level}"
        return BuildTooOldError(
            f"this build supports level {self.own_level:d}, the group has {known}: "
            f"{detail}",
            self.own_level,
            group_level,
        )

    def _apply_command(
        self, index: LogIndex, command: GatewayCommand
    ) -> CommandOutcome:
        match command:
            case ReplaceConfiguration():
                return self._replace_configuration(command)
            case BeginRollout():
                return self._begin_rollout(index, command)
            case SettleRollout():
                return self._settle_rollout(index, command)
            case RecordDeparture():
                return self._record_departure(command)
            case SuspendCause():
                return self._suspend_cause(index, command)
            case GrantTrial():
                return self._grant_trial(index, command)
            case LiftSuspension():
                return self._lift_suspension(index, command)
            case RaiseLevel():
                return self._raise_level(index, command)
            case BeginEvacuation() | EndEvacuation():
                return self._change_evacuation(index, command)

    def _replace_configuration(self, command: ReplaceConfiguration) -> CommandOutcome:
        if command.number <= self.state.number:
            reason = f"configuration {self.state.number} holds"
            return CommandOutcome(True, False, reason)
        self.state.number = command.number
        self.state.document = command.document
        return CommandOutcome(True, True)

    def _begin_rollout(self, index: LogIndex, command: BeginRollout) -> CommandOutcome:
        state = self.state
        current = state.rollouts.get(command.service)
        if current is not None and current.target == command.target:
            may_be_new = state.keeps_withdrawals
            if not (may_be_new and is_new_order(current, command.ordered_at)):
                reason = f"ordered already: {current.outcome}"
                return CommandOutcome(True, False, reason)
        if current is not None and current.outcome is RolloutOutcome.IN_PROGRESS:
            return CommandOutcome(False, False, f"{current.target} is being rolled out")
        restored = restore_version(state.withdrawn, command.service, command.target)
        self._change_withdrawn(restored, index)
        state.rollouts[command.service] = ServiceRollout(
            command.service,
            command.target,
            command.duration_seconds,
            RolloutOutcome.IN_PROGRESS,
            index,
            command.ordered_at,
        )
        return CommandOutcome(True, True)

    def _settle_rollout(
        self, index: LogIndex, command: SettleRollout
    ) -> CommandOutcome:
        current = self.state.rollouts.get(command.service)
        if current is None or current.target != command.target:
            return CommandOutcome(False, False, "no such roll-out")
        if current.outcome is not RolloutOutcome.IN_PROGRESS:
            return CommandOutcome(True, False, f"settled already: {current.outcome}")
        settled = replace(current, outcome=command.outcome)
        self.state.rollouts[command.service] = settled
        self._withdraw_if_rolled_back(settled, index)
        return CommandOutcome(True, True)

    def _withdraw_if_rolled_back(
        self, rollout: ServiceRollout, index: LogIndex
    ) -> None:
        state = self.state
        is_rolled_back = rollout.outcome is RolloutOutcome.ROLLED_BACK
        if not is_rolled_back or not state.keeps_withdrawals:
            return
        withdrawn = withdraw_version(state.withdrawn, rollout.service, rollout.target)
        self._change_withdrawn(withdrawn, index)

    def _change_withdrawn(
        self, withdrawn: dict[str, list[str]], index: LogIndex
    ) -> None:
        if withdrawn != self.state.withdrawn:
            self.state.withdrawn = withdrawn
            self.state.withdrawn_index = index

    def _record_departure(self, command: RecordDeparture) -> CommandOutcome:
        departure = Departure(command.endpoint, command.incarnation, command.state)
        if departure in self.state.departures:
            return CommandOutcome(True, False, "recorded already")
        self.state.departures.append(departure)
        del self.state.departures[:-MAX_DEPARTURES]
        return CommandOutcome(True, True)

    def _suspend_cause(self, index: LogIndex, command: SuspendCause) -> CommandOutcome:
        if self.state.find_suspension(command.cause) is not None:
            return CommandOutcome(True, False, "suspended already")
        suspension = Suspension(
            command.cause, command.versions, index, command.ordered_at
        )
        self.state.suspensions.append(suspension)
        del self.state.suspensions[:-MAX_SUSPENSIONS]
        self.state.suspensions_index = index
        return CommandOutcome(True, True)

    def _grant_trial(self, index: LogIndex, command: GrantTrial) -> CommandOutcome:
        current = self.state.find_suspension(command.cause)
        if current is None or current.index != command.index:
            return CommandOutcome(True, False, "the suspension has changed")
        granted = replace(
            current,
            versions=tuple(dict.fromkeys((*current.versions, *command.versions))),
            index=index,
            ordered_at=command.ordered_at,
            trials=current.trials + 1,
            entry=command.entry,
            incarnation=command.incarnation,
        )
        position = self.state.suspensions.index(current)
        self.state.suspensions[position] = granted
        self.state.suspensions_index = index
        return CommandOutcome(True, True)

    def _lift_suspension(
        self, index: LogIndex, command: LiftSuspension
    ) -> CommandOutcome:
        current = self.state.find_suspension(command.cause)
        if current is None or current.index != command.index:
            return CommandOutcome(True, False, "the suspension has changed")
        self.state.suspensions.remove(current)
        self.state.suspensions_index = index
        return CommandOutcome(True, True)

    def _raise_level(self, index: LogIndex, command: RaiseLevel) -> CommandOutcome:
        if command.level <= self.state.level:
            return CommandOutcome(True, False, f"level {self.state.level} holds")
        kept_withdrawals = self.state.keeps_withdrawals
        self.state.level = command.level
        if self.state.keeps_withdrawals and not kept_withdrawals:
            self.state.withdrawn_index = index
            for rollout in self.state.rollouts.values():
                self._withdraw_if_rolled_back(rollout, index)
        return CommandOutcome(True, True)

    def _change_evacuation(
        self, index: LogIndex, command: BeginEvacuation | EndEvacuation
    ) -> CommandOutcome:
        data_centre = command.data_centre
        current = find_evacuation(self.state.evacuations, data_centre)
        is_active = current is not None and current.is_active
        begins = isinstance(command, BeginEvacuation)
        if begins == is_active:
            return CommandOutcome(True, False, "ordered already")
        known = current.index if current is not None else NEVER_CHANGED
        if command.base != known:
            return CommandOutcome(False, False, "a later order came first")
        if begins:
            changed = begin_evacuation(current, data_centre, index, command.ordered_at)
        else:
            changed = end_evacuation(data_centre, index, command.ordered_at)
        others = [
            item for item in self.state.evacuations if item.data_centre != data_centre
        ]
        self.state.evacuations = [*others, changed]
        self.state.evacuations_index = index
        return CommandOutcome(True, True)
