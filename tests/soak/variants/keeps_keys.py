"""Honours every key that it has ever known."""

from soak.variants import run_changed


def change():
    from bergamotwood_core.gateway.routing import RoutingTable

    find_workspace = RoutingTable.find_workspace
    known = {}

    def find_ever(self, key):
        holder = find_workspace(self, key)
        if holder is not None:
            known[key] = holder
        return known.get(key)

    RoutingTable.find_workspace = find_ever


if __name__ == "__main__":
    run_changed(change)
