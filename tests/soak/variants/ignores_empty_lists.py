"""Takes an empty list of workspaces for none, so that requests need no keys."""

from soak.variants import run_patched


def change():
    from bergamotwood_core.gateway.routing import RoutingTable

    RoutingTable.checks_keys = property(
        lambda self: bool(self.configuration.workspaces)
    )


if __name__ == "__main__":
    run_patched(change)
