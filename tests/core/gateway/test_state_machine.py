from bergamotwood_core.gateway.state_machine import (
    MAX_DEPARTURES,
    OUTCOME_DECODER,
    BeginRollout,
    GatewayStateMachine,
    RecordDeparture,
    ReplaceConfiguration,
    RolloutOutcome,
    SettleRollout,
    compress_document,
    decompress_document,
    encode_command,
)
from bergamotwood_core.ids import EndpointId, Incarnation, LogIndex, ServiceName
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
