"""Outcomes of attempts to get a response to a request."""

from dataclasses import dataclass

from bergamotwood_core.gateway.health import AttemptResult
from bergamotwood_daemon.gateway.message import HttpResponse


@dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint sent a complete response."""

    response: HttpResponse

    @property
    def result(self) -> AttemptResult:
        """Result to record in the endpoint's health."""
        return AttemptResult.ERROR if self.response.status >= 500 else AttemptResult.OK

    @property
    def reason(self) -> str:
        """Status of the response, as the reason of a failure."""
        return f"status {self.response.status}"


@dataclass(frozen=True, slots=True)
class NotRun:
    """The endpoint has certainly not run the request."""

    reason: str
    result: AttemptResult
    was_sent: bool


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The endpoint may have run the request."""

    reason: str
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class Discarded:
    """The response was discarded, because a larger model is to answer."""

    reason: str
    result: AttemptResult = AttemptResult.OK


@dataclass(frozen=True, slots=True)
class Delivered:
    """The complete response was streamed to the caller."""

    reason: str = ""
    result: AttemptResult = AttemptResult.OK


Outcome = Answered | NotRun | MayHaveRun | Discarded | Delivered
