import pytest
from core.logcluster import Cluster


@pytest.mark.parametrize("seed", range(6))
def test_the_log_keeps_its_promises_through_faults(seed):
    cluster = Cluster(seed, size=5 if seed % 3 == 0 else 3)
    cluster.run(3000)
    reached = len(cluster.committed)
    cluster.settle(10.0)
    assert len(cluster.committed) > reached > 0
