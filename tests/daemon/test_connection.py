from io import BytesIO

import pytest

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import RefusedError
from bergamotwood_core.memory import MemoryAccount, MemoryLimits, Phase, Reason
from bergamotwood_daemon.connection import BODY_MEMORY, BodyMemory
from bergamotwood_daemon.settings import Limits
from bergamotwood_daemon.web import WebRequest


class EvictingSource(BytesIO):
    """A body whose connection makes room for others when its end is read."""

    evict = None

    def read(self, size=-1):
        piece = super().read(size)
        if not piece and self.evict is not None:
            self.evict()
        return piece


def make_request(is_evicted):
    account = MemoryAccount(MemoryLimits())
    holding = account.open_connection(Seconds(0.0), lambda reason: memory.drop())
    memory = BodyMemory(account, holding)
    source = EvictingSource(b"whole")
    if is_evicted:
        source.evict = lambda: account._evict(holding, Reason.MEMORY)
    environ = {"wsgi.input": source, BODY_MEMORY: memory}
    return WebRequest(environ, Limits()), holding


# A chunked body that was dropped for others would have run as an empty one.
def test_a_body_that_is_evicted_at_its_end_is_refused_and_not_passed_on():
    request, _ = make_request(is_evicted=True)
    # Without a length, only the end of the chunks tells that it is complete.
    request.environ["CONTENT_LENGTH"] = ""
    with pytest.raises(RefusedError):
        request.read_body()


def test_a_body_is_read_whole_and_its_request_is_served():
    request, holding = make_request(is_evicted=False)
    assert request.read_body() == b"whole"
    assert holding.phase is Phase.SERVED
