from random import Random

import pytest

from bergamotwood_core.errors import Code, RequestError
from bergamotwood_core.ids import VersionId
from bergamotwood_core.session import make_session, read_session

SECRET = b"s" * 32
VERSION = VersionId("reader-small:2024.1")


def test_session_id_carries_its_version():
    session = make_session(VERSION, SECRET, Random(1))
    assert read_session(session, SECRET) == VERSION
    assert session.isascii() and session.isprintable() and " " not in session


def test_sessions_of_one_version_differ():
    rng = Random(1)
    assert make_session(VERSION, SECRET, rng) != make_session(VERSION, SECRET, rng)


@pytest.mark.parametrize(
    "change",
    [
        lambda s: s.replace("small", "large"),
        lambda s: s[:-1] + ("0" if s[-1] != "0" else "1"),
        lambda s: s[:-1],
        lambda s: s + "~x",
        lambda s: "",
        lambda s: "~~",
        lambda s: s.rsplit("~", 1)[0] + "~\u00e9\udcff",
        lambda s: "a" * 10_000,
    ],
)
def test_modified_session_id_is_refused(change):
    session = change(make_session(VERSION, SECRET, Random(1)))
    with pytest.raises(RequestError) as caught:
        read_session(session, SECRET)
    assert caught.value.code is Code.SESSION_INVALID


def test_session_id_signed_with_another_secret_is_refused():
    session = make_session(VERSION, b"other", Random(1))
    with pytest.raises(RequestError):
        read_session(session, SECRET)
