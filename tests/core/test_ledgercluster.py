import pytest
from core.ledgercluster import LedgerCluster
from core.logcluster import InvariantError

from bergamotwood_core.ledger import LedgerMachine


@pytest.mark.parametrize("seed", range(8))
def test_each_key_is_dispatched_and_billed_once_under_faults(seed):
    cluster = LedgerCluster(seed, size=5 if seed % 3 == 0 else 3)
    cluster.run(3000)
    cluster.heal_and_run(10.0)
    assert cluster.check_bills() > 5


def test_granting_a_key_again_after_a_restore_is_detected(monkeypatch):
    restore = LedgerMachine.restore

    def restore_without_keys(self, content):
        restore(self, content)
        self.keys.records.clear()

    monkeypatch.setattr(LedgerMachine, "restore", restore_without_keys)
    with pytest.raises(InvariantError, match="two answers|two holders"):
        for seed in range(4):
            LedgerCluster(seed).run(3000)
