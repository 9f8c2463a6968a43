"""Commands to and reads from the leader of the control group, at any replica."""

from collections.abc import Callable
from typing import TypeVar

from gevent import sleep
from msgspec import MsgspecError
from msgspec.msgpack import Decoder

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import (
    BuildTooOldError,
    Code,
    NotLeaderError,
    RefusedError,
    ReplicationError,
    RequestError,
)
from bergamotwood_core.gateway.state_machine import (
    OUTCOME_DECODER,
    CommandOutcome,
    GatewayCommand,
    GatewayStateMachine,
    RaiseLevel,
    decode_command,
    encode_command,
    find_required_level,
)
from bergamotwood_core.ids import InstanceId
from bergamotwood_daemon.gateway.channels import PeerChannels
from bergamotwood_daemon.gateway.peermessages import ENCODER, STATE_REPLY, StateReply
from bergamotwood_daemon.gateway.settings import GatewaySettings
from bergamotwood_daemon.group import LogGroup
from bergamotwood_daemon.peer import PROPOSE, QUERY
from bergamotwood_daemon.wire import (
    PROPOSE_REPLY,
    PROPOSE_REQUEST,
    Committed,
    NotLeader,
    ProposeRequest,
    Unknown,
)

Result = TypeVar("Result")

# Name of the log group.
GROUP = "gateway"
# Delay between two attempts to reach the leader; elections take about a second.
LEADER_RETRY_SECONDS = 0.05
# Retry delay sent to operators whose order needs a level that is not in effect. On a
# fresh group the level is raised within this time; an upgrade takes minutes.
LEVEL_RETRY_SECONDS = 1.0


class LeaderAccess:
    """Reaches the leader for one replica, which may lead itself.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the daemon.
    group : LogGroup
        The replica's part of the control group.
    machine : GatewayStateMachine
        The replica's state machine.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        group: LogGroup,
        machine: GatewayStateMachine,
        clock: Callable[[], Seconds],
    ) -> None:
        self._settings = settings
        self._group = group
        self._machine = machine
        self._clock = clock
        self._channels = PeerChannels()

    def close(self) -> None:
        """Close the channels to other replicas."""
        self._channels.close()

    def commit(
        self, command: GatewayCommand, seconds: float | None = None
    ) -> CommandOutcome:
        """Commit a command through the leader, at this replica or another.

        Parameters
        ----------
        command : GatewayCommand
            The command.
        seconds : float or None
            Time within which it must be confirmed; None for the usual one.

        Raises
        ------
        BuildTooOldError
            When this build is too old for the group.
        RefusedError
            When the command needs a level that is not in effect here yet.
        ReplicationError
            When no majority confirms it in time.
        """
        self.require_build()
        self.require_level(command)
        data = encode_command(command)
        reply = self._retry_until_deadline(
            lambda left: self._propose(data, left),
            "no majority confirmed it in time",
            seconds,
        )
        return OUTCOME_DECODER.decode(reply)

    def require_build(self) -> None:
        """Check that this build can read the group's state.

        Raises
        ------
        BuildTooOldError
            When it cannot.
        """
        if isinstance(self._group.failure, BuildTooOldError):
            raise self._group.failure

    def require_level(self, command: GatewayCommand) -> None:
        """Check that all instances can read a command.

        A level that is in effect here is in effect at the leader too, since it is
        committed and never decreases.

        Raises
        ------
        RefusedError
            When the command needs a level that is not in effect here yet.
        """
        level = self._machine.state.level
        required_level = find_required_level(command)
        if required_level > level:
            raise RefusedError(
                f"{type(command).__name__} needs level {required_level:d}, "
                f"level {level:d} is in effect",
                Code.LEVEL_NOT_IN_EFFECT,
                retry_after=LEVEL_RETRY_SECONDS,
            )

    def handle_propose(self, body: bytes) -> bytes:
        """Propose a command that another replica received.

        Raises
        ------
        BuildTooOldError
            When this build is too old for the group.
        RefusedError, RequestError
            When instances of older builds, or this one, could not read the command.
        """
        self.require_build()
        request = PROPOSE_REQUEST.decode(body)
        self._check_proposal(request.command)
        try:
            result = self._group.propose(request.command, request.timeout_seconds)
        except NotLeaderError as error:
            return ENCODER.encode(NotLeader(error.leader))
        except ReplicationError as error:
            return ENCODER.encode(Unknown(error.detail))
        return ENCODER.encode(Committed(result))

    def _check_proposal(self, data: bytes) -> None:
        try:
            command = decode_command(data)
        except MsgspecError as error:
            raise RequestError(f"unknown command: {error}")
        if isinstance(command, RaiseLevel):
            raise RequestError("only the leader itself raises the level")
        self.require_level(command)

    def _retry_until_deadline(
        self,
        action: Callable[[float], Result],
        failure: str,
        seconds: float | None = None,
    ) -> Result:
        """Retry an action until it succeeds or the operator's deadline has passed.

        Parameters
        ----------
        action : callable
            Called with the seconds left; raises ReplicationError on failure.
        failure : str
            Detail of the error that is raised after the deadline.
        seconds : float or None
            Time until the deadline; None for the usual one.
        """
        attempt_seconds = self._settings.bounds.acknowledge_timeout_seconds
        if seconds is None:
            seconds = attempt_seconds
        deadline = self._clock() + seconds
        while True:
            left = deadline - self._clock()
            if left <= 0.0:
                raise ReplicationError(failure)
            try:
                # A leader that does not answer may have been replaced meanwhile.
                return action(min(left, attempt_seconds))
            except ReplicationError:
                sleep(LEADER_RETRY_SECONDS)

    def _propose(self, data: bytes, seconds: float) -> bytes:
        if self._group.is_leader:
            return self._group.propose(data, seconds)
        leader = self._find_leader()
        request = ENCODER.encode(ProposeRequest(GROUP, data, seconds))
        reply = self._channels.get(leader).call(PROPOSE, request, seconds)
        match _decode_reply(PROPOSE_REPLY, reply):
            case Committed(result):
                return result
            case NotLeader(found):
                raise NotLeaderError(f"{leader} does not lead", found)
            case Unknown(detail):
                raise ReplicationError(detail)

    def read_state(self, seconds: float | None = None) -> StateReply:
        """Return the state that the leader confirms.

        Parameters
        ----------
        seconds : float or None
            Time within which it must do so; None for the usual one.

        Raises
        ------
        BuildTooOldError
            When this build is too old for the group.
        ReplicationError
            When no leader confirms it in time.
        """
        self.require_build()
        return self._retry_until_deadline(
            self._query, "no leader confirmed its state in time", seconds
        )

    def _query(self, seconds: float) -> StateReply:
        if self._group.is_leader:
            self._group.read_barrier(seconds)
            return self.describe_state()
        reply = self._channels.get(self._find_leader()).call(QUERY, b"", seconds)
        return _decode_reply(STATE_REPLY, reply)

    def _find_leader(self) -> InstanceId:
        leader = self._group.leader
        if leader is None or leader == self._settings.instance:
            raise NotLeaderError("no leader is known")
        return leader

    def describe_state(self) -> StateReply:
        """Return the state that this replica has applied."""
        state = self._machine.state
        rollouts = tuple(state.rollouts.values())
        return StateReply(
            state.number,
            state.document,
            rollouts,
            state.level,
            tuple(state.evacuations),
        )


def _decode_reply(decoder: Decoder[Result], reply: bytes) -> Result:
    try:
        return decoder.decode(reply)
    except MsgspecError as error:
        raise ReplicationError(f"unreadable reply: {error}")
