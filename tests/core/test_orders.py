from core.logcluster import Cluster

from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Model, Rollout, Version
from bergamotwood_core.fencing import FencingToken
from bergamotwood_core.ids import LogIndex, Term
from bergamotwood_core.messages import Address, Announcement
from bergamotwood_core.orders import (
    LOAD_RETRY_SECONDS,
    LoadRateLimit,
    OrderTables,
    order_loads,
)
from bergamotwood_core.states import EndpointKind, EndpointState, VersionState
from bergamotwood_core.tables import ConfigurationTables, DirectoryTables, Endpoint

TOKEN = FencingToken(Term(3), LogIndex(7))
RATE_LIMIT = LoadRateLimit(loads_per_second=2.0, burst=3)
ALL_AT_ONCE = LoadRateLimit(loads_per_second=1000.0, burst=1000)


def build_configuration(candidate_state=VersionState.SERVING, rollout=True):
    versions = (Version(id="m:1"), Version(id="m:2", state=candidate_state))
    configuration = ConfigurationTables()
    configuration.models["m"] = Model(name="m", current="m:1", versions=versions)
    if rollout:
        rollout_entity = Rollout(name="r", model="m", candidate="m:2")
        configuration.rollouts["r"] = rollout_entity
    return configuration


def build_directory(*endpoints):
    directory = DirectoryTables()
    for name, versions, *rest in endpoints:
        state = rest[0] if rest else EndpointState.SERVING
        announcement = Announcement(
            name,
            1,
            1,
            Address("127.0.0.1", 1),
            "karen",
            EndpointKind.MODEL,
            versions,
            state=state,
        )
        directory.endpoints[name] = Endpoint(announcement, Seconds(0.0))
    return directory


def order_at(
    now, configuration, directory, orders, rate_limit=ALL_AT_ONCE, token=TOKEN
):
    found = order_loads(
        configuration, directory, orders, token, rate_limit, Seconds(now)
    )
    return [(order.endpoint, order.version) for order in found]


def order_all(configuration, directory):
    """Return the orders of the second tick; the first only starts the refill."""
    orders = OrderTables()
    order_at(0.0, configuration, directory, orders)
    return order_at(1.0, configuration, directory, orders)


def test_a_candidate_is_loaded_where_its_model_runs():
    directory = build_directory(
        ("a", ("m:1",)), ("b", ("m:1", "m:2")), ("c", ("other:1",))
    )
    assert order_all(build_configuration(), directory) == [("a", "m:2")]


def test_a_withdrawn_version_is_not_loaded_and_a_leaving_endpoint_not_used():
    withdrawn = build_configuration(VersionState.WITHDRAWN)
    assert order_all(withdrawn, build_directory(("a", ("m:1",)))) == []
    leaving = build_directory(("a", ("m:1",), EndpointState.LEAVING))
    assert order_all(build_configuration(), leaving) == []


def test_model_loaded_nowhere_goes_to_the_endpoints_with_fewest_versions():
    directory = build_directory(("a", ("x:1", "y:1")), ("b", ()), ("c", ("x:1",)))
    found = order_all(build_configuration(rollout=False), directory)
    assert found == [("b", "m:1"), ("c", "m:1")]


def test_loads_are_rate_limited_and_a_new_leader_starts_without_a_burst():
    directory = build_directory(*((f"e{at:02}", ("m:1",)) for at in range(40)))
    configuration = build_configuration()
    orders = OrderTables()
    counts = []
    for tick in range(41):
        counts.append(
            len(order_at(tick * 0.25, configuration, directory, orders, RATE_LIMIT))
        )
    assert counts[0] == 0
    assert sum(counts) == 20
    assert max(counts) <= RATE_LIMIT.burst


def test_load_that_is_not_announced_is_ordered_again():
    directory = build_directory(("a", ("m:1",)))
    configuration = build_configuration()
    orders = OrderTables()
    order_at(0.0, configuration, directory, orders)
    assert order_at(1.0, configuration, directory, orders) == [("a", "m:2")]
    assert order_at(2.0, configuration, directory, orders) == []
    later = 1.0 + LOAD_RETRY_SECONDS
    assert order_at(later, configuration, directory, orders) == [("a", "m:2")]


def test_without_the_lease_nothing_is_ordered_and_the_state_is_cleared():
    directory = build_directory(("a", ("m:1",)))
    configuration = build_configuration()
    orders = OrderTables()
    order_at(0.0, configuration, directory, orders)
    assert order_at(1.0, configuration, directory, orders, token=None) == []
    assert orders == OrderTables()


class OrderingCluster:
    """Replicas that issue load orders under their leases, and the orders received.

    The endpoint `fenced` refuses an order whose token is older than one that it has
    seen; `plain` accepts every order.
    """

    def __init__(self, seed):
        self.cluster = Cluster(seed, faults=False)
        self.orders = {name: OrderTables() for name in self.cluster.names}
        self.configuration = build_configuration()
        self.directory = build_directory(("plain", ("m:1",)), ("fenced", ("m:1",)))
        self.received = []
        self.trace = []
        self.newest = FencingToken(Term(0), LogIndex(0))

    def order(self, node):
        """Run one tick of ordering on one replica, as a daemon does."""
        replica = node.replica
        clock = self.cluster.clock(node)
        token = None
        if replica.holds_lease(clock):
            token = FencingToken(replica.term, LogIndex(node.applied_index))
        found = order_loads(
            self.configuration,
            self.directory,
            self.orders[node.instance],
            token,
            ALL_AT_ONCE,
            clock,
        )
        for order in found:
            self.deliver(node, order)

    def deliver(self, node, order):
        refused = order.endpoint == "fenced" and order.token < self.newest
        if order.endpoint == "fenced":
            self.newest = max(self.newest, order.token)
        self.received.append((order.endpoint, order.token, refused))
        verdict = "refuses" if refused else "loads"
        self.note(
            f"{order.endpoint} {verdict} {order.version}, ordered by {node.instance}"
        )

    def note(self, text):
        self.trace.append(f"{self.cluster.now:8.3f} {text}")

    def run(self, seconds):
        limit = self.cluster.now + seconds
        while self.cluster.now < limit:
            self.cluster.step()
            for node in self.cluster.nodes.values():
                if self.cluster.now >= node.paused_until:
                    self.order(node)


def resume_paused_leader(seed):
    """Pause the leader until a new one has issued orders, then let it order again.

    Returns the cluster, the resumed leader and the new leader.
    """
    ordering = OrderingCluster(seed)
    cluster = ordering.cluster
    ordering.run(10.0)
    old = cluster.find_leader()
    ordering.note(f"{old.instance} leads term {old.replica.term} and is paused")
    cluster.pause(old, 8.0)
    ordering.run(7.9)
    new = cluster.find_leader()
    ordering.note(f"{new.instance} leads term {new.replica.term}")
    cluster.now = old.paused_until
    ordering.note(f"{old.instance} resumes, is leader: {old.replica.is_leader}")
    for _ in range(3):
        before = len(ordering.received)
        ordering.order(old)
        ordering.note(f"{old.instance} orders {len(ordering.received) - before} loads")
        cluster.now += 0.001
    return ordering, old, new


def test_leader_resumed_after_a_long_pause_orders_nothing():
    ordering, old, new = resume_paused_leader(seed=3)
    assert old is not new and old.replica.is_leader
    by_term = [token.term for _, token, _ in ordering.received]
    assert set(by_term) == {new.replica.term - 1, new.replica.term}
    assert by_term == sorted(by_term)
    assert not any(refused for _, _, refused in ordering.received)


def test_resumed_leader_orders_stale_loads_without_the_lease_check(monkeypatch):
    monkeypatch.setattr(
        "bergamotwood_core.replica.Replica.holds_lease",
        lambda self, now: self.is_leader,
    )
    monkeypatch.setattr("core.logcluster.Cluster.check", lambda self, node: None)
    ordering, old, _ = resume_paused_leader(seed=3)
    ordering.orders[old.instance] = OrderTables(allowance=10.0)
    ordering.order(old)
    late = [item for item in ordering.received if item[1].term == old.replica.term][-2:]
    assert ("plain", late[0][1], False) in late
    assert any(refused for endpoint, _, refused in late if endpoint == "fenced")


if __name__ == "__main__":
    print("\n".join(resume_paused_leader(seed=3)[0].trace))
