"""HTTP handlers for operators: tickets, status, bills and claims."""

from collections.abc import Callable
from dataclasses import dataclass

from msgspec import Raw, Struct

from bergamotwood_core.bounds import MAX_INTEGER, parse_count
from bergamotwood_core.clock import Seconds
from bergamotwood_core.control import (
    ApplyTicket,
    TicketAnswer,
    decode_answer,
    encode_command,
)
from bergamotwood_core.errors import Code, RequestError, TicketError
from bergamotwood_core.ids import WorkspaceId
from bergamotwood_core.messages import Announcement, EntryReport
from bergamotwood_core.states import TicketOutcome
from bergamotwood_core.tables import Tables
from bergamotwood_core.ticket import check_ticket, diff_ticket, parse_ticket
from bergamotwood_daemon.proposer import Proposer
from bergamotwood_daemon.settings import Settings
from bergamotwood_daemon.watch import Watch
from bergamotwood_daemon.web import JSON, Response, WebRequest, answer_json
from bergamotwood_daemon.wire import (
    FindBill,
    FindClaim,
    FindTicket,
    ListBills,
    ListTickets,
    ListTotals,
)

COMMIT_TIMEOUT_SECONDS = 8.0
QUERY_TIMEOUT_SECONDS = 4.0
MAX_LIST_LENGTH = 1_000
DEFAULT_LIST_LENGTH = 100


class EntryView(Struct):
    """An entry as this instance knows it."""

    report: EntryReport
    heard_seconds_ago: float


class EndpointView(Struct):
    """An endpoint as this instance knows it."""

    announcement: Announcement
    heard_seconds_ago: float
    outstanding: int


class StatusView(Struct):
    """State of one instance and what it knows of the others.

    `voting` says whether the instance's replica counts towards majorities. A replica
    with a new disk counts once it has caught up. None without the control role.
    """

    instance: str
    data_centre: str
    roles: tuple[str, ...]
    draining: bool
    leader: str | None
    index: int
    ticket: int
    config_age_seconds: float | None
    in_flight: int
    voting: bool | None
    entries: list[EntryView]
    endpoints: int


@dataclass(frozen=True)
class Operations:
    """Answers the requests of operators at one instance.

    Parameters
    ----------
    settings : Settings
        Settings of this daemon.
    tables : Tables
        Configuration, directory and requests in flight.
    watch : Watch
        Follows the control log.
    control, ledger : Proposer
        Submit commands and queries to the leaders of the two log groups.
    clock : callable
        Returns the current time.
    drain : callable
        Begins a graceful shutdown.
    is_draining : callable
        Returns whether a graceful shutdown has begun.
    is_voting : callable
        Returns whether the instance's replica votes; None without the control role.
    """

    settings: Settings
    tables: Tables
    watch: Watch
    control: Proposer
    ledger: Proposer
    clock: Callable[[], Seconds]
    drain: Callable[[], None]
    is_draining: Callable[[], bool]
    is_voting: Callable[[], bool | None]

    def apply_ticket(self, request: WebRequest) -> Response:
        """Submit a ticket; a resend gets the log index of the first submission."""
        ticket = parse_ticket(request.read_body())
        operator = request.read_header("bergamotwood-operator") or "operator"
        command = ApplyTicket(ticket.model_dump_json().encode(), operator[:64])
        reply = self.control.propose(encode_command(command), COMMIT_TIMEOUT_SECONDS)
        answer = decode_answer(reply)
        _raise_if_refused(answer)
        created = answer.outcome is TicketOutcome.ACCEPTED
        return answer_json(answer, 201 if created else 200)

    def check_ticket(self, request: WebRequest) -> Response:
        """Return the changes that a ticket would make, and its faults."""
        ticket = parse_ticket(request.read_body())
        faults = check_ticket(self.tables.configuration, ticket)
        changes = diff_ticket(self.tables.configuration, ticket)
        return answer_json({"faults": faults, "changes": changes})

    def show_ticket(self, request: WebRequest, number: str) -> Response:
        """Return the outcome of a ticket."""
        parsed = parse_count(number, MAX_INTEGER)
        if parsed is None:
            raise RequestError(f"ticket: not a number: {number!r:.40}")
        reply = self.control.query(FindTicket(parsed), QUERY_TIMEOUT_SECONDS)
        if reply == b"null":
            raise TicketError(
                f"ticket {number}: not accepted, or no longer kept",
                Code.TICKET_UNKNOWN,
            )
        return _forward_json(reply)

    def list_tickets(self, request: WebRequest) -> Response:
        """List the newest tickets."""
        limit = request.read_number("limit", DEFAULT_LIST_LENGTH, MAX_LIST_LENGTH)
        return _forward_json(
            self.control.query(ListTickets(limit), QUERY_TIMEOUT_SECONDS)
        )

    def show_configuration(self, request: WebRequest) -> Response:
        """Return the current configuration of this instance."""
        tables = self.tables.configuration
        document = {
            "index": self.watch.applied,
            "ticket": tables.ticket,
            "workspaces": _dump_entities(tables.workspaces),
            "models": _dump_entities(tables.models),
            "cascades": _dump_entities(tables.cascades),
            "services": _dump_entities(tables.services),
            "rollouts": _dump_entities(tables.rollouts),
            "progress": tables.progress,
            "suspects": tables.suspects,
        }
        return answer_json(document)

    def show_status(self, request: WebRequest) -> Response:
        """Return the state of this instance."""
        age = self.watch.measure_age(self.clock())
        view = StatusView(
            instance=self.settings.instance,
            data_centre=self.settings.data_centre,
            roles=tuple(str(role) for role in self.settings.roles),
            draining=self.is_draining(),
            leader=self.watch.leader,
            index=self.watch.applied,
            ticket=self.tables.configuration.ticket,
            config_age_seconds=age if age != float("inf") else None,
            in_flight=len(self.tables.in_flight),
            voting=self.is_voting(),
            entries=self._view_entries(),
            endpoints=len(self.tables.directory.endpoints),
        )
        return answer_json(view)

    def list_endpoints(self, request: WebRequest) -> Response:
        """List the endpoints that this instance knows."""
        now = self.clock()
        views = [
            EndpointView(
                endpoint.announcement, now - endpoint.heard_at, endpoint.outstanding
            )
            for endpoint in self.tables.directory.endpoints.values()
        ]
        return answer_json(views)

    def list_entries(self, request: WebRequest) -> Response:
        """List the entries that this instance knows."""
        return answer_json(self._view_entries())

    def list_bills(self, request: WebRequest) -> Response:
        """List the newest bills."""
        workspace = request.read_parameter("workspace")
        limit = request.read_number("limit", DEFAULT_LIST_LENGTH, MAX_LIST_LENGTH)
        workspace_id = WorkspaceId(workspace) if workspace else None
        return _forward_json(
            self.ledger.query(ListBills(workspace_id, limit), QUERY_TIMEOUT_SECONDS)
        )

    def show_bill(self, request: WebRequest, id: str) -> Response:
        """Return the bill of a request."""
        reply = self.ledger.query(FindBill(id), QUERY_TIMEOUT_SECONDS)
        if reply == b"null":
            raise RequestError(f"bill of {id}: not found", Code.UNKNOWN_PATH)
        return _forward_json(reply)

    def list_totals(self, request: WebRequest) -> Response:
        """Return the billed total of each workspace."""
        return _forward_json(self.ledger.query(ListTotals(), QUERY_TIMEOUT_SECONDS))

    def show_claim(self, request: WebRequest, workspace: str, key: str) -> Response:
        """Return the state of an idempotency key."""
        query = FindClaim(WorkspaceId(workspace), key)
        reply = self.ledger.query(query, QUERY_TIMEOUT_SECONDS)
        if reply == b"null":
            raise RequestError(f"claim {workspace}/{key}: not found", Code.UNKNOWN_PATH)
        return _forward_json(reply)

    def start_drain(self, request: WebRequest) -> Response:
        """Begin a graceful shutdown of this instance."""
        self.drain()
        return answer_json({"draining": True}, 202)

    def _view_entries(self) -> list[EntryView]:
        now = self.clock()
        return [
            EntryView(entry.report, now - entry.heard_at)
            for entry in self.tables.directory.entries.values()
        ]


def _raise_if_refused(answer: TicketAnswer) -> None:
    detail = f"ticket {answer.number}"
    match answer.outcome:
        case TicketOutcome.CONFLICT:
            reason = "; ".join(answer.faults)
            raise TicketError(f"{detail}: {reason}", Code.TICKET_CONFLICT)
        case TicketOutcome.STALE:
            reason = "; ".join(answer.faults)
            raise TicketError(f"{detail}: {reason}", Code.TICKET_STALE)
        case TicketOutcome.INVALID:
            raise TicketError(f"{detail}: invalid", faults=answer.faults)


def _dump_entities(table: dict) -> list:
    return [entity.model_dump(mode="json") for entity in table.values()]


def _forward_json(body: bytes) -> Response:
    return Response(200, JSON, [bytes(Raw(body))])
