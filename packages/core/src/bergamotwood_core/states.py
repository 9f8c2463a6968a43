"""States that entities move through."""

from enum import IntEnum, StrEnum


class VersionState(StrEnum):
    """Whether a model version may receive new work."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"


class EndpointState(StrEnum):
    """What an endpoint says of itself."""

    SERVING = "serving"
    LEAVING = "leaving"


class EndpointKind(StrEnum):
    """What an endpoint runs."""

    MODEL = "model"
    SERVICE = "service"


class EntryState(StrEnum):
    """Whether callers should be sent to an entry."""

    SERVING = "serving"
    DRAINING = "draining"


class RolloutState(StrEnum):
    """Progress of a roll-out."""

    RUNNING = "running"
    PAUSED = "paused"
    COMPLETED = "completed"
    STOPPED = "stopped"


class TicketOutcome(StrEnum):
    """What became of a ticket."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    STALE = "stale"
    INVALID = "invalid"


class BillOutcome(StrEnum):
    """What became of a bill, or of the end of a claim."""

    RECORDED = "recorded"
    DUPLICATE = "duplicate"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    FULL = "full"
    INVALID = "invalid"


class ClaimState(StrEnum):
    """State of a non-idempotent request in the ledger."""

    HELD = "held"
    DONE = "done"
    UNKNOWN = "unknown"


class Run(StrEnum):
    """What an error says about the request having run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Priority(IntEnum):
    """Priority of a request; a lower number is served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2
