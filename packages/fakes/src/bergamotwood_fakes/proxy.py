"""Fault-injecting TCP proxy: `python -m bergamotwood_fakes.proxy`."""

from random import Random

import gevent
from click import command, option
from gevent.server import StreamServer
from gevent.socket import socket
from msgspec import DecodeError, Struct, ValidationError, json

from bergamotwood_core.messages import Address
from bergamotwood_fakes.link import Link, connect_to_target
from bergamotwood_fakes.option import LISTEN
from bergamotwood_fakes.process import run_until_stopped
from bergamotwood_fakes.rule import Action, Rule, RuleTable
from bergamotwood_fakes.socket_owner import find_connection_owner
from bergamotwood_fakes.web import (
    Environ,
    Response,
    StartResponse,
    make_error_response,
    make_json_response,
    make_server,
    open_listener,
    read_body,
)

CONNECT_TIMEOUT_SECONDS = 2.0
# Source name of connections from processes that are not registered.
UNKNOWN_SOURCE = "caller"


class Target(Struct):
    """A process that is reachable through the proxy."""

    name: str
    address: Address


class Process(Struct):
    """A process that rules can name as the source of connections."""

    name: str
    pid: int


class Proxy:
    """Listens on one port per target and applies the rules to its connections.

    Parameters
    ----------
    seed : int
        Seed of delays and drops.
    """

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._rules = RuleTable()
        self._links: set[Link] = set()
        self._processes: dict[str, int] = {}
        self._servers: list[StreamServer] = []

    def handle_request(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        """Handle one request to the control interface (a WSGI application)."""
        try:
            return self._handle_control_request(environ).send(start_response)
        except (DecodeError, ValidationError) as error:
            return make_error_response(400, str(error)).send(start_response)

    def _handle_control_request(self, environ: Environ) -> Response:
        """Execute one request to the control interface."""
        body = read_body(environ)
        match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
            case "POST", "/targets":
                return make_json_response(
                    {"port": self._listen(json.decode(body, type=Target))}
                )
            case "POST", "/processes":
                process = json.decode(body, type=Process)
                self._processes[process.name] = process.pid
                return make_json_response(process)
            case "POST", "/rules":
                return make_json_response(
                    {"id": self._add_rule(json.decode(body, type=Rule))}
                )
            case "DELETE", "/rules":
                self._rules.clear()
                return make_json_response({})
            case "DELETE", path if path.startswith("/rules/"):
                removed = self._rules.remove(int(path.removeprefix("/rules/")))
                return make_json_response({}, 200 if removed else 404)
            case "GET", "/links":
                connections = [(link.source, link.target) for link in self._links]
                return make_json_response(connections)
            case _:
                return make_error_response(404, "no such path")

    def _listen(self, target: Target) -> int:
        """Open a port whose connections are forwarded to a target."""

        def handle(downstream: socket, peer_address: tuple[str, int]) -> None:
            self._forward_connection(
                downstream, peer_address[1], server.server_port, target
            )

        listener = open_listener(Address("127.0.0.1", 0))
        server = StreamServer(listener, handle)
        server.start()
        self._servers.append(server)
        return server.server_port

    def _forward_connection(
        self, downstream: socket, source_port: int, proxy_port: int, target: Target
    ) -> None:
        """Forward a new connection until it ends."""
        source = (
            find_connection_owner(self._processes, source_port, proxy_port)
            or UNKNOWN_SOURCE
        )
        if self._refuses_connection(source, target.name):
            downstream.close()
            return
        upstream = connect_to_target(target.address, CONNECT_TIMEOUT_SECONDS)
        if upstream is None:
            downstream.close()
            return
        link = Link(
            source, target.name, self._rules, self._random, downstream, upstream
        )
        silence = self._rules.find(Action.SILENCE, source, target.name)
        if silence is not None and silence.new_too:
            link.discard_bytes()
        self._links.add(link)
        try:
            link.run()
        finally:
            self._links.discard(link)

    def _refuses_connection(self, source: str, target: str) -> bool:
        """Whether a cut or drop rule refuses a new connection."""
        if self._rules.find(Action.CUT, source, target):
            return True
        drop = self._rules.find(Action.DROP, source, target)
        return drop is not None and self._random.random() < drop.share

    def _add_rule(self, rule: Rule) -> int:
        """Apply a rule to open connections, add it and return its number."""
        for link in list(self._links):
            if rule.matches(link.source, link.target):
                link.apply(rule.action)
        return self._rules.add(rule)


@command()
@LISTEN
@option("--seed", type=int, default=1, show_default=True)
def main(listen: Address, seed: int) -> None:
    """Run a fault-injecting proxy until SIGTERM."""
    proxy = Proxy(seed)
    server = make_server(listen, proxy.handle_request)
    # Connections often break under faults; gevent would print a traceback for each.
    gevent.get_hub().NOT_ERROR += (ConnectionError,)
    run_until_stopped(server, "proxy", "proxy")


if __name__ == "__main__":
    main()
