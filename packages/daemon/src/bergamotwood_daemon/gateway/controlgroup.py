"""The control group's replicated log on one replica, with its timing."""

from collections.abc import Callable
from random import Random

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.levels import FeatureLevel
from bergamotwood_core.gateway.state_machine import GatewayStateMachine
from bergamotwood_daemon.gateway.channels import ReplicationSenders
from bergamotwood_daemon.gateway.leaderaccess import GROUP
from bergamotwood_daemon.gateway.settings import GatewaySettings
from bergamotwood_daemon.group import LogGroup
from bergamotwood_daemon.groupsettings import GroupSettings
from bergamotwood_daemon.peer import GroupTransport

# Interval between the leader's heartbeats to the other replicas. Half of the default
# 0.2 s: a replica that lost its disk must be a voter again within 4 s.
HEARTBEAT_SECONDS = 0.1
# Shortest time without a leader before an election: six heartbeats. Losing the leader
# and its disk costs up to twice this, plus the time until it is a voter again.
ELECTION_SECONDS = 0.6
# Duration of the leader lease; less than the election timeout.
LEASE_SECONDS = 0.45


def make_control_group(
    settings: GatewaySettings,
    machine: GatewayStateMachine,
    senders: ReplicationSenders,
    clock: Callable[[], Seconds],
    rng: Random,
) -> LogGroup:
    """Return the replica's part of the control group.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the daemon.
    machine : GatewayStateMachine
        Applies the group's commands.
    senders : ReplicationSenders
        Senders to the other replicas.
    clock : callable
        Returns the current time.
    rng : Random
        Chooses random election delays.
    """
    group_settings = GroupSettings(
        instance=settings.instance,
        initial_voters=tuple(sorted(settings.seeds)),
        folder=settings.data_folder,
        heartbeat_seconds=HEARTBEAT_SECONDS,
        election_seconds=ELECTION_SECONDS,
        lease_seconds=LEASE_SECONDS,
        command_bytes=8 * 1024 * 1024,
        forms_group=settings.forms_group,
        open_membership=True,
        tolerance=settings.tolerance,
        level=int(machine.own_level),
        data_centre=settings.data_centre,
        exchange_level=int(FeatureLevel.EXCHANGES),
    )
    transport = GroupTransport(GROUP, senders)
    return LogGroup(GROUP, group_settings, machine, transport, clock, rng)
