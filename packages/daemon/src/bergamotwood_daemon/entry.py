"""State that the parts of an entry share, and the context of each request."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from opentelemetry.trace import Tracer

from bergamotwood_core.admission import AdmissionController
from bergamotwood_core.cascade import CascadePolicy
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Workspace
from bergamotwood_core.ids import (
    EndpointId,
    Fingerprint,
    Incarnation,
    InstanceId,
    RequestId,
    Sequence,
    SessionId,
)
from bergamotwood_core.ledger import Attempt
from bergamotwood_core.outcome import OutcomeCounter
from bergamotwood_core.quarantine import FinishedRequests, Isolation
from bergamotwood_core.retry import HedgeBudget, RetryBudget
from bergamotwood_core.states import Priority
from bergamotwood_core.tables import Tables
from bergamotwood_core.watermark import make_request_id
from bergamotwood_daemon.claims import Claims
from bergamotwood_daemon.proposer import Proposer
from bergamotwood_daemon.settings import Settings
from bergamotwood_daemon.tracing import Trace
from bergamotwood_daemon.watch import Watch


@dataclass
class Entry:
    """Shared state of one entry.

    Parameters
    ----------
    settings : Settings
        Settings of this daemon.
    clock : callable
        Returns the current time.
    rng : Random
        Source of random choices and jitter.
    tables : Tables
        Configuration, directory and requests in flight.
    watch : Watch
        Follows the control log.
    control, ledger : Proposer
        Submit commands and queries to the leaders of the two log groups.
    claims : Claims
        Runs non-idempotent requests at most once.
    policy : CascadePolicy
        Plans cascades.
    admission : AdmissionController
        Shares slots fairly and sheds excess requests.
    outcomes : OutcomeCounter
        Counts outcomes as evidence on roll-outs.
    tracer : Tracer
        Source of spans.
    incarnation : int
        Distinguishes the starts of this daemon.
    retry_budget : RetryBudget
        Limits how many failed requests are sent again.
    isolation : Isolation
        Suspects that run now, at most one on each endpoint.
    finished_requests : FinishedRequests
        Fingerprints of requests that ran to their end once; a crash is no evidence
        against them.
    draining : bool
        Whether a graceful shutdown has begun.
    sequence : int
        Number of request ids made since the start.
    """

    settings: Settings
    clock: Callable[[], Seconds]
    rng: Random
    tables: Tables
    watch: Watch
    control: Proposer
    ledger: Proposer
    claims: Claims
    policy: CascadePolicy
    admission: AdmissionController
    outcomes: OutcomeCounter
    tracer: Tracer
    incarnation: int
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    isolation: Isolation = field(default_factory=Isolation)
    finished_requests: FinishedRequests = field(default_factory=FinishedRequests)
    draining: bool = False
    sequence: int = 0

    def __post_init__(self) -> None:
        self.hedge_budget = HedgeBudget(self.retry_budget)

    @property
    def secret(self) -> bytes:
        """Key of the session MACs."""
        return self.settings.session_secret.encode()

    def make_request_id(self) -> RequestId:
        """Make a request id that is unique across entries and their starts."""
        self.sequence += 1
        return make_request_id(
            InstanceId(self.settings.instance),
            Incarnation(self.incarnation),
            Sequence(self.sequence),
        )

    def measure_config_age(self) -> Seconds:
        """Return the age of the current configuration, in seconds."""
        return Seconds(self.watch.measure_age(self.clock()))


@dataclass
class RequestContext:
    """State of a caller's request while an entry handles it.

    Parameters
    ----------
    id : RequestId
        Unique id, made by the entry.
    workspace : Workspace
        The caller's workspace, as configured when the request arrived.
    fingerprint : Fingerprint
        Hash of the request; a resend has the same one, whatever its key.
    deadline : Seconds
        Time at which the caller stops waiting.
    idempotent : bool
        Whether the request may run more than once.
    priority : Priority
        Priority in the admission queue, also forwarded to engines.
    prefix_hash : int or None
        Hash of the start of the prompt.
    session : SessionId or None
        Session that the caller named, or that was made for the answer.
    trace : Trace
        Spans of the request.
    attempts : list of Attempt
        Attempts that the bill lists.
    excluded : set of EndpointId
        Endpoints that failed or refused the request.
    running : set of EndpointId
        Endpoints that run the request now, which a hedge avoids.
    retryable : bool
        False once an endpoint's crash could not be recorded.
    is_suspect : bool
        Whether an endpoint crashed while it ran the request, at any entry.
    suspected_at : Seconds or None
        Time at which this entry last learned of such a crash.
    reported_crash_first : bool
        Whether this entry was the first to record the latest crash, so that it
        retries first.
    prefix_tokens : int or None
        Estimated size of the prompt.
    """

    id: RequestId
    workspace: Workspace
    fingerprint: Fingerprint
    deadline: Seconds
    trace: Trace
    idempotent: bool = True
    priority: Priority = Priority.NORMAL
    prefix_hash: int | None = None
    session: SessionId | None = None
    attempts: list[Attempt] = field(default_factory=list)
    excluded: set[EndpointId] = field(default_factory=set)
    running: set[EndpointId] = field(default_factory=set)
    retryable: bool = True
    is_suspect: bool = False
    suspected_at: Seconds | None = None
    reported_crash_first: bool = False
    prefix_tokens: int | None = None
