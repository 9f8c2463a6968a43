from collections import Counter
from random import Random

from core.fleet import KAREN, VERSION, WESTLANDS, make_directory, make_endpoint

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import EndpointId
from bergamotwood_core.outlier import (
    record_failure,
    record_first_token,
    record_start,
    record_success,
)
from bergamotwood_core.placement import Need, choose_endpoint, estimate_load
from bergamotwood_core.states import EndpointState
from bergamotwood_core.target import VersionTarget

NOW = Seconds(100.0)


def make_need(**fields) -> Need:
    return Need(VersionTarget(VERSION), WESTLANDS, **fields)


def choose_many(tables, need, count=300, seed=3):
    rng = Random(seed)
    return Counter(choose_endpoint(tables, need, NOW, rng) for _ in range(count))


def test_no_endpoint_runs_the_version():
    tables = make_directory(make_endpoint("a", versions=("other:1",)))
    assert choose_endpoint(tables, make_need(), NOW, Random(1)) is None


def test_the_nearest_data_centre_comes_first_and_the_full_one_spills():
    near = make_endpoint("near", load=2)
    far = make_endpoint("far", KAREN, load=0)
    tables = make_directory(near, far)
    assert set(choose_many(tables, make_need())) == {"near"}
    near.outstanding = 12
    assert set(choose_many(tables, make_need())) == {"far"}


def test_leaving_and_excluded_endpoints_get_nothing():
    tables = make_directory(
        make_endpoint("leaving", state=EndpointState.LEAVING),
        make_endpoint("tried"),
        make_endpoint("other"),
    )
    need = make_need(excluded=frozenset({EndpointId("tried")}))
    assert set(choose_many(tables, need)) == {"other"}


def test_an_endpoint_that_comes_later_is_found():
    tables = make_directory(make_endpoint("a", load=7))
    choose_many(tables, make_need())
    tables.endpoints[EndpointId("b")] = make_endpoint("b")
    assert "b" in choose_many(tables, make_need())
    tables.endpoints[EndpointId("a")] = make_endpoint("a", versions=())
    tables.membership_version += 1
    assert set(choose_many(tables, make_need())) == {"b"}


def test_every_entry_sends_a_prefix_to_the_same_endpoint():
    names = [f"e{number}" for number in range(20)]
    first = make_directory(*(make_endpoint(name) for name in names))
    second = make_directory(*(make_endpoint(name) for name in reversed(names)))
    for prefix in range(50):
        need = make_need(prefix_hash=prefix)
        chosen = choose_endpoint(first, need, NOW, Random(1))
        assert chosen == choose_endpoint(second, need, NOW, Random(2))
    prefixes = [make_need(prefix_hash=prefix * 7919) for prefix in range(400)]
    spread = Counter(choose_endpoint(first, need, NOW, Random(1)) for need in prefixes)
    assert len(spread) == 20
    assert max(spread.values()) < 60


def test_a_busy_endpoint_loses_its_prefix_until_it_is_free():
    tables = make_directory(*(make_endpoint(f"e{number}") for number in range(8)))
    need = make_need(prefix_hash=77)
    preferred = choose_endpoint(tables, need, NOW, Random(1))
    tables.endpoints[preferred].outstanding = 8
    assert preferred not in choose_many(tables, need)
    tables.endpoints[preferred].outstanding = 0
    assert set(choose_many(tables, need)) == {preferred}


def test_own_work_corrects_a_lagged_report():
    endpoint = make_endpoint("a", load=4.0)
    endpoint.outstanding_at_report = 2
    endpoint.outstanding = 5
    assert estimate_load(endpoint) == 1.0
    endpoint.outstanding = 0
    assert estimate_load(endpoint) == 3 / 8


def test_failures_in_a_row_eject_an_endpoint_for_longer_each_time():
    bad, good = make_endpoint("bad"), make_endpoint("good")
    tables = make_directory(bad, good)
    for _ in range(3):
        record_start(bad, NOW)
        record_failure(bad, NOW)
    assert set(choose_many(tables, make_need())) == {"good"}
    first = bad.ejected_until
    record_start(bad, first)
    record_failure(bad, first)
    assert bad.ejected_until - first > first - NOW
    record_start(bad, bad.ejected_until)
    record_first_token(bad, 0.1, bad.ejected_until)
    record_success(bad, bad.ejected_until)
    assert (bad.failures, bad.outstanding, bad.awaiting_first_token) == (0, 0, 0)


def test_ejected_endpoints_are_used_when_there_are_no_others():
    only = make_endpoint("only")
    for _ in range(5):
        record_failure(only, NOW)
    assert choose_endpoint(make_directory(only), make_need(), NOW, Random(1)) == "only"


def test_a_slow_endpoint_gets_less():
    endpoints = [make_endpoint(f"e{number}", load=3) for number in range(4)]
    for endpoint in endpoints:
        record_first_token(endpoint, 0.5, NOW)
    endpoints[0].first_token_seconds = 5.0
    chosen = choose_many(make_directory(*endpoints), make_need())
    assert chosen["e0"] < 40


def test_an_endpoint_that_takes_and_never_answers_gets_nothing_more():
    silent, good = make_endpoint("silent"), make_endpoint("good", load=4)
    tables = make_directory(silent, good)
    for endpoint in (silent, good):
        record_start(endpoint, Seconds(NOW - 3.5))
    record_first_token(good, 0.2, Seconds(NOW - 0.1))
    assert set(choose_many(tables, make_need())) == {"good"}
    record_failure(silent, NOW)
    assert silent.ejected_until > NOW
    assert silent.awaiting_first_token == 0


def test_a_long_prefix_is_worth_more_load_than_a_short_one():
    tables = make_directory(*(make_endpoint(f"e{number}") for number in range(8)))
    long, short = (
        make_need(prefix_hash=77, prefix_tokens=tokens) for tokens in (5_000, 300)
    )
    preferred = choose_endpoint(tables, short, NOW, Random(1))
    tables.endpoints[preferred].outstanding = 2
    assert set(choose_many(tables, long)) == {preferred}
    assert preferred not in choose_many(tables, short)


def test_a_prefix_in_a_near_data_centre_is_worth_the_way():
    near = [make_endpoint(f"w{number}") for number in range(3)]
    far = [make_endpoint(f"k{number}", KAREN) for number in range(3)]
    tables = make_directory(*near, *far)
    needs = [make_need(prefix_hash=key * 7919, nearby=(KAREN,)) for key in range(60)]
    chosen = {choose_endpoint(tables, need, NOW, Random(1)) for need in needs}
    assert len(chosen) == 6
    without = [make_need(prefix_hash=key * 7919) for key in range(60)]
    chosen = {choose_endpoint(tables, need, NOW, Random(1)) for need in without}
    assert chosen == {"w0", "w1", "w2"}
