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
from bergamotwood_core.placement import (
    PlacementRequirements,
    choose_endpoint,
    estimate_load,
)
from bergamotwood_core.states import EndpointState
from bergamotwood_core.target import VersionTarget

NOW = Seconds(100.0)


def make_requirements(**fields) -> PlacementRequirements:
    return PlacementRequirements(VersionTarget(VERSION), WESTLANDS, **fields)


def choose_many(tables, requirements, count=300, seed=3):
    rng = Random(seed)
    return Counter(
        choose_endpoint(tables, requirements, NOW, rng) for _ in range(count)
    )


def test_choice_is_none_when_no_endpoint_runs_the_version():
    tables = make_directory(make_endpoint("a", versions=("other:1",)))
    assert choose_endpoint(tables, make_requirements(), NOW, Random(1)) is None


def test_load_spills_over_when_the_nearest_data_centre_is_full():
    near = make_endpoint("near", load=2)
    far = make_endpoint("far", KAREN, load=0)
    tables = make_directory(near, far)
    assert set(choose_many(tables, make_requirements())) == {"near"}
    near.outstanding = 12
    assert set(choose_many(tables, make_requirements())) == {"far"}


def test_leaving_and_excluded_endpoints_are_never_chosen():
    tables = make_directory(
        make_endpoint("leaving", state=EndpointState.LEAVING),
        make_endpoint("tried"),
        make_endpoint("other"),
    )
    requirements = make_requirements(excluded=frozenset({EndpointId("tried")}))
    assert set(choose_many(tables, requirements)) == {"other"}


def test_pool_is_rebuilt_when_the_directory_changes():
    tables = make_directory(make_endpoint("a", load=7))
    choose_many(tables, make_requirements())
    tables.endpoints[EndpointId("b")] = make_endpoint("b")
    assert "b" in choose_many(tables, make_requirements())
    tables.endpoints[EndpointId("a")] = make_endpoint("a", versions=())
    tables.membership_version += 1
    assert set(choose_many(tables, make_requirements())) == {"b"}


def test_every_entry_sends_a_prefix_to_the_same_endpoint():
    names = [f"e{number}" for number in range(20)]
    first = make_directory(*(make_endpoint(name) for name in names))
    second = make_directory(*(make_endpoint(name) for name in reversed(names)))
    for prefix in range(50):
        requirements = make_requirements(prefix_hash=prefix)
        chosen = choose_endpoint(first, requirements, NOW, Random(1))
        assert chosen == choose_endpoint(second, requirements, NOW, Random(2))
    prefixes = [make_requirements(prefix_hash=prefix * 7919) for prefix in range(400)]
    spread = Counter(
        choose_endpoint(first, requirements, NOW, Random(1))
        for requirements in prefixes
    )
    assert len(spread) == 20
    assert max(spread.values()) < 60


def test_busy_endpoint_gets_no_affinity_requests_until_its_load_drops():
    tables = make_directory(*(make_endpoint(f"e{number}") for number in range(8)))
    requirements = make_requirements(prefix_hash=77)
    preferred = choose_endpoint(tables, requirements, NOW, Random(1))
    tables.endpoints[preferred].outstanding = 8
    assert preferred not in choose_many(tables, requirements)
    tables.endpoints[preferred].outstanding = 0
    assert set(choose_many(tables, requirements)) == {preferred}


def test_own_requests_correct_a_delayed_load_report():
    endpoint = make_endpoint("a", load=4.0)
    endpoint.outstanding_at_report = 2
    endpoint.outstanding = 5
    assert estimate_load(endpoint) == 1.0
    endpoint.outstanding = 0
    assert estimate_load(endpoint) == 3 / 8


def test_consecutive_failures_eject_an_endpoint_for_longer_each_time():
    bad, good = make_endpoint("bad"), make_endpoint("good")
    tables = make_directory(bad, good)
    for _ in range(3):
        record_start(bad, NOW)
        record_failure(bad, NOW)
    assert set(choose_many(tables, make_requirements())) == {"good"}
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
    assert (
        choose_endpoint(make_directory(only), make_requirements(), NOW, Random(1))
        == "only"
    )


def test_slow_endpoint_gets_fewer_requests():
    endpoints = [make_endpoint(f"e{number}", load=3) for number in range(4)]
    for endpoint in endpoints:
        record_first_token(endpoint, 0.5, NOW)
    endpoints[0].first_token_seconds = 5.0
    chosen = choose_many(make_directory(*endpoints), make_requirements())
    assert chosen["e0"] < 40


def test_endpoint_that_accepts_requests_without_answering_gets_no_more():
    silent, good = make_endpoint("silent"), make_endpoint("good", load=4)
    tables = make_directory(silent, good)
    for endpoint in (silent, good):
        record_start(endpoint, Seconds(NOW - 3.5))
    record_first_token(good, 0.2, Seconds(NOW - 0.1))
    assert set(choose_many(tables, make_requirements())) == {"good"}
    record_failure(silent, NOW)
    assert silent.ejected_until > NOW
    assert silent.awaiting_first_token == 0


def test_long_prefix_tolerates_more_load_than_a_short_one():
    tables = make_directory(*(make_endpoint(f"e{number}") for number in range(8)))
    long, short = (
        make_requirements(prefix_hash=77, prefix_tokens=tokens)
        for tokens in (5_000, 300)
    )
    preferred = choose_endpoint(tables, short, NOW, Random(1))
    tables.endpoints[preferred].outstanding = 2
    assert set(choose_many(tables, long)) == {preferred}
    assert preferred not in choose_many(tables, short)


def test_prefix_affinity_includes_nearby_data_centres():
    near = [make_endpoint(f"w{number}") for number in range(3)]
    far = [make_endpoint(f"k{number}", KAREN) for number in range(3)]
    tables = make_directory(*near, *far)
    with_nearby = [
        make_requirements(prefix_hash=key * 7919, nearby=(KAREN,)) for key in range(60)
    ]
    chosen = {
        choose_endpoint(tables, requirements, NOW, Random(1))
        for requirements in with_nearby
    }
    assert len(chosen) == 6
    without_nearby = [make_requirements(prefix_hash=key * 7919) for key in range(60)]
    chosen = {
        choose_endpoint(tables, requirements, NOW, Random(1))
        for requirements in without_nearby
    }
    assert chosen == {"w0", "w1", "w2"}
