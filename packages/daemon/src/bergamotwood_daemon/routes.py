"""Routes of the HTTP interface, and the WSGI application that serves them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from re import Pattern
from re import compile as compile_pattern

from bergamotwood_core.errors import BergamotwoodError, Code, RequestError
from bergamotwood_daemon.log import log_failure
from bergamotwood_daemon.settings import Limits
from bergamotwood_daemon.web import (
    ClosingBody,
    Environ,
    Response,
    StartResponse,
    WebRequest,
    answer_problem,
    send_response,
)

Handler = Callable[..., Response]
ANY_METHOD = "*"
# Refusals that another entry might not give, so callers get other addresses.
RETRY_ELSEWHERE_CODES = (Code.CONFIG_STALE, Code.LEDGER_UNAVAILABLE, Code.OVERLOADED)


@dataclass(frozen=True, slots=True)
class Route:
    """A method and path pattern, with its handler and authorization check.

    Parameters
    ----------
    method : str
        HTTP method, or `*` for any.
    pattern : Pattern
        Matches the whole path; its groups are passed to the handler.
    handler : callable
        Takes the request and the groups of the pattern.
    guard : callable or None
        Checks the caller's key before the handler runs.
    """

    method: str
    pattern: Pattern[str]
    handler: Handler
    guard: Callable[[WebRequest], None] | None = None


def make_route(
    method: str,
    pattern: str,
    handler: Handler,
    guard: Callable[[WebRequest], None] | None = None,
) -> Route:
    """Make a route, compiling its path pattern."""
    return Route(method, compile_pattern(pattern), handler, guard)


class Application:
    """The WSGI application of a daemon.

    Parameters
    ----------
    routes : tuple of Route
        Routes, tried in order.
    limits : Limits
        Bounds on requests.
    list_other_entries : callable
        Returns the addresses of other entries, for callers that this one cannot serve.
    """

    def __init__(
        self,
        routes: tuple[Route, ...],
        limits: Limits,
        list_other_entries: Callable[[], tuple[str, ...]],
    ) -> None:
        self._routes = routes
        self._limits = limits
        self._list_other_entries = list_other_entries
        self.active = 0
        self.draining = False

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request, which counts as active until its body is closed."""
        self.active += 1
        response = self._answer(environ)
        pieces = send_response(response, start_response, self.draining)
        return ClosingBody(pieces, self._finish_request)

    def _finish_request(self) -> None:
        self.active -= 1

    def _answer(self, environ: Environ) -> Response:
        request = WebRequest(environ, self._limits)
        try:
            return self._dispatch(request)
        except BergamotwoodError as error:
            addresses = (
                self._list_other_entries()
                if error.code in RETRY_ELSEWHERE_CODES
                else ()
            )
            return answer_problem(error, addresses)
        except Exception:
            log_failure("http", "Request failed.", path=request.path)
            return answer_problem(BergamotwoodError("internal error"))

    def _dispatch(self, request: WebRequest) -> Response:
        path_exists = False
        for route in self._routes:
            match = route.pattern.fullmatch(request.path)
            if match is None:
                continue
            path_exists = True
            if route.method not in (ANY_METHOD, request.method):
                continue
            if route.guard is not None:
                route.guard(request)
            return route.handler(request, *match.groups())
        if path_exists:
            raise RequestError(
                f"{request.path}: not with {request.method}",
                Code.METHOD_NOT_ALLOWED,
            )
        raise RequestError(f"{request.path:.200}: no such path", Code.UNKNOWN_PATH)
