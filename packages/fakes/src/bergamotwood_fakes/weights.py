"""Fake weight store: `python -m bergamotwood_fakes.weights`."""

from click import command, option
from gevent import sleep

from bergamotwood_core.messages import Address
from bergamotwood_fakes.limit import RateLimit
from bergamotwood_fakes.option import LISTEN
from bergamotwood_fakes.process import run_until_stopped
from bergamotwood_fakes.web import (
    Environ,
    Response,
    StartResponse,
    make_error_response,
    make_json_response,
    make_server,
)

PATH = "/v1/weights/"


class WeightStore:
    """Serves the weights of versions with a delay and a rate limit.

    Parameters
    ----------
    limit : RateLimit
        Limit on downloads.
    seconds : float
        Duration of one download.
    """

    def __init__(self, limit: RateLimit, seconds: float) -> None:
        self._limit = limit
        self._seconds = seconds

    def handle_request(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        """Handle one HTTP request (a WSGI application)."""
        path = environ["PATH_INFO"]
        if environ["REQUEST_METHOD"] != "GET" or not path.startswith(PATH):
            return make_error_response(404, "no such path").send(start_response)
        return self._download(path.removeprefix(PATH)).send(start_response)

    def _download(self, version: str) -> Response:
        """Serve the weights of one version."""
        retry_after = self._limit.take()
        if retry_after:
            return make_error_response(
                429, "limit of downloads", retry_after=retry_after
            )
        sleep(self._seconds)
        return make_json_response({"version": version})


@command()
@LISTEN
@option(
    "--rate", type=float, default=2.0, show_default=True, help="Downloads per second."
)
@option("--burst", type=int, default=2, show_default=True)
@option("--seconds", type=float, default=0.3, show_default=True)
def main(listen: Address, rate: float, burst: int, seconds: float) -> None:
    """Run a fake weight store until SIGTERM."""
    store = WeightStore(RateLimit(rate, burst), seconds)
    run_until_stopped(make_server(listen, store.handle_request), "weights", "weights")


if __name__ == "__main__":
    main()
