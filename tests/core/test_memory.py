import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotwood_core.clock import Seconds
from bergamotwood_core.memory import (
    CONNECTION_BYTES,
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    MEBIBYTE,
    SMALL_BYTES,
    STALL_SECONDS,
    MemoryAccount,
    MemoryLimits,
    Phase,
    Reason,
)

NOW = Seconds(100.0)


class Peer:
    """A connection of an account, which frees what it holds when it is evicted."""

    def __init__(self, account, now=NOW):
        self.evicted = None
        self.holding = account.open_connection(now, self._evict)

    def _evict(self, reason):
        self.evicted = reason


def make_account(held_bytes=MEBIBYTE, connections=100):
    limits = MemoryLimits()
    limits.held_bytes = held_bytes
    limits.connections = connections
    return MemoryAccount(limits)


def read(account, peer, count, now=NOW):
    """Receive bytes of a request that has not been passed on."""
    peer.holding.phase = Phase.READING
    return account.grow(peer.holding, count, now)


def test_limits_follow_from_the_machine():
    limits = MemoryLimits(128 * MEBIBYTE, 4_100)
    assert limits.held_bytes == int(0.2 * 128 * MEBIBYTE)
    # Connections without bytes leave room for those that send some.
    assert limits.connections * CONNECTION_BYTES <= 0.75 * limits.held_bytes
    assert limits.connections == 491
    assert MemoryLimits(1_024 * MEBIBYTE, 4_100).connections == 1_950
    # One body and one answer of 4 MiB fit on the smallest machine.
    tiny = MemoryLimits(1, 1)
    assert tiny.held_bytes >= 4 * 4 * MEBIBYTE
    assert tiny.connections > 0
    default = MemoryLimits(DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTORS)
    assert default.held_bytes == MemoryLimits().held_bytes


def test_the_largest_request_that_is_not_passed_on_makes_room():
    account = make_account()
    large, small = Peer(account), Peer(account)
    assert read(account, large, 700_000)
    assert read(account, small, 160_000)
    assert read(account, Peer(account), 100_000)
    assert large.evicted is Reason.MEMORY
    assert small.evicted is None
    assert large.holding.held_bytes == CONNECTION_BYTES
    # It holds nothing more, whatever arrives.
    assert not account.grow(large.holding, MEBIBYTE, NOW)


def test_the_request_that_is_largest_itself_gets_no_more():
    account = make_account()
    peers = [Peer(account) for _ in range(4)]
    assert all(read(account, peer, 150_000) for peer in peers)
    assert not read(account, peers[0], 300_000)
    assert [peer.evicted for peer in peers] == [None] * 4
    assert account.refusals[Reason.MEMORY] == 1


def test_a_request_that_was_passed_on_is_never_evicted():
    account = make_account()
    served = Peer(account)
    read(account, served, 800_000)
    served.holding.phase = Phase.SERVED
    other = Peer(account)
    assert not read(account, other, 200_000)
    assert served.evicted is None
    assert other.evicted is None


def test_ordinary_requests_find_room_beside_large_ones_that_are_served():
    account = make_account(4 * MEBIBYTE)
    for _ in range(8):
        peer = Peer(account)
        if read(account, peer, 500_000):
            peer.holding.phase = Phase.SERVED
        else:
            account.close(peer.holding)
    assert read(account, Peer(account), SMALL_BYTES)


def test_idle_connections_go_first_and_the_longest_idle_of_them():
    account = make_account(connections=2)
    first, second = Peer(account, Seconds(1.0)), Peer(account, Seconds(2.0))
    third = Peer(account, Seconds(3.0))
    assert (first.evicted, second.evicted) == (Reason.CONNECTIONS, None)
    assert third.holding is not None
    second.holding.phase = third.holding.phase = Phase.SERVED
    assert Peer(account).holding is None
    assert account.refusals[Reason.CONNECTIONS] == 1
    assert account.connections == 2


@pytest.mark.parametrize(("seconds", "evicted"), [(0.1, None), (STALL_SECONDS, True)])
def test_an_answer_that_is_not_read_makes_room_after_some_time(seconds, evicted):
    account = make_account()
    peer = Peer(account)
    read(account, peer, 800_000)
    peer.holding.phase = Phase.ANSWERING
    now = Seconds(NOW + seconds)
    assert read(account, Peer(account, now), 300_000, now) is bool(evicted)
    assert bool(peer.evicted) is bool(evicted)


def test_an_answer_of_an_endpoint_counts_until_it_is_closed():
    account = make_account()
    answer = account.open_answer(NOW)
    assert account.grow(answer, 500_000, NOW)
    assert not account.grow(answer, MEBIBYTE, NOW)
    account.shrink(answer, 100_000)
    assert account.held_bytes == 400_000
    account.close(answer)
    account.close(answer)
    assert (account.held_bytes, len(account)) == (0, 0)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["open", "answer", "grow", "shrink", "phase", "close"]),
        st.integers(0, 30),
        st.integers(0, 400_000),
        st.sampled_from(list(Phase)),
        st.floats(0.0, 3.0),
    ),
    max_size=80,
)


# Clients that keep to no limits made a process hold more than its memory.
@given(STEPS)
def test_any_sequence_keeps_the_sums_below_their_limits_and_ends_at_zero(steps):
    account = make_account(MEBIBYTE, connections=8)
    holdings = []
    now = NOW
    for step, index, count, phase, seconds in steps:
        now = Seconds(now + seconds)
        holding = holdings[index % len(holdings)] if holdings else None
        match step:
            case "open":
                opened = Peer(account, now).holding
                holdings += [opened] if opened is not None else []
            case "answer":
                holdings.append(account.open_answer(now))
            case "grow" if holding is not None:
                account.grow(holding, count, now)
            case "shrink" if holding is not None:
                account.shrink(holding, min(count, holding.held_bytes))
            case "phase" if holding is not None and holding.is_connection:
                holding.phase = phase
            case "close" if holding is not None:
                account.close(holding)
        assert 0 <= account.held_bytes <= account.limits.held_bytes
        assert 0 <= account.connections <= account.limits.connections
        assert account.held_bytes == sum(item.held_bytes for item in holdings)
    for holding in holdings:
        account.close(holding)
    assert (account.held_bytes, account.connections, len(account)) == (0, 0, 0)


def test_connections_that_only_begin_requests_leave_room_for_new_ones():
    limits = MemoryLimits(128 * MEBIBYTE, 4_100)
    account = MemoryAccount(limits)
    for number in range(3 * limits.connections):
        peer = Peer(account, Seconds(float(number)))
        assert peer.holding is not None
        assert read(account, peer, 1_000, Seconds(float(number)))
    assert account.evictions[Reason.CONNECTIONS] == 2 * limits.connections
