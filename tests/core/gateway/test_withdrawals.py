"""A version that was rolled back gets no request until an order brings it back."""

from core.gateway.samples import PLAIN, make_heartbeat
from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from bergamotwood_core.gateway.levels import OWN_LEVEL, FeatureLevel
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.rollout import RolloutView, list_allowed_versions
from bergamotwood_core.gateway.state_machine import (
    BeginRollout,
    GatewayStateMachine,
    RaiseLevel,
    SettleRollout,
    encode_command,
)
from bergamotwood_core.gateway.withdrawals import (
    MAX_SERVICES,
    MAX_VERSIONS,
    RESEND_SECONDS,
    WithdrawnVersions,
    is_newer_rollout,
    restore_version,
    withdraw_version,
)
from bergamotwood_core.ids import LogIndex

VERSIONS = ("v1", "v2", "v3", "v4")
DURATION = 16.0


class Group:
    """Replicas that apply the same log, and entries that hear of it now and then."""

    def __init__(self, level=OWN_LEVEL):
        self.log = []
        self.machine = GatewayStateMachine()
        self.time = self.ordered_at = 0.0
        # What the platform knows: versions rolled back and not ordered since.
        self.withdrawn = set()
        self.target = None
        self.outcome = None
        self.entries = [WithdrawnVersions(), WithdrawnVersions()]
        self.commit(RaiseLevel(level))

    def commit(self, command):
        self.log.append(encode_command(command))
        self.machine.apply(LogIndex(len(self.log)), self.log[-1])

    def order(self, version, seconds):
        """Order a version if the platform would, and expect it to be in progress."""
        self.time += seconds
        if self.outcome is RolloutOutcome.IN_PROGRESS:
            return
        is_copy = version == self.target and self.time <= self.ordered_at + DURATION
        self.commit(BeginRollout(PLAIN, version, DURATION, self.time))
        if is_copy or (version == self.target and self.is_completed):
            return
        self.target, self.outcome = version, RolloutOutcome.IN_PROGRESS
        self.ordered_at = self.time
        self.withdrawn.discard(version)

    @property
    def is_completed(self):
        return self.outcome is RolloutOutcome.COMPLETED

    def settle(self, outcome):
        if self.outcome is not RolloutOutcome.IN_PROGRESS:
            return
        self.commit(SettleRollout(PLAIN, self.target, outcome))
        self.outcome = outcome
        if outcome is RolloutOutcome.ROLLED_BACK:
            self.withdrawn.add(self.target)

    def restart(self):
        """Continue at another replica, which has a snapshot."""
        other = GatewayStateMachine()
        other.restore(self.machine.snapshot())
        self.machine = other

    def replay(self):
        """Continue at a replica that has the log from its beginning."""
        self.machine = GatewayStateMachine()
        for at, command in enumerate(self.log):
            self.machine.apply(LogIndex(at + 1), command)

    def tell(self, entry):
        state = self.machine.state
        if state.keeps_withdrawals:
            entry.update(state.withdrawn, state.withdrawn_index)
        entry.observe(state.rollouts.values())

    def list_served(self, entry):
        """Return the versions that an entry sends requests to."""
        rollout = self.machine.state.rollouts.get(PLAIN)
        view = rollout and RolloutView(rollout, 1.0, 0.5)
        heartbeats = [make_heartbeat(item, version=item) for item in VERSIONS]
        served = set()
        for is_on_target in (True, False):
            groups, spare = list_allowed_versions(
                view,
                heartbeats,
                lambda _, is_on_target=is_on_target: is_on_target,
                entry.list_versions(PLAIN),
            )
            served |= {item.version for group in (*groups, spare) for item in group}
        return served


STEPS = st.one_of(
    st.tuples(
        st.just("order"), st.sampled_from(VERSIONS), st.sampled_from([1.0, 60.0])
    ),
    st.tuples(st.just("settle"), st.sampled_from(list(RolloutOutcome)[1:])),
    st.tuples(st.just("restart")),
    st.tuples(st.just("replay")),
    st.tuples(st.just("tell"), st.integers(0, 1)),
)


# The order of a later version made entries forget that the one before was rolled back.
@settings(max_examples=400, deadline=None)
@given(st.lists(STEPS, max_size=25))
@example(
    [
        ("order", "v1", 1.0),
        ("order", "v1", 60.0),
        ("settle", RolloutOutcome.ROLLED_BACK),
        ("order", "v1", 1.0),
    ]
)
def test_a_rolled_back_version_is_served_only_after_it_is_ordered_again(steps):
    group = Group()
    for name, *values in steps:
        if name == "tell":
            values = [group.entries[values[0]]]
        getattr(group, name)(*values)
        for entry in (*group.entries[:1], WithdrawnVersions()):
            # One that heard of nothing before, and one that has missed some steps.
            group.tell(entry)
            served = group.list_served(entry)
            assert not served & group.withdrawn
            assert served == set(VERSIONS) - group.withdrawn


@settings(max_examples=100, deadline=None)
@given(st.lists(STEPS, max_size=25))
def test_an_entry_that_is_always_told_remembers_below_the_level_of_withdrawals(steps):
    group = Group(level=FeatureLevel.EVACUATIONS)
    entry = group.entries[0]
    for name, *values in steps:
        # Below that level, an order of the newest version is always taken for a copy.
        if name == "tell" or (name == "order" and values[0] == group.target):
            continue
        getattr(group, name)(*values)
        group.tell(entry)
        assert not group.list_served(entry) & group.withdrawn
    assert not group.machine.state.withdrawn


def test_the_level_is_raised_with_what_the_newest_rollouts_tell():
    group = Group(level=FeatureLevel.EVACUATIONS)
    group.order("v2", 1.0)
    group.settle(RolloutOutcome.ROLLED_BACK)
    entry = group.entries[0]
    group.tell(entry)
    group.order("v3", 1.0)
    group.settle(RolloutOutcome.ROLLED_BACK)
    group.commit(RaiseLevel(OWN_LEVEL))
    assert group.machine.state.withdrawn == {PLAIN: ["v3"]}
    group.tell(entry)
    assert entry.list_versions(PLAIN) == {"v2", "v3"}


def test_an_entry_takes_no_older_list():
    entry = WithdrawnVersions()
    entry.update({PLAIN: ["v2"]}, LogIndex(7))
    entry.update({}, LogIndex(6))
    assert entry.list_versions(PLAIN) == {"v2"}
    entry.update({}, LogIndex(8))
    assert entry.list_versions(PLAIN) == set()


def test_a_copy_of_an_order_does_not_bring_a_version_back():
    group = Group()
    group.order("v2", 1.0)
    group.settle(RolloutOutcome.ROLLED_BACK)
    group.commit(BeginRollout(PLAIN, "v2", 2.0, group.time + RESEND_SECONDS))
    assert group.machine.state.withdrawn == {PLAIN: ["v2"]}
    group.commit(BeginRollout(PLAIN, "v2", 2.0, group.time + 2 * DURATION))
    assert not group.machine.state.withdrawn


def test_the_lists_are_bounded():
    withdrawn = {}
    for at in range(2 * MAX_VERSIONS):
        withdrawn = withdraw_version(withdrawn, "s", f"v{at}")
    assert len(withdrawn["s"]) == MAX_VERSIONS
    assert withdrawn["s"][-1] == f"v{2 * MAX_VERSIONS - 1}"
    for at in range(2 * MAX_SERVICES):
        withdrawn = withdraw_version(withdrawn, f"s{at}", "v")
    assert len(withdrawn) == MAX_SERVICES
    assert restore_version(withdrawn, "s", "v") == withdrawn
    last = f"s{2 * MAX_SERVICES - 1}"
    assert last not in restore_version(withdrawn, last, "v")


def test_a_replica_with_an_older_state_brings_no_rollout_back():
    running = ServiceRollout(
        PLAIN, "v2", 15.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
    )
    settled = replace(running, outcome=RolloutOutcome.ROLLED_BACK)
    later = replace(running, target="v3", index=LogIndex(9))
    assert is_newer_rollout(None, running)
    assert is_newer_rollout(running, settled)
    assert not is_newer_rollout(settled, running)
    assert is_newer_rollout(settled, later)
    assert not is_newer_rollout(later, settled)
