from errno import ECONNRESET, EHOSTUNREACH, ENETUNREACH, EPIPE, ETIMEDOUT

import pytest

from bergamotwood_core.answers import is_orderly_end


@pytest.mark.parametrize("number", [ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH])
def test_an_end_after_a_failed_write_is_not_orderly(number):
    assert not is_orderly_end(OSError(number, "failed"))


@pytest.mark.parametrize("error", [None, OSError(EPIPE, "closed by the peer")])
def test_an_end_that_the_peer_has_sent_is_orderly(error):
    assert is_orderly_end(error)
