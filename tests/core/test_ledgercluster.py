import pytest
from core.ledgercluster import LedgerCluster
from core.logcluster import InvariantError

from bergamotwood_core.ledger import LedgerMachine


@pytest.mark.parametrize("seed", range(8))
def test_one_holder_dispatches_and_one_bill_stands_through_faults(seed):
    cluster = LedgerCluster(seed, size=5 if seed % 3 == 0 else 3)
    cluster.run(3000)
    cluster.settle(10.0)
    assert cluster.check_bills() > 5


def test_a_ledger_that_grants_anew_after_a_restore_is_caught(monkeypatch):
    restore = LedgerMachine.restore

    def forget(self, content):
        restore(self, content)
        self.keys.records.clear()

    monkeypatch.setattr(LedgerMachine, "restore", forget)
    with pytest.raises(InvariantError, match="two answers|two holders"):
        for seed in range(4):
            LedgerCluster(seed).run(3000)
