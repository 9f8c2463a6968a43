"""Submission of tickets to a fleet."""

from random import Random

import gevent
from msgspec import json

from bergamotwood_core.messages import Address
from bergamotwood_fakes.evidence import TicketSubmission
from bergamotwood_fakes.fleet import OPERATOR_KEY, Fleet, FleetError, send_http_request
from bergamotwood_fakes.record import read_clock

RETRY_TIMEOUT_SECONDS = 30.0
RETRY_SECONDS = 0.3
ACCEPTED_STATUSES = (200, 201)
REFUSED_STATUSES = (409, 422)
MAX_BILLS = 1_000


class Operator:
    """Submits tickets to a fleet and retries until they are accepted or refused.

    Parameters
    ----------
    fleet : Fleet
        Fleet that receives the tickets.
    random : Random
        Random source for the choice of entries.
    """

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self._number = 0
        self.tickets: list[TicketSubmission] = []

    @property
    def newest_accepted(self) -> int:
        """Number of the latest accepted ticket, 0 without one."""
        return max(
            (ticket.number for ticket in self.tickets if ticket.accepted), default=0
        )

    def allocate_number(self) -> int:
        """Allocate the next ticket number."""
        self._number += 1
        return self._number

    def submit(self, number: int, content: dict, entry: str = "") -> TicketSubmission:
        """Submit a ticket, with retries, until it is accepted or refused.

        Raises
        ------
        FleetError
            When the ticket is invalid, or was neither accepted nor refused in time.
        """
        ticket = TicketSubmission(number, {"number": number, **content}, read_clock())
        self.tickets.append(ticket)
        body = json.encode(ticket.content)
        status = 0
        while read_clock() < ticket.sent + RETRY_TIMEOUT_SECONDS:
            status, answer = self._post(self._choose_address(entry), body)
            if status in ACCEPTED_STATUSES or status in REFUSED_STATUSES:
                ticket.accepted = status in ACCEPTED_STATUSES
                ticket.answered = read_clock()
                return ticket
            if status == 400:
                raise FleetError(f"ticket {number} is invalid: {answer.decode()[:400]}")
            gevent.sleep(RETRY_SECONDS)
        raise FleetError(
            f"ticket {number}: neither accepted nor refused within "
            f"{RETRY_TIMEOUT_SECONDS} s, last status {status}"
        )

    def submit_concurrently(self, content: dict, rival: dict) -> list[TicketSubmission]:
        """Submit two tickets with the same number concurrently."""
        number = self.allocate_number()
        submissions = [
            gevent.spawn(self.submit, number, ticket_content)
            for ticket_content in (content, rival)
        ]
        gevent.joinall(submissions, raise_error=True)
        return [greenlet.value for greenlet in submissions]

    def is_kept(self, number: int) -> bool:
        """Whether a ticket is still stored; False also when no entry answers."""
        return self._get(f"/v1/tickets/{number}") is not None

    def read_bills(self) -> list[dict] | None:
        """Read the bills of the ledger, None when no entry returns them."""
        return self._get(f"/v1/bills?limit={MAX_BILLS}")

    def _get(self, path: str) -> object | None:
        """Get a path from any entry, with retries; None on 404 or timeout."""
        deadline = read_clock() + RETRY_TIMEOUT_SECONDS
        while read_clock() < deadline:
            status, body = send_http_request(
                self._choose_address(""), "GET", path, key=OPERATOR_KEY
            )
            if status == 200:
                return json.decode(body)
            if status == 404:
                return None
            gevent.sleep(RETRY_SECONDS)
        return None

    def _post(self, address: Address, body: bytes) -> tuple[int, bytes]:
        """Post a ticket once and return the status and the body."""
        return send_http_request(address, "POST", "/v1/tickets", body, OPERATOR_KEY)

    def _choose_address(self, entry: str) -> Address:
        """Choose the address of an entry, by name or among the running ones."""
        if entry:
            return self._fleet.members[entry].public
        running = [
            entry_process
            for entry_process in self._fleet.entries
            if entry_process.running
        ]
        return self._random.choice(running or self._fleet.entries).public
