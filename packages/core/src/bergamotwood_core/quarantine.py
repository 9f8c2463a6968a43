"""Isolation and quarantine of requests that were running when endpoints crashed."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest, xxh3_128

from bergamotwood_core.errors import Code, RefusedError
from bergamotwood_core.ids import EndpointId, Fingerprint, WorkspaceId
from bergamotwood_core.tables import Suspect

QUARANTINE_CRASHES = 2
# At most one in this many endpoints is reserved for retries of suspects, but at
# least one in total.
RETRY_ENDPOINT_DIVISOR = 2
# Maximum number of finished fingerprints that an entry keeps.
MAX_FINISHED = 10_000
# Delay before a suspect is retried. It exceeds the time that a crash record takes
# to reach all entries, so that crashes caused by duplicates of the request at other
# entries are known by then.
CRASH_PROPAGATION_SECONDS = 1.0
# How long an entry waits for the retry by another entry before its own retry.
RETRY_RESULT_TIMEOUT_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Unsuspected:
    """The fingerprint is not a suspect."""


@dataclass(frozen=True, slots=True)
class Isolated:
    """The fingerprint may be retried once, on an endpoint without other suspects.

    Parameters
    ----------
    avoid : EndpointId
        Endpoint that crashed last while running it.
    """

    avoid: EndpointId


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The fingerprint must not run.

    Parameters
    ----------
    crashes : int
        Number of endpoints that crashed while running it.
    """

    crashes: int


Clearance = Unsuspected | Isolated | Quarantined


def fingerprint_request(workspace: WorkspaceId, path: str, body: bytes) -> Fingerprint:
    """Compute the fingerprint of a request, independent of its idempotency key.

    Parameters
    ----------
    workspace : WorkspaceId
        Workspace of the request. It is part of the fingerprint, so that one
        workspace cannot quarantine the requests of another.
    path : str
        Path of the request.
    body : bytes
        Complete body of the request.
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
    """Decide whether and how a request may run.

    Parameters
    ----------
    suspects : mapping
        `ConfigurationTables.suspects`.
    fingerprint : Fingerprint
        Fingerprint of the request.
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
    """Check a fingerprint before dispatch.

    Raises
    ------
    RefusedError
        If the fingerprint is quarantined.
    """
    match check_fingerprint(suspects, fingerprint):
        case Quarantined(crashes):
            detail = f"request is quarantined: {crashes} endpoints crashed under it"
            raise RefusedError(detail, Code.QUARANTINED)
        case clearance:
            return clearance


@dataclass(frozen=True, slots=True)
class RunNow:
    """Dispatch the request as its clearance allows."""


@dataclass(frozen=True, slots=True)
class WaitFor:
    """Keep the request waiting and plan again after some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Refuse the request as quarantined."""


DispatchPlan = RunNow | WaitFor | RefuseRequest


def plan_dispatch(
    clearance: Clearance, crashed: bool, granted: bool, waited: float
) -> DispatchPlan:
    """Decide whether a request that may be a suspect runs, waits or is refused.

    Parameters
    ----------
    clearance : Clearance
        Current clearance of the fingerprint, as known to the entry.
    crashed : bool
        Whether an endpoint crashed while running the request for this entry. The
        entry's tables may not show this crash yet.
    granted : bool
        Whether this entry's record of the last crash was the first in the log. That
        entry retries first; the others wait up to `RETRY_RESULT_TIMEOUT_SECONDS` for
        the result.
    waited : float
        Seconds since the request was first handled as a suspect.
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
    """Assign a separate endpoint to each suspect that is to be retried.

    Every entry computes the same assignment from the replicated table, so that two
    suspects never share an endpoint, whichever entries retry them. An assigned
    endpoint gets no other new work; a suspect without an endpoint waits.

    Parameters
    ----------
    suspects : mapping
        `ConfigurationTables.suspects`, in the order of the log.
    endpoints : sequence of EndpointId
        Eligible endpoints.

    Returns
    -------
    dict
        Endpoint of each suspect that has one. At most half of the endpoints are
        assigned, but at least one if there is any.
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
    """Most recent fingerprints whose requests finished at this entry.

    A request that has finished once does not crash every endpoint that runs it, so
    a crash while it runs is no evidence against it.

    Parameters
    ----------
    limit : int
        Maximum number of fingerprints kept.
    """

    def __init__(self, limit: int = MAX_FINISHED) -> None:
        self.limit = limit
        self._newest: dict[Fingerprint, None] = {}

    def add(self, fingerprint: Fingerprint) -> None:
        """Add a fingerprint, evicting the oldest one beyond the limit."""
        self._newest.pop(fingerprint, None)
        self._newest[fingerprint] = None
        if len(self._newest) > self.limit:
            del self._newest[next(iter(self._newest))]

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._newest


class Isolation:
    """Suspects that this entry runs now, at most one per endpoint.

    Entries learn about the suspects of other entries from the replicated table.
    """

    def __init__(self) -> None:
        self._running: dict[EndpointId, Fingerprint] = {}

    @property
    def endpoints(self) -> frozenset[EndpointId]:
        """Endpoints that currently run a suspect."""
        return frozenset(self._running)

    def runs(self, fingerprint: Fingerprint) -> bool:
        """Whether the suspect is running."""
        return fingerprint in self._running.values()

    def start(self, fingerprint: Fingerprint, endpoint: EndpointId) -> bool:
        """Reserve an endpoint for a suspect; return False if either is in use."""
        if endpoint in self._running or self.runs(fingerprint):
            return False
        self._running[endpoint] = fingerprint
        return True

    def stop(self, fingerprint: Fingerprint, endpoint: EndpointId) -> None:
        """Release the endpoint, whatever the outcome of the suspect."""
        if self._running.get(endpoint) == fingerprint:
            del self._running[endpoint]


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Circumstances of a failed attempt, as seen by the entry.

    Parameters
    ----------
    running : bool
        Whether the request had been sent completely, without a complete answer.
    pooled : bool
        Whether the connection had served another request before.
    answered : bool
        Whether any byte of the answer had been received.
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
    """Decide whether a failure is evidence that the endpoint crashed.

    Parameters
    ----------
    failure : AttemptFailure
        Circumstances of the failed attempt.
    incarnation_changed : bool
        Whether the endpoint has announced a new incarnation since.
    probe_failed : bool
        Whether a new connection to the endpoint failed.
    """
    if not failure.running or not failure.reset:
        return False
    return incarnation_changed or probe_failed
