from core.gateway.samples import make_configuration, make_route

from bergamotwood_core.gateway.configuration import Destination, GatewayWorkspace
from bergamotwood_core.gateway.routing import RoutingTable, choose_destination
from bergamotwood_core.ids import ServiceName, WorkspaceId


def make_table(*prefixes):
    routes = tuple(make_route(name=p, path_prefix=p) for p in prefixes)
    return RoutingTable(make_configuration(routes=routes))


def test_longest_prefix_wins():
    table = make_table("/a/", "/a/b/", "/")
    assert table.find_route("h.example", "/a/b/c").name == "/a/b/"
    assert table.find_route("h.example", "/a/b/").name == "/a/b/"
    assert table.find_route("h.example", "/a/bc").name == "/a/"
    assert table.find_route("h.example", "/x").name == "/"


def test_unmatched_path_or_host_has_no_route():
    table = make_table("/a/b/")
    assert table.find_route("h.example", "/a/") is None
    assert table.find_route("h.example", "/a/b") is None
    assert table.find_route("h.example", "") is None
    assert table.find_route("other.example", "/a/b/c") is None


def test_key_identifies_its_workspace():
    table = RoutingTable(make_configuration())
    assert table.find_workspace("key-2").name == "circle"
    assert table.find_workspace("key-3") is None
    assert table.find_workspace("") is None


# Guards against a configured key without characters, which any request would bear.
def test_a_missing_key_belongs_to_no_workspace():
    workspace = GatewayWorkspace(WorkspaceId("circle"), ("", "key-1"))
    table = RoutingTable(make_configuration(workspaces=(workspace,)))
    assert table.find_workspace("") is None
    assert table.find_workspace("key-1") == workspace


def test_destinations_follow_their_weights_and_stay_fixed_per_affinity_key():
    route = make_route(
        destinations=(
            Destination(ServiceName("x"), 90.0),
            Destination(ServiceName("y"), 10.0),
            Destination(ServiceName("z"), 0.0),
        )
    )
    chosen = [choose_destination(route, f"s{at}") for at in range(4000)]
    assert 0.08 < chosen.count("y") / len(chosen) < 0.12
    assert "z" not in chosen
    assert chosen[:50] == [choose_destination(route, f"s{at}") for at in range(50)]
