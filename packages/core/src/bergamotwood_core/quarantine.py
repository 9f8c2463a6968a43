"""Fingerprints of requests that were running when endpoints crashed."""

from collections.abc import Mapping
from dataclasses import dataclass

from xxhash import xxh3_128

from bergamotwood_core.errors import Code, RefusedError
from bergamotwood_core.ids import EndpointId, Fingerprint, WorkspaceId
from bergamotwood_core.tables import Suspect

QUARANTINE_CRASHES = 2


@dataclass(frozen=True, slots=True)
class Ordinary:
    """The fingerprint is under no suspicion."""


@dataclass(frozen=True, slots=True)
class Isolated:
    """May be retried once, with no other suspect beside it.

    Parameters
    ----------
    avoid : EndpointId
        Endpoint that crashed last.
    """

    avoid: EndpointId


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Runs nowhere.

    Parameters
    ----------
    crashes : int
        Endpoints that crashed under it.
    """

    crashes: int


Clearance = Ordinary | Isolated | Quarantined


def fingerprint_request(workspace: WorkspaceId, path: str, body: bytes) -> Fingerprint:
    """Fingerprint a request, the same whatever its idempotency key.

    Parameters
    ----------
    workspace : WorkspaceId
        Whose request; one workspace cannot quarantine another's.
    path : str
        Path that it was sent to.
    body : bytes
        Its whole body.
    """
    digest = xxh3_128()
    for part in (workspace.encode(), path.encode()):
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    digest.update(body)
    return Fingerprint(digest.hexdigest())


def check_fingerprint(
    suspects: Mapping[Fingerprint, Suspect], fingerprint: Fingerprint
) -> Clearance:
    """Decide how a fingerprint may run.

    Parameters
    ----------
    suspects : mapping
        `ConfigurationTables.suspects`.
    fingerprint : Fingerprint
        The request's.
    """
    suspect = suspects.get(fingerprint)
    if suspect is None or suspect.crashes == 0:
        return Ordinary()
    if suspect.crashes >= QUARANTINE_CRASHES:
        return Quarantined(suspect.crashes)
    return Isolated(suspect.last_endpoint)


def require_clearance(
    suspects: Mapping[Fingerprint, Suspect], fingerprint: Fingerprint
) -> Ordinary | Isolated:
    """Check a fingerprint at dispatch.

    Raises
    ------
    RefusedError
        When the fingerprint is quarantined.
    """
    match check_fingerprint(suspects, fingerprint):
        case Quarantined(crashes):
            detail = f"request is quarantined: {crashes} endpoints crashed under it"
            raise RefusedError(detail, Code.QUARANTINED)
        case clearance:
            return clearance


class Isolation:
    """Suspects that run now, at most one on an endpoint.

    Every entry keeps its own; entries learn each other's suspects through the
    replicated table.
    """

    def __init__(self) -> None:
        self._running: dict[EndpointId, Fingerprint] = {}

    @property
    def endpoints(self) -> frozenset[EndpointId]:
        """Endpoints that run a suspect now."""
        return frozenset(self._running)

    def runs(self, fingerprint: Fingerprint) -> bool:
        """Whether the suspect runs already."""
        return fingerprint in self._running.values()

    def start(self, fingerprint: Fingerprint, endpoint: EndpointId) -> bool:
        """Take an endpoint for a suspect; False when another one has it."""
        if endpoint in self._running or self.runs(fingerprint):
            return False
        self._running[endpoint] = fingerprint
        return True

    def stop(self, fingerprint: Fingerprint, endpoint: EndpointId) -> None:
        """Give the endpoint back, whatever became of the suspect."""
        if self._running.get(endpoint) == fingerprint:
            del self._running[endpoint]


@dataclass(frozen=True, slots=True)
class Failure:
    """What an entry saw when an attempt failed.

    Parameters
    ----------
    running : bool
        Whether the request had been written whole and had no whole answer.
    pooled : bool
        Whether the connection had served another request before.
    answered : bool
        Whether any byte of the answer had come.
    reset : bool
        Whether the connection was refused, reset or closed early.
    """

    running: bool
    pooled: bool
    answered: bool
    reset: bool


def is_crash(failure: Failure, incarnation_changed: bool, probe_failed: bool) -> bool:
    """Decide whether a failure is evidence of a crash of the endpoint.

    Parameters
    ----------
    failure : Failure
        The failed attempt.
    incarnation_changed : bool
        Whether the endpoint has announced a new incarnation since.
    probe_failed : bool
        Whether a newly dialled connection to the endpoint failed.
    """
    if not failure.running or not failure.reset:
        return False
    return incarnation_changed or probe_failed
