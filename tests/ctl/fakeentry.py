"""Fake of the operators' interface of an entry, on the real state machines."""

from json import dumps
from re import fullmatch
from urllib.parse import parse_qs, unquote

from gevent.pywsgi import WSGIServer
from msgspec.json import encode

from bergamotwood_core.control import (
    ApplyTicket,
    ControlMachine,
    decode_answer,
    encode_command,
)
from bergamotwood_core.errors import HTTP_STATUS, Code, TicketError
from bergamotwood_core.ledger import LedgerMachine
from bergamotwood_core.states import TicketOutcome
from bergamotwood_core.ticket import check_ticket, diff_ticket, parse_ticket

KEY = "operator-key"
REFUSALS = {
    TicketOutcome.CONFLICT: Code.TICKET_CONFLICT,
    TicketOutcome.STALE: Code.TICKET_STALE,
    TicketOutcome.INVALID: Code.TICKET_INVALID,
}


class Refusal(Exception):
    def __init__(self, code, faults=()):
        self.code = code
        self.faults = faults


class FakeEntry:
    def __init__(self, **encryption):
        self.control = ControlMachine()
        self.ledger = LedgerMachine()
        self.lag = 0
        self.draining = False
        self.server = WSGIServer(
            ("127.0.0.1", 0), self.answer, log=None, error_log=None, **encryption
        )
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def answer(self, environ, start_response):
        try:
            status, document = 200, self.route(environ)
            if isinstance(document, tuple):
                status, document = document
        except Refusal as refusal:
            status = HTTP_STATUS[refusal.code]
            document = {
                "detail": refusal.code.name,
                "code": int(refusal.code),
                "faults": refusal.faults,
            }
        start_response(f"{status} X", [("Content-Type", "application/json")])
        return [encode(document)]

    def route(self, environ):
        if environ.get("HTTP_AUTHORIZATION") != f"Bearer {KEY}":
            raise Refusal(Code.FORBIDDEN)
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        query = parse_qs(environ["QUERY_STRING"])
        body = environ["wsgi.input"].read()
        if (method, path) == ("POST", "/v1/tickets"):
            return self.apply(body, environ.get("HTTP_BERGAMOTWOOD_OPERATOR", ""))
        if (method, path) == ("POST", "/v1/tickets/check"):
            return self.check(body)
        if (method, path) == ("POST", "/v1/drain"):
            self.draining = True
            return 202, {"draining": True}
        return self.read(path, query)

    def apply(self, body, operator):
        command = encode_command(ApplyTicket(body, operator))
        index = self.control.tables.index + 1
        answer = decode_answer(self.control.apply(index, command))
        if answer.outcome in REFUSALS:
            raise Refusal(REFUSALS[answer.outcome], answer.faults)
        return (201 if answer.outcome == "accepted" else 200), answer

    def check(self, body):
        try:
            ticket = parse_ticket(body)
        except TicketError as error:
            raise Refusal(Code.TICKET_INVALID, error.faults)
        tables = self.control.tables
        return {
            "faults": check_ticket(tables, ticket),
            "changes": diff_ticket(tables, ticket),
        }

    def read(self, path, query):
        tables = self.control.tables
        limit = int(query.get("limit", ["100"])[0])
        if path == "/v1/tickets":
            return list(self.control.records.values())[-limit:]
        if path == "/v1/configuration":
            rollouts = [
                item.model_dump(mode="json") for item in tables.rollouts.values()
            ]
            return {
                "ticket": tables.ticket,
                "rollouts": rollouts,
                "progress": tables.progress,
            }
        if path == "/v1/entries":
            return [self.view_entry()]
        if path == "/v1/status":
            return {"instance": "a", "leader": None, "entries": [self.view_entry()]}
        if path == "/v1/endpoints":
            return [view_endpoint()]
        if path == "/v1/bills":
            workspace = query.get("workspace", [None])[0]
            return self.ledger.list_bills(workspace, limit)
        if path == "/v1/totals":
            return self.ledger.list_totals()
        return self.find(path)

    def find(self, path):
        if match := fullmatch(r"/v1/tickets/(\d+)", path):
            found = self.control.records.get(int(match[1]))
            if found is None:
                raise Refusal(Code.TICKET_UNKNOWN)
        elif match := fullmatch(r"/v1/bills/(.+)", path):
            found = self.ledger.find_bill(match[1])
        elif match := fullmatch(r"/v1/claims/([^/]+)/(.+)", path):
            found = self.ledger.find_claim(unquote(match[1]), unquote(match[2]))
        else:
            found = None
        if found is None:
            raise Refusal(Code.UNKNOWN_PATH)
        return found

    def view_entry(self):
        report = {
            "id": "a",
            "address": {"host": "127.0.0.1", "port": 1},
            "data_centre": "karen",
            "state": "serving",
            "in_flight": 0,
            "applied": self.control.tables.index - self.lag,
        }
        return {"report": report, "heard_seconds_ago": 0.2}


def view_endpoint():
    announcement = {
        "id": "e1",
        "data_centre": "karen",
        "address": {"host": "127.0.0.1", "port": 9},
        "kind": "model",
        "state": "serving",
        "versions": ["small:1"],
        "load": 0.5,
        "capacity": 4,
    }
    return {"announcement": announcement, "heard_seconds_ago": 1.0, "outstanding": 0}


def write_ticket(number, **sections):
    return dumps({"number": number, **sections})
