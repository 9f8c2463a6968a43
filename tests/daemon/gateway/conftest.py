import pytest
from daemon.gateway.harness import GatewayHarness


@pytest.fixture
def make_harness():
    harnesses = []

    def make(configuration=None, is_synced=True, **endpoints):
        harness = GatewayHarness(configuration, **endpoints)
        harnesses.append(harness)
        return harness.sync() if is_synced else harness

    yield make
    for harness in harnesses:
        harness.stop()
