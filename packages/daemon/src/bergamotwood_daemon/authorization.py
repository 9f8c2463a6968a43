"""Authentication of callers by their bearer keys."""

from hashlib import sha256
from hmac import compare_digest

from bergamotwood_core.configuration import Workspace
from bergamotwood_core.errors import AuthorizationError, Code
from bergamotwood_core.tables import ConfigurationTables
from bergamotwood_daemon.web import WebRequest


def find_workspace(request: WebRequest, tables: ConfigurationTables) -> Workspace:
    """Return the workspace that the caller's key belongs to.

    Raises
    ------
    AuthorizationError
        No workspace has this key.
    """
    key_hash = _hash_key(request)
    found = None
    for workspace in tables.workspaces.values():
        if _matches(key_hash, workspace.key_hashes):
            found = workspace
    if found is None:
        raise AuthorizationError("authorization: no workspace has this key")
    return found


def require_key(request: WebRequest, hashes: tuple[str, ...], holder: str) -> None:
    """Check the key of an operator or an endpoint.

    Raises
    ------
    AuthorizationError
        The key is not among the hashes.
    """
    if not _matches(_hash_key(request), hashes):
        raise AuthorizationError(
            f"authorization: not a key of {holder}", Code.FORBIDDEN
        )


def _hash_key(request: WebRequest) -> str:
    key = request.read_bearer_token()
    if not key:
        raise AuthorizationError("authorization: bearer key needed")
    return sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def _matches(key_hash: str, hashes: tuple[str, ...]) -> bool:
    matched = False
    for known in hashes:
        matched |= compare_digest(key_hash, known)
    return matched
