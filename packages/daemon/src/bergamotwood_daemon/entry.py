"""What the parts of an entry share: tables, policies and ways to the leaders."""

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
    """One entry instance at work.

    Parameters
    ----------
    settings : Settings
        Of this daemon.
    clock : callable
        Gives the time.
    rng : Random
        Source of draws and jitter.
    tables : Tables
        Configuration, directory and requests in flight.
    watch : Watch
        Its view of the control log.
    control, ledger : Proposer
        Ways to the leaders.
    claims : Claims
        Non-idempotent requests.
    policy : CascadePolicy
        Plans cascades.
    admission : AdmissionController
        Fair shares and shedding.
    outcomes : OutcomeCounter
        Evidence on roll-outs.
    tracer : Tracer
        Source of spans.
    incarnation : int
        Tells the starts of this daemon apart.
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
        """Make an id that no other entry or start makes."""
        self.sequence += 1
        return make_request_id(
            InstanceId(self.settings.instance),
            Incarnation(self.incarnation),
            Sequence(self.sequence),
        )

    def measure_config_age(self) -> Seconds:
        """Age of the configuration in force, in seconds."""
        return Seconds(self.watch.measure_age(self.clock()))


@dataclass
class RequestContext:
    """A caller's request on its way through an entry.

    Parameters
    ----------
    id : RequestId
        Made by the entry.
    workspace : Workspace
        Whose request, as it was when admitted.
    fingerprint : Fingerprint
        Same for a resend, whatever its key.
    deadline : Seconds
        When the caller stops waiting.
    idempotent : bool
        Whether it may run more than once.
    priority : Priority
        Passed on to engines.
    prefix_hash : int or None
        Hash of the start of the prompt.
    session : SessionId or None
        Session that the caller named.
    trace : Trace
        Spans of the request.
    attempts : list of Attempt
        What was dispatched, for the bill.
    excluded : set of EndpointId
        Endpoints that failed it.
    running : set of EndpointId
        Endpoints that run it now, which a hedge avoids.
    retryable : bool
        False once a crash under it could not be recorded.
    is_suspect : bool
        Whether an endpoint crashed under it, here or elsewhere.
    suspected_at : Seconds or None
        Since when this entry knows.
    reported_crash_first : bool
        Whether this entry recorded the newest crash, so that it retries first.
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
