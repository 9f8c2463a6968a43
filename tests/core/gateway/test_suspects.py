from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.suspects import CRASH_RETENTION_SECONDS, SuspectTable
from bergamotwood_core.ids import EndpointId, Fingerprint, Incarnation

BAD = Fingerprint("bad")


def record_crash(table, endpoint, now, incarnation=1):
    table.record_crash(
        BAD, EndpointId(endpoint), Incarnation(incarnation), Seconds(now)
    )


def test_request_is_suspended_after_three_crashes_until_they_expire():
    table = SuspectTable()
    record_crash(table, "a", 1.0)
    record_crash(table, "b", 2.0)
    assert table.compute_suspension(BAD, Seconds(2.0)) == 0.0
    record_crash(table, "a", 3.0, incarnation=2)
    assert table.compute_suspension(BAD, Seconds(4.0)) == CRASH_RETENTION_SECONDS - 1.0
    assert table.compute_suspension(Fingerprint("other"), Seconds(4.0)) == 0.0
    assert table.compute_suspension(BAD, Seconds(3.1 + CRASH_RETENTION_SECONDS)) == 0.0


def test_repeated_crashes_of_one_incarnation_suspend_nothing():
    table = SuspectTable()
    for at in range(10):
        record_crash(table, "a", at)
    assert table.compute_suspension(BAD, Seconds(10.0)) == 0.0


def exchange_reports(tables, now):
    """Deliver the reports of each entry to all others."""
    crashes = [table.list_own_crashes(Seconds(now)) for table in tables]
    successes = [table.list_successes(Seconds(now)) for table in tables]
    for index, table in enumerate(tables):
        others = [*range(index), *range(index + 1, len(tables))]
        table.apply_reports(
            [item for other in others for item in crashes[other]],
            [item for other in others for item in successes[other]],
            Seconds(now),
        )


def test_success_at_one_entry_clears_the_request_at_all_entries():
    """Guards against suspending a request that many callers send.

    At each entry some of these requests lose their endpoint by chance, while others
    succeed.
    """
    tables = [SuspectTable() for _ in range(3)]
    record_crash(tables[0], "a", 1.0)
    record_crash(tables[1], "b", 1.5)
    exchange_reports(tables, 2.0)
    tables[2].record_success(BAD, Seconds(3.0))
    exchange_reports(tables, 4.0)
    record_crash(tables[0], "c", 5.0)
    assert tables[0].compute_suspension(BAD, Seconds(5.0)) == 0.0
    exchange_reports(tables, 6.0)
    assert tables[1].compute_suspension(BAD, Seconds(6.0)) == 0.0
    # Only crashes after the success count.
    record_crash(tables[1], "d", 7.0)
    record_crash(tables[1], "e", 7.0)
    exchange_reports(tables, 8.0)
    assert all(table.compute_suspension(BAD, Seconds(8.0)) > 0.0 for table in tables)


def test_crashes_at_several_entries_are_combined():
    tables = [SuspectTable() for _ in range(3)]
    record_crash(tables[1], "e1", 10.0)
    record_crash(tables[2], "e2", 10.0)
    # Clocks of entries differ, so that reports contain ages instead of times.
    reports = [
        item for table in tables[1:] for item in table.list_own_crashes(Seconds(11.0))
    ]
    tables[0].apply_reports(reports, (), Seconds(500.0))
    assert tables[0].compute_suspension(BAD, Seconds(500.0)) == 0.0
    record_crash(tables[0], "e0", 500.0)
    assert tables[0].compute_suspension(BAD, Seconds(500.0)) > 0.0


def test_success_clears_a_request_of_earlier_crashes():
    table = SuspectTable()
    for endpoint in "abc":
        record_crash(table, endpoint, 1.0)
    table.record_success(BAD, Seconds(2.0))
    assert table.compute_suspension(BAD, Seconds(3.0)) == 0.0
    assert table.list_own_crashes(Seconds(3.0)) == ()
    for endpoint in "de":
        record_crash(table, endpoint, 4.0)
    assert table.compute_suspension(BAD, Seconds(4.0)) == 0.0
