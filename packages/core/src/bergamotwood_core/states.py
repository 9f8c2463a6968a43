"""States and outcomes of entities and requests."""

from enum import IntEnum, StrEnum


class VersionState(StrEnum):
    """Whether a model version may receive new work."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"


class EndpointState(StrEnum):
    """State that an endpoint announces."""

    SERVING = "serving"
    LEAVING = "leaving"


class EndpointKind(StrEnum):
    """Kind of work that an endpoint runs."""

    MODEL = "model"
    SERVICE = "service"


class EntryState(StrEnum):
    """Whether callers should be directed to an entry."""

    SERVING = "serving"
    DRAINING = "draining"


class RolloutState(StrEnum):
    """State of a roll-out."""

    RUNNING = "running"
    PAUSED = "paused"
    COMPLETED = "completed"
    STOPPED = "stopped"


class TicketOutcome(StrEnum):
    """Result of applying a ticket."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    STALE = "stale"
    INVALID = "invalid"


class BillOutcome(StrEnum):
    """Result of recording a bill or finishing a claim."""

    RECORDED = "recorded"
    DUPLICATE = "duplicate"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    FULL = "full"
    INVALID = "invalid"


class ClaimState(StrEnum):
    """State of an idempotency key in the ledger."""

    HELD = "held"
    DONE = "done"
    UNKNOWN = "unknown"


class Run(StrEnum):
    """Whether a request that failed was executed."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Priority(IntEnum):
    """Priority of a request; a lower number is served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2
