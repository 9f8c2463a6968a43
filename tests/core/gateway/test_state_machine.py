import pytest
from msgspec import MsgspecError
from msgspec.msgpack import decode, encode

from bergamotwood_core.errors import BuildTooOldError
from bergamotwood_core.gateway.levels import OWN_LEVEL, FeatureLevel
from bergamotwood_core.gateway.orders import RolloutOutcome
from bergamotwood_core.gateway.state_machine import (
    ENCODER,
    MAX_DEPARTURES,
    OUTCOME_DECODER,
    BeginEvacuation,
    BeginRollout,
    EndEvacuation,
    GatewayState,
    GatewayStateMachine,
    GrantTrial,
    LiftSuspension,
    RaiseLevel,
    RecordDeparture,
    ReplaceConfiguration,
    SettleRollout,
    SuspendCause,
    compress_document,
    decompress_document,
    encode_command,
    find_required_level,
)
from bergamotwood_core.gateway.suspects import Cause, CauseKind
from bergamotwood_core.gateway.suspensions import MAX_SUSPENSIONS
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    InstanceId,
    LogIndex,
    PromptPartId,
    ServiceName,
)
from bergamotwood_core.states import EndpointState

SERVICE = ServiceName("models")


def apply(machine, command, index=1):
    return OUTCOME_DECODER.decode(
        machine.apply(LogIndex(index), encode_command(command))
    )


def make_begin_rollout(target="v2"):
    return BeginRollout(SERVICE, target, 20.0, 100.0)


def test_highest_configuration_number_wins_and_gaps_are_allowed():
    machine = GatewayStateMachine()
    assert apply(machine, ReplaceConfiguration(7, b"seven")).changed
    older = apply(machine, ReplaceConfiguration(4, b"four"))
    assert older.accepted
    assert not older.changed
    assert apply(machine, ReplaceConfiguration(12, b"twelve")).changed
    assert (machine.state.number, machine.state.document) == (12, b"twelve")


def test_different_document_with_the_current_number_is_ignored():
    machine = GatewayStateMachine()
    apply(machine, ReplaceConfiguration(7, b"seven"))
    assert not apply(machine, ReplaceConfiguration(7, b"other")).changed
    assert machine.state.document == b"seven"


def test_repeated_rollout_order_is_accepted_without_change():
    machine = GatewayStateMachine()
    assert apply(machine, make_begin_rollout(), 3).changed
    again = apply(machine, make_begin_rollout(), 4)
    assert again.accepted
    assert not again.changed
    assert machine.state.rollouts[SERVICE].index == 3


def test_two_rollouts_of_a_service_do_not_overlap():
    machine = GatewayStateMachine()
    apply(machine, make_begin_rollout())
    assert not apply(machine, make_begin_rollout("v3")).accepted
    apply(machine, SettleRollout(SERVICE, "v2", RolloutOutcome.ROLLED_BACK))
    assert apply(machine, make_begin_rollout("v3")).changed


def test_settled_rollout_keeps_its_first_outcome():
    machine = GatewayStateMachine()
    apply(machine, make_begin_rollout())
    apply(machine, SettleRollout(SERVICE, "v2", RolloutOutcome.COMPLETED))
    late = apply(machine, SettleRollout(SERVICE, "v2", RolloutOutcome.ROLLED_BACK))
    assert not late.changed
    assert machine.state.rollouts[SERVICE].outcome is RolloutOutcome.COMPLETED


def test_departures_are_recorded_once_and_limited_in_number():
    machine = GatewayStateMachine()
    for at in range(MAX_DEPARTURES + 5):
        command = RecordDeparture(
            EndpointId(f"e{at}"), Incarnation(1), EndpointState.LEAVING
        )
        assert apply(machine, command).changed
        assert not apply(machine, command).changed
    assert len(machine.state.departures) == MAX_DEPARTURES
    assert machine.state.departures[-1].endpoint == f"e{MAX_DEPARTURES + 4}"


def test_restored_snapshot_equals_the_original_state():
    machine = GatewayStateMachine()
    apply(machine, ReplaceConfiguration(7, compress_document(b"seven")))
    apply(machine, make_begin_rollout())
    other = GatewayStateMachine()
    other.restore(machine.snapshot())
    assert other.state == machine.state
    assert decompress_document(other.state.document) == b"seven"


def make_cause(name="bad"):
    return Cause(CauseKind.PROMPT_PART, SERVICE, PromptPartId(name))


def test_a_suspension_holds_until_it_is_lifted():
    machine = GatewayStateMachine()
    assert apply(machine, SuspendCause(make_cause(), ("v1",), 100.0), 5).changed
    assert not apply(machine, SuspendCause(make_cause(), ("v1",), 101.0), 6).changed
    assert machine.state.suspensions_index == 5
    restored = GatewayStateMachine()
    restored.restore(machine.snapshot())
    assert restored.state.find_suspension(make_cause()).index == 5
    assert apply(machine, LiftSuspension(make_cause(), LogIndex(5)), 7).changed
    assert machine.state.find_suspension(make_cause()) is None
    assert machine.state.suspensions_index == 7


def test_one_trial_at_a_time_is_granted_and_supersedes_older_decisions():
    machine = GatewayStateMachine()
    apply(machine, SuspendCause(make_cause(), ("v1",), 100.0), 5)
    grants = [
        GrantTrial(
            make_cause(), LogIndex(5), InstanceId(name), Incarnation(1), ("v2",), 130.0
        )
        for name in ("i1", "i2")
    ]
    assert apply(machine, grants[0], 6).changed
    # A second one, decided at the same time by a former leader.
    assert not apply(machine, grants[1], 7).changed
    assert not apply(machine, LiftSuspension(make_cause(), LogIndex(5)), 8).changed
    granted = machine.state.find_suspension(make_cause())
    assert (granted.entry, granted.trials, granted.index) == ("i1", 1, 6)
    assert granted.versions == ("v1", "v2")


def test_the_oldest_suspensions_are_dropped():
    machine = GatewayStateMachine()
    for at in range(MAX_SUSPENSIONS + 3):
        apply(machine, SuspendCause(make_cause(f"p{at}"), (), 100.0), at + 1)
    assert len(machine.state.suspensions) == MAX_SUSPENSIONS
    assert machine.state.find_suspension(make_cause("p0")) is None


def test_the_level_is_raised_and_never_lowered():
    machine = GatewayStateMachine()
    assert apply(machine, RaiseLevel(1)).changed
    assert not apply(machine, RaiseLevel(1)).changed
    assert not apply(machine, RaiseLevel(0)).changed
    assert machine.state.level == 1


def test_a_command_of_unknown_kind_changes_nothing_and_names_the_own_level():
    """Skipping it would let the states of two builds differ at one index."""
    machine = GatewayStateMachine()
    before = machine.snapshot()
    with pytest.raises(BuildTooOldError) as caught:
        machine.apply(LogIndex(1), encode([99, "x"]))
    assert (caught.value.level, caught.value.group_level) == (OWN_LEVEL, None)
    assert machine.snapshot() == before


def test_a_raise_above_the_own_level_changes_nothing_and_names_both_levels():
    machine = GatewayStateMachine(own_level=1)
    with pytest.raises(BuildTooOldError) as caught:
        machine.apply(LogIndex(1), encode_command(RaiseLevel(2)))
    assert (caught.value.level, caught.value.group_level) == (1, 2)
    assert machine.state == GatewayState()


def make_leveled_machine(level):
    machine = GatewayStateMachine(own_level=level)
    apply(machine, ReplaceConfiguration(7, b"seven"))
    apply(machine, RaiseLevel(level), index=2)
    return machine


def test_a_snapshot_keeps_the_level():
    machine = make_leveled_machine(1)
    restored = GatewayStateMachine()
    restored.restore(machine.snapshot())
    assert restored.state == machine.state


def test_a_snapshot_of_a_newer_level_is_refused_and_changes_nothing():
    """An older build would drop its fields, and write the rest back."""
    restored = GatewayStateMachine(own_level=1)
    apply(restored, ReplaceConfiguration(3, b"three"))
    before = restored.snapshot()
    with pytest.raises(BuildTooOldError) as caught:
        restored.restore(make_leveled_machine(2).snapshot())
    assert (caught.value.level, caught.value.group_level) == (1, 2)
    assert restored.snapshot() == before


def test_a_snapshot_is_an_array_until_a_level_is_in_effect():
    """Build 6707038 must read it before the level is raised, and not afterwards."""
    machine = GatewayStateMachine()
    assert isinstance(decode(machine.snapshot()), list)
    apply(machine, RaiseLevel(1))
    assert isinstance(decode(machine.snapshot()), dict)


def test_an_unreadable_snapshot_is_refused():
    with pytest.raises(BuildTooOldError) as caught:
        GatewayStateMachine().restore(b"\xc1")
    assert not isinstance(caught.value, MsgspecError)


def test_only_evacuations_need_a_level():
    """Guards against a command that a replica of an older build cannot read."""
    karen = DataCentre("karen")
    for command in (BeginEvacuation(karen, 1.0), EndEvacuation(karen, 1.0)):
        assert find_required_level(command) is FeatureLevel.EVACUATIONS
    assert find_required_level(make_begin_rollout()) is FeatureLevel.BASE


def test_a_snapshot_of_a_build_without_evacuations_is_restored():
    machine = GatewayStateMachine()
    machine.restore(ENCODER.encode([7, b"seven", {}, [], [], 0]))
    assert machine.state.number == 7
    assert machine.state.evacuations == []
    assert machine.state.evacuations_index == 0
