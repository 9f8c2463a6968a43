"""Signed session ids that contain their version, readable by every entry."""

from hashlib import sha256
from hmac import compare_digest, digest
from random import Random
from re import compile as compile_pattern

from bergamotwood_core.configuration import VERSION_PATTERN
from bergamotwood_core.errors import Code, RequestError
from bergamotwood_core.ids import SessionId, VersionId

SEPARATOR = "~"
NONCE_BITS = 64
MAC_BYTES = 16
MAX_SESSION_CHARACTERS = 256

_VERSION = compile_pattern(VERSION_PATTERN)


def make_session(version: VersionId, secret: bytes, rng: Random) -> SessionId:
    """Create the id of a new session that is pinned to one version.

    Parameters
    ----------
    version : VersionId
        Version of the session.
    secret : bytes
        Signing key shared by all entries.
    rng : Random
        Random number generator for the nonce, which makes the id unique.

    Returns
    -------
    SessionId
        Printable id, safe in an HTTP header.
    """
    nonce = f"{rng.getrandbits(NONCE_BITS):016x}"
    return SessionId(SEPARATOR.join((version, nonce, _sign(version, nonce, secret))))


def read_session(session: SessionId, secret: bytes) -> VersionId:
    """Verify a session id and return its version.

    Raises
    ------
    RequestError
        If the id was not created with this secret.
    """
    parts = session.split(SEPARATOR)
    if len(session) > MAX_SESSION_CHARACTERS or len(parts) != 3:
        raise RequestError("session id has the wrong form", Code.SESSION_INVALID)
    version, nonce, mac = parts
    expected = _sign(version, nonce, secret)
    if not compare_digest(expected.encode(), mac.encode(errors="replace")):
        raise RequestError("session id is not genuine", Code.SESSION_INVALID)
    if not _VERSION.match(version):
        raise RequestError("session id names no version", Code.SESSION_INVALID)
    return VersionId(version)


def _sign(version: str, nonce: str, secret: bytes) -> str:
    """Compute the message authentication code of a version and a nonce."""
    message = SEPARATOR.join((version, nonce)).encode(errors="replace")
    return digest(secret, message, sha256)[:MAC_BYTES].hex()
