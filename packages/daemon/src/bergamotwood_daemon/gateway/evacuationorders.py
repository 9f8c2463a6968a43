"""Orders to evacuate a data centre, at the control replica that receives them."""

from collections.abc import Callable
from time import time

from gevent import sleep

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import (
    Code,
    RefusedError,
    ReplicationError,
    RequestError,
)
from bergamotwood_core.gateway.evacuations import (
    find_change_index,
    list_ends,
    list_evacuated,
)
from bergamotwood_core.gateway.state_machine import (
    BeginEvacuation,
    CommandOutcome,
    EndEvacuation,
    GatewayStateMachine,
    find_required_level,
)
from bergamotwood_core.ids import DataCentre
from bergamotwood_daemon.gateway.leaderaccess import LeaderAccess
from bergamotwood_daemon.gateway.settings import GatewaySettings
from bergamotwood_daemon.log import log_event

# Retry delay while the fleet is being upgraded, which takes minutes.
LEVEL_RETRY_SECONDS = 1.0
LEVEL_POLL_SECONDS = 0.02
# Retry delay after another order came first: the state is known by then.
CONFLICT_RETRY_SECONDS = 0.1


class EvacuationOrders:
    """Commits the orders of operators.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the daemon.
    machine : GatewayStateMachine
        State machine of this replica.
    leader : LeaderAccess
        Reaches the leader.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        machine: GatewayStateMachine,
        leader: LeaderAccess,
        clock: Callable[[], Seconds],
    ) -> None:
        self._settings = settings
        self._machine = machine
        self._leader = leader
        self._clock = clock
        self._applied_index = machine.state.evacuations_index

    def observe(self) -> tuple[DataCentre, ...]:
        """Log the evacuations that this replica has applied since the last call.

        Returns
        -------
        tuple of DataCentre
            Data centres of which an evacuation has ended since then.
        """
        state = self._machine.state
        previous_index = self._applied_index
        if state.evacuations_index == previous_index:
            return ()
        self._applied_index = state.evacuations_index
        log_event(
            "control",
            "Evacuations applied.",
            index=state.evacuations_index,
            data_centres=list_evacuated(state.evacuations),
        )
        return tuple(
            end.data_centre
            for end in list_ends(state.evacuations)
            if end.index > previous_index
        )

    def commit(
        self, kind: type[BeginEvacuation | EndEvacuation], data_centre: DataCentre
    ) -> CommandOutcome:
        """Commit an order; a repetition changes nothing.

        Parameters
        ----------
        kind : type
            Whether the evacuation begins or ends.
        data_centre : DataCentre
            The data centre.

        Raises
        ------
        RequestError
            When the data centre is unknown, or none may be evacuated.
        RefusedError
            When the level of the group is too low.
        ReplicationError
            When no majority confirms it in time, or another order came first.
        """
        self._check_data_centre(data_centre)
        log_event(
            "control",
            "Evacuation ordered.",
            data_centre=data_centre,
            order=kind.__name__,
        )
        deadline = self._clock() + self._settings.bounds.evacuation_acknowledge_seconds
        # The order is based on a state that was confirmed after it arrived, so that a
        # copy of it that is delayed beyond a later order changes nothing.
        state = self._leader.read_state(deadline - self._clock())
        base = find_change_index(state.evacuations, data_centre)
        command = kind(data_centre, time(), base)
        required = find_required_level(command)
        if state.level < required:
            raise RefusedError(
                f"the group has level {state.level}, evacuations need {required:d}:"
                " upgrade all instances",
                Code.LEVEL_NOT_IN_EFFECT,
                retry_after=LEVEL_RETRY_SECONDS,
            )
        # This replica may lag behind the leader, and writes a command only where the
        # level that it needs is in effect.
        while self._machine.state.level < required and self._clock() < deadline:
            sleep(LEVEL_POLL_SECONDS)
        outcome = self._leader.commit(command, deadline - self._clock())
        log_event(
            "control",
            "Evacuation committed." if outcome.accepted else "Evacuation superseded.",
            data_centre=data_centre,
            order=kind.__name__,
            changed=outcome.changed,
            base=base,
            reason=outcome.reason,
        )
        if not outcome.accepted:
            raise ReplicationError(outcome.reason, retry_after=CONFLICT_RETRY_SECONDS)
        return outcome

    def _check_data_centre(self, data_centre: DataCentre) -> None:
        if self._settings.bounds.evacuation_lease_seconds is None:
            raise RequestError(
                "this deployment does not evacuate data centres", Code.UNKNOWN_PATH
            )
        known = self._settings.data_centres
        if data_centre not in known:
            raise RequestError(
                f"no data centre {data_centre}; there are {', '.join(sorted(known))}",
                Code.UNKNOWN_PATH,
            )
