"""Fake rating service: `python -m bergamotwood_fakes.rating`."""

from random import Random

from click import command, option
from gevent import sleep
from msgspec import DecodeError, Struct, ValidationError, json

from bergamotwood_core.messages import Address
from bergamotwood_fakes.answer import read_quality
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
    read_body,
)


class RatingRequest(Struct):
    """A request to rate an answer."""

    request: str
    workspace: str
    request_class: str
    version: str
    answer: str


class RatingService:
    """Rates answers by the quality stated in their text, plus random noise.

    Parameters
    ----------
    limit : RateLimit
        Limit on ratings.
    seconds : float
        Duration of one rating.
    noise : float
        Standard deviation of the score.
    seed : int
        Seed of the noise.
    """

    def __init__(
        self, limit: RateLimit, seconds: float, noise: float, seed: int
    ) -> None:
        self._limit = limit
        self._seconds = seconds
        self._noise = noise
        self._random = Random(seed)

    def handle_request(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        """Handle one HTTP request (a WSGI application)."""
        match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
            case "POST", "/v1/ratings":
                return self._rate(environ).send(start_response)
            case _:
                return make_error_response(404, "no such path").send(start_response)

    def _rate(self, environ: Environ) -> Response:
        """Rate one answer."""
        try:
            request = json.decode(read_body(environ), type=RatingRequest)
        except (DecodeError, ValidationError) as error:
            return make_error_response(400, str(error))
        retry_after = self._limit.take()
        if retry_after:
            return make_error_response(429, "limit of ratings", retry_after=retry_after)
        sleep(self._seconds)
        quality = read_quality(request.answer) or 0.0
        score = quality + self._random.gauss(0.0, self._noise)
        return make_json_response({"score": min(1.0, max(0.0, score))})


@command()
@LISTEN
@option(
    "--rate", type=float, default=20.0, show_default=True, help="Ratings per second."
)
@option("--burst", type=int, default=20, show_default=True)
@option("--seconds", type=float, default=0.02, show_default=True)
@option("--noise", type=float, default=0.05, show_default=True)
@option("--seed", type=int, default=1, show_default=True)
def main(
    listen: Address, rate: float, burst: int, seconds: float, noise: float, seed: int
) -> None:
    """Run a fake rating service until SIGTERM."""
    rating_service = RatingService(RateLimit(rate, burst), seconds, noise, seed)
    run_until_stopped(
        make_server(listen, rating_service.handle_request), "rating", "rating"
    )


if __name__ == "__main__":
    main()
