import pytest
from ctl.fakeentry import KEY, FakeEntry
from daemon.brokenheads import BROKEN_HEADS, INTERIM_LINES
from daemon.gateway.rawserver import RawServer, reset

from bergamotctl.client import Client
from bergamotwood_core.errors import AnswerError, UnreachableError

DOCUMENT = b'{"ticket": 7, "draining": true}'
LENGTH_FIELD = b"content-length: %d\r\n" % len(DOCUMENT)


@pytest.fixture
def serve():
    servers = []

    def start(answer, is_reset=False):
        def act(sock, request):
            sock.sendall(answer)
            if is_reset:
                reset(sock)

        servers.append(RawServer(act))
        return servers[-1].address

    yield start
    for server in servers:
        server.stop()


@pytest.fixture
def entry():
    fake = FakeEntry()
    yield fake
    fake.server.stop()


def set_length(fields):
    before, _, _ = fields.rpartition(b"content-length")
    return before + LENGTH_FIELD


BROKEN_ANSWERS = [
    *(
        line + b"\r\n" + set_length(fields) + b"\r\n" + DOCUMENT
        for line, fields in BROKEN_HEADS
    ),
    b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n" + DOCUMENT,
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1f\r\n" + DOCUMENT,
    b"HTTP/1.1 200 OK\r\n",
    b"",
]


# A broken answer ended the command with the error of the parser, or was printed.
@pytest.mark.parametrize("answer", BROKEN_ANSWERS)
def test_the_next_entry_is_asked_after_a_broken_answer(serve, entry, answer):
    client = Client((serve(answer), entry.address), KEY)
    assert client.get("/v1/configuration")["ticket"] == 0


@pytest.mark.parametrize("answer", BROKEN_ANSWERS)
def test_a_broken_answer_of_the_only_entry_is_an_error(serve, answer):
    address = serve(answer)
    with pytest.raises(UnreachableError) as caught:
        Client((address,), KEY).post("/v1/drain")
    assert address in caught.value.detail


@pytest.mark.parametrize("size", [0, 1, len(DOCUMENT) - 1])
@pytest.mark.parametrize("is_reset", [False, True])
def test_a_part_of_a_document_without_length_is_an_error(serve, size, is_reset):
    answer = b"HTTP/1.1 200 OK\r\n\r\n" + DOCUMENT[:size]
    with pytest.raises((AnswerError, UnreachableError)):
        Client((serve(answer, is_reset),), KEY).get("/v1/configuration")


@pytest.mark.parametrize("fields", [b"", LENGTH_FIELD])
@pytest.mark.parametrize("interim", [b"", INTERIM_LINES])
def test_a_sound_answer_is_read_whole(serve, interim, fields):
    head = interim + b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n"
    client = Client((serve(head + DOCUMENT),), KEY)
    assert client.get("/v1/configuration") == {"ticket": 7, "draining": True}
