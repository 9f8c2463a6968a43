"""Transcripts of what a caller sent and received."""

from enum import StrEnum

from msgspec import Struct, field

from bergamotwood_core.states import Run


class Outcome(StrEnum):
    """What a caller knows about a request after an attempt.

    `refused` means that an error states that the request did not run, `unknown` an
    error that does not state it, `broken` that there was no complete answer, and
    `unreachable` that the connection was refused.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"


class Request(Struct):
    """A request of a caller, which is the same in each attempt.

    Parameters
    ----------
    mark : str
        Unique text in the body or path, by which the endpoints' records refer to
        the request.
    workspace : str
        Workspace that sends it.
    method, path : str
        Method and path of the HTTP request.
    body : bytes
        Body of the HTTP request.
    key : str
        Idempotency key, empty for none.
    idempotent : bool
        Whether it may run more than once.
    session : str
        Session to continue, empty for none.
    messages : list of dict
        The chat; empty for a plain service.
    max_tokens : int, optional
        Requested length of the answer.
    """

    mark: str
    workspace: str
    method: str
    path: str
    body: bytes
    key: str = ""
    idempotent: bool = True
    session: str = ""
    messages: list[dict] = field(default_factory=list)
    max_tokens: int | None = None

    @property
    def is_chat(self) -> bool:
        """Whether the request is for a model."""
        return bool(self.messages)


class Attempt(Struct):
    """One attempt to send a request.

    Parameters
    ----------
    entry : str
        Entry that received it.
    began, ended : float
        Start and end of the attempt, in seconds since boot.
    outcome : Outcome
        What the caller knows about the request after the attempt.
    status, code : int
        HTTP status and result code, 0 for none.
    run : Run or None
        Whether the request ran, as stated in an error.
    text : str
        Text or body of the answer, as far as it was received.
    version, session, request_id : str
        Version, session and request id returned by the entry.
    first_token : float
        Seconds until the first part of the answer was received.
    cost : float
        Cost returned by the entry.
    retry_after : float
        Delay requested by the entry, in seconds.
    detail : str
        Human-readable detail of an error.
    """

    entry: str
    began: float
    ended: float = 0.0
    outcome: Outcome = Outcome.BROKEN
    status: int = 0
    code: int = 0
    run: Run | None = None
    text: str = ""
    version: str = ""
    session: str = ""
    request_id: str = ""
    first_token: float = 0.0
    cost: float = 0.0
    retry_after: float = 0.0
    detail: str = ""


class Transcript(Struct):
    """A request with all its attempts.

    Parameters
    ----------
    request : Request
        The request.
    tries : list of Attempt
        Its attempts, in the order in which they began.
    done : bool
        Whether the caller makes no more attempts.
    """

    request: Request
    tries: list[Attempt] = field(default_factory=list)
    done: bool = False

    @property
    def answer(self) -> Attempt | None:
        """The first attempt that was answered, None if there is none."""
        for attempt in self.tries:
            if attempt.outcome is Outcome.ANSWERED:
                return attempt
        return None

    @property
    def outcome(self) -> Outcome:
        """What the caller knows after all attempts."""
        if self.answer is not None:
            return Outcome.ANSWERED
        not_run_outcomes = (Outcome.REFUSED, Outcome.UNREACHABLE)
        if all(attempt.outcome in not_run_outcomes for attempt in self.tries):
            return Outcome.REFUSED
        return Outcome.UNKNOWN
