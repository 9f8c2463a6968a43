"""Routes of the HTTP interface, and the WSGI application over them."""

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
# Codes of refusals that another entry may not give.
RETRY_ELSEWHERE_CODES = (Code.CONFIG_STALE, Code.LEDGER_UNAVAILABLE, Code.OVERLOADED)


@dataclass(frozen=True, slots=True)
class Route:
    """One method and path, with the handler and the check before it.

    Parameters
    ----------
    method : str
        HTTP method, or `*` for any.
    pattern : Pattern
        Whole path; its groups are arguments of the handler.
    handler : callable
        Takes the request and the groups.
    guard : callable or None
        Checks the caller's key first.
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
    """Make a route from the text of its pattern."""
    return Route(method, compile_pattern(pattern), handler, guard)


class Application:
    """The WSGI application of a daemon.

    Parameters
    ----------
    routes : tuple of Route
        Tried in order.
    limits : Limits
        Bounds on requests.
    list_other_entries : callable
        Addresses of other entries, told to callers that this one cannot serve.
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
        """Answer one request; it is active until its body is closed."""
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
        known_path = False
        for route in self._routes:
            match = route.pattern.fullmatch(request.path)
            if match is None:
                continue
            known_path = True
            if route.method not in (ANY_METHOD, request.method):
                continue
            if route.guard is not None:
                route.guard(request)
            return route.handler(request, *match.groups())
        if known_path:
            raise RequestError(
                f"{request.path}: not with {request.method}", Code.METHOD_NOT_ALLOWED
            )
        raise RequestError(f"{request.path:.200}: no such path", Code.UNKNOWN_PATH)
