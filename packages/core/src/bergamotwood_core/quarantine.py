"""Fingerprints of requests that were running when endpoints crashed."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest, xxh3_128

from bergamotwood_core.errors import Code, RefusedError
from bergamotwood_core.ids import EndpointId, Fingerprint, WorkspaceId
from bergamotwood_core.tables import Suspect

QUARANTINE_CRASHES = 2
# One in so many endpoints may be kept for the retry of suspects.
RETRY_ENDPOINT_DIVISOR = 2
# Finished fingerprints that an entry remembers.
MAX_FINISHED = 10_000
# How long a suspect waits before its retry: longer than a crash record takes to
# every entry, so that duplicates that run elsewhere are known by then.
CRASH_PROPAGATION_SECONDS = 1.0
# How long an entry waits for another's retry of a suspect before its own.
RETRY_RESULT_TIMEOUT_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Unsuspected:
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


Clearance = Unsuspected | Isolated | Quarantined


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
        return Unsuspected()
    if suspect.crashes >= QUARANTINE_CRASHES:
        return Quarantined(suspect.crashes)
    return Isolated(suspect.last_endpoint)


def require_clearance(
    suspects: Mapping[Fingerprint, Suspect], fingerprint: Fingerprint
) -> Unsuspected | Isolated:
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


@dataclass(frozen=True, slots=True)
class RunNow:
    """Dispatch the request, by the rules of its clearance."""


@dataclass(frozen=True, slots=True)
class WaitFor:
    """Look again after some seconds; nothing runs meanwhile."""

    seconds: float


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Refuse the request as quarantined."""


DispatchPlan = RunNow | WaitFor | RefuseRequest


def plan_dispatch(
    clearance: Clearance, crashed: bool, granted: bool, waited: float
) -> DispatchPlan:
    """Plan what an entry does with a request that may be a suspect.

    Parameters
    ----------
    clearance : Clearance
        How the fingerprint may run, as the entry knows it now.
    crashed : bool
        Whether an endpoint crashed under the request at this entry, which the
        entry's own tables may not show yet.
    granted : bool
        Whether this entry's record of the last crash was the first in the log: it
        alone retries, all others wait for what comes of that.
    waited : float
        Seconds that the request has waited since it was first planned as a suspect.
    """
    match clearance:
        case Unsuspected() if not crashed or waited >= CRASH_PROPAGATION_SECONDS:
            return RunNow()
        case Quarantined():
            return RefuseRequest()
    timeout = CRASH_PROPAGATION_SECONDS if granted else RETRY_RESULT_TIMEOUT_SECONDS
    if waited >= timeout:
        return RunNow()
    return WaitFor(min(CRASH_PROPAGATION_SECONDS, timeout - waited))


def assign_endpoints(
    suspects: Mapping[Fingerprint, Suspect], endpoints: Sequence[EndpointId]
) -> dict[Fingerprint, EndpointId]:
    """Give suspects that are to be retried an endpoint each.

    Every entry computes the same from the replicated table, so that no two suspects
    run beside each other, whichever entries retry them. An assigned endpoint gets no
    other new work; a suspect without one waits.

    Parameters
    ----------
    suspects : mapping
        `ConfigurationTables.suspects`, in the order of the log.
    endpoints : sequence of EndpointId
        Endpoints that are fit for work.

    Returns
    -------
    dict
        Endpoint of each suspect; at most half of the endpoints.
    """
    free = list(endpoints)
    max_assigned = max(1, len(free) // RETRY_ENDPOINT_DIVISOR)
    assigned: dict[Fingerprint, EndpointId] = {}
    for fingerprint, suspect in suspects.items():
        if suspect.crashes != 1:
            continue
        if len(assigned) == max_assigned or not free:
            break
        chosen = max(free, key=lambda id_: _rank(id_, fingerprint))
        free.remove(chosen)
        assigned[fingerprint] = chosen
    return assigned


def _rank(endpoint: EndpointId, fingerprint: Fingerprint) -> int:
    """Rank an endpoint for a fingerprint by rendezvous hash."""
    return xxh3_64_intdigest(f"{endpoint}/{fingerprint}".encode())


class FinishedRequests:
    """Fingerprints that ran to their end here, the newest ones.

    What has finished once does not crash each endpoint that runs it, so that a crash
    of an endpoint under it is no evidence against it.

    Parameters
    ----------
    limit : int
        Fingerprints kept.
    """

    def __init__(self, limit: int = MAX_FINISHED) -> None:
        self.limit = limit
        self._newest: dict[Fingerprint, None] = {}

    def add(self, fingerprint: Fingerprint) -> None:
        """Remember a fingerprint, and forget the oldest beyond the limit."""
        self._newest.pop(fingerprint, None)
        self._newest[fingerprint] = None
        if len(self._newest) > self.limit:
            del self._newest[next(iter(self._newest))]

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._newest


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
class AttemptFailure:
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


def is_crash(
    failure: AttemptFailure, incarnation_changed: bool, probe_failed: bool
) -> bool:
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
