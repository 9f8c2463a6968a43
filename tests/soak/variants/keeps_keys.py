"""Keeps accepting each key that it has accepted once, also after its revocation."""

from soak.variants import run_patched


def change():
    from bergamotwood_core.gateway.routing import RoutingTable

    find_workspace = RoutingTable.find_workspace
    known = {}

    def find_known_workspace(self, key):
        workspace = find_workspace(self, key)
        if workspace is not None:
            known[key] = workspace
        return known.get(key)

    RoutingTable.find_workspace = find_known_workspace


if __name__ == "__main__":
    run_patched(change)
