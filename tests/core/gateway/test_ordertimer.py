from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.ordertimer import OrderTimer

RUNNING = ServiceRollout(
    "models", "v2", 12.0, RolloutOutcome.IN_PROGRESS, index=7, ordered_at=1_000.0
)


def test_a_step_of_the_time_of_day_moves_no_rollout():
    timer = OrderTimer()
    timer.observe([], 999.9, Seconds(49.9))
    timer.observe([RUNNING], 1_000.0, Seconds(50.0))
    for step in (-30.0, 0.0, 30.0):
        timer.observe([RUNNING], 1_004.0 + step, Seconds(54.0))
        assert 4.0 <= timer.measure(RUNNING, Seconds(54.0)) <= 4.1


def test_a_rollout_ordered_by_a_machine_with_another_time_starts_now():
    for offset in (-20.0, 20.0):
        timer = OrderTimer()
        timer.observe([], 999.9 + offset, Seconds(49.9))
        timer.observe([RUNNING], 1_000.0 + offset, Seconds(50.0))
        assert timer.measure(RUNNING, Seconds(50.0)) <= 0.1 + 1e-9


def test_a_restarted_replica_estimates_the_start_by_the_time_of_day():
    timer = OrderTimer()
    timer.observe([RUNNING], 1_005.0, Seconds(3.0))
    assert timer.measure(RUNNING, Seconds(4.0)) == 6.0


def test_a_further_rollout_of_a_service_is_timed_anew():
    timer = OrderTimer()
    timer.observe([RUNNING], 1_000.0, Seconds(50.0))
    second = replace(RUNNING, target="v3", index=9, ordered_at=1_020.0)
    timer.observe([second], 1_020.1, Seconds(70.0))
    assert timer.measure(second, Seconds(70.0)) < 0.2
