"""Fake plain service: `python -m bergamotwood_fakes.service`."""

from pathlib import Path
from random import Random

from click import command, option
from gevent import sleep
from msgspec import DecodeError, ValidationError, json

from bergamotwood_core.ids import EndpointId
from bergamotwood_core.messages import Address, Announcement
from bergamotwood_core.states import EndpointKind
from bergamotwood_fakes.announcer import Announcer, make_incarnation
from bergamotwood_fakes.fault import Faults
from bergamotwood_fakes.option import add_endpoint_options
from bergamotwood_fakes.process import run_endpoint
from bergamotwood_fakes.record import Record
from bergamotwood_fakes.recorder import Identity, Recorder
from bergamotwood_fakes.web import (
    Environ,
    Response,
    StartResponse,
    close_connection,
    make_error_response,
    make_json_response,
    make_server,
    read_body,
)


class BrokenAnswerError(Exception):
    """Injected fault that closes the connection before the answer."""


class Service:
    """Answers payments, licences and availability checks, and echoes other requests.

    Parameters
    ----------
    name : str
        Name of the service.
    seconds : float
        Duration of one request.
    recorder : Recorder
        Records its runs.
    """

    def __init__(self, name: str, seconds: float, recorder: Recorder) -> None:
        self._name = name
        self._seconds = seconds
        self._recorder = recorder
        self._faults = Faults()
        self._random = Random(0)

    def handle_request(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        """Handle one HTTP request (a WSGI application)."""
        if environ["PATH_INFO"] == "/fault":
            return self._set_faults(environ).send(start_response)
        body = read_body(environ)
        if self._random.random() < self._faults.error_rate:
            return make_error_response(500, "service error").send(start_response)
        run = self._recorder.record_start(environ, body, self._name)
        try:
            answer = self._run(run)
        except BrokenAnswerError:
            self._recorder.record_end(run, 0, False)
            close_connection(environ)
            return []
        self._recorder.record_end(run, 1, True)
        return answer.send(start_response)

    def _set_faults(self, environ: Environ) -> Response:
        """Replace the injected faults."""
        try:
            self._faults = json.decode(read_body(environ), type=Faults)
        except (DecodeError, ValidationError) as error:
            return make_error_response(400, str(error))
        return make_json_response(self._faults)

    def _run(self, run: Record) -> Response:
        """Run a request with the injected faults."""
        sleep(self._seconds + self._faults.extra_latency)
        if self._faults.break_after is not None:
            raise BrokenAnswerError
        sleep(self._faults.late)
        match run.method, run.path.strip("/").split("/")[0]:
            case "POST", "payments" | "licences":
                receipt = f"{run.endpoint}-{run.incarnation}-{run.run}"
                return make_json_response({"receipt": receipt, "body": run.fingerprint})
            case "GET", "availability":
                return make_json_response({"available": True, "path": run.path})
            case _:
                return make_json_response({"path": run.path, "body": run.fingerprint})


@command()
@add_endpoint_options
@option("--service", required=True, help="Name of the service.")
@option("--seconds", type=float, default=0.01, show_default=True)
def main(
    identity: str,
    listen: Address,
    public: Address | None,
    entries: tuple[Address, ...],
    endpoint_key: str,
    data_centre: str,
    capacity: int,
    leave_seconds: float,
    records: Path | None,
    service: str,
    seconds: float,
) -> None:
    """Run a fake plain service until SIGTERM."""
    endpoint_identity = Identity(EndpointId(identity), make_incarnation())
    recorder = Recorder(endpoint_identity, records)
    service_app = Service(service, seconds, recorder)
    server = make_server(listen, service_app.handle_request)
    address = public or Address(listen.host, server.server_port)

    def describe() -> Announcement:
        return Announcement(
            id=endpoint_identity.id,
            incarnation=endpoint_identity.incarnation,
            sequence=0,
            address=address,
            data_centre=data_centre,
            kind=EndpointKind.SERVICE,
            versions=(service,),
            capacity=capacity,
            load=float(recorder.running),
        )

    announcer = Announcer(entries, endpoint_key, describe)
    run_endpoint(
        server,
        announcer,
        identity,
        "service",
        recorder,
        leave_seconds,
    )


if __name__ == "__main__":
    main()
