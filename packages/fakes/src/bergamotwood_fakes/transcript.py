"""Transcripts: what a caller sent and what it saw."""

from enum import StrEnum

from msgspec import Struct, field

from bergamotwood_core.states import Run


class Outcome(StrEnum):
    """What a caller knows after one try."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"


class Request(Struct):
    """A caller's request, the same for every try.

    Parameters
    ----------
    mark : str
        Text that is in the body or path, and so in the endpoints' records.
    workspace : str
        Whose request.
    method, path : str
        HTTP request line.
    body : bytes
        The same for every try.
    key : str
        Idempotency key, empty for none.
    idempotent : bool
        Whether it may run more than once.
    session : str
        Session to go on with, empty for none.
    messages : list of dict
        The chat; empty for a plain service.
    max_tokens : int, optional
        Length that was asked for.
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
        """Whether it goes to a model."""
        return bool(self.messages)


class Attempt(Struct):
    """One sending of a request.

    Parameters
    ----------
    entry : str
        Where it went.
    began, ended : float
        Seconds on the machine's clock.
    outcome : Outcome
        What the caller knows.
    status, code : int
        HTTP status and result code.
    run : Run or None
        What an error said about the request having run.
    text : str
        The answer's text or body, as far as it came.
    version, session, request_id : str
        As the entry said.
    first_token : float
        Seconds to the first piece of the answer.
    cost : float
        As the entry said.
    retry_after : float
        Wait that the entry asked for, in seconds.
    detail : str
        Of an error, for a person.
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
    """A request with all its tries, in the order in which they began."""

    request: Request
    tries: list[Attempt] = field(default_factory=list)
    done: bool = False

    @property
    def answer(self) -> Attempt | None:
        """The first try that was answered."""
        for attempt in self.tries:
            if attempt.outcome is Outcome.ANSWERED:
                return attempt
        return None

    @property
    def outcome(self) -> Outcome:
        """What the caller knows in the end."""
        if self.answer is not None:
            return Outcome.ANSWERED
        not_run_outcomes = (Outcome.REFUSED, Outcome.UNREACHABLE)
        if all(attempt.outcome in not_run_outcomes for attempt in self.tries):
            return Outcome.REFUSED
        return Outcome.UNKNOWN
