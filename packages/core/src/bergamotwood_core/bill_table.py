"""Bills and their exact totals."""

from collections import OrderedDict
from math import isfinite

from msgspec import Struct

from bergamotwood_core.ids import RequestId, WorkspaceId
from bergamotwood_core.ledger_command import MAX_FIELD_CHARACTERS, Bill
from bergamotwood_core.watermark import parse_request_id

# Newest bills that are kept; the totals include every bill.
MAX_BILLS = 10_000
MAX_ATTEMPTS = 64
# Cost is summed in integer billionths of a cost unit, so that sums are exact.
BILLIONTHS_PER_UNIT = 1_000_000_000
MAX_COST = 1e9
MAX_TOKENS = 10**9


class Total(Struct, frozen=True):
    """Sum of a workspace's bills.

    Parameters
    ----------
    bills, attempts, prompt_tokens, output_tokens : int
        Numbers of bills, attempts and tokens.
    cost_billionths : int
        Exact cost in billionths of a cost unit.
    """

    bills: int = 0
    attempts: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost_billionths: int = 0

    @property
    def cost(self) -> float:
        """Cost in units."""
        return self.cost_billionths / BILLIONTHS_PER_UNIT


class BillTable:
    """The newest bills, and a total for each workspace."""

    def __init__(self) -> None:
        self.bills: OrderedDict[RequestId, Bill] = OrderedDict()
        self.totals: dict[WorkspaceId, Total] = {}

    def add(self, bill: Bill) -> None:
        """Add a valid bill whose request is not billed yet."""
        self.bills[bill.request] = bill
        if len(self.bills) > MAX_BILLS:
            self.bills.popitem(last=False)
        total = self.totals.get(bill.workspace, Total())
        self.totals[bill.workspace] = _add_bill(total, bill)

    def remove(self, bill: Bill) -> None:
        """Remove a recorded bill from the table and the total."""
        self.bills.pop(bill.request, None)
        total = self.totals.get(bill.workspace, Total())
        self.totals[bill.workspace] = _add_bill(total, bill, sign=-1)

    def list(self, workspace: WorkspaceId | None, limit: int) -> list[Bill]:
        """List the newest bills of one or all workspaces, newest first."""
        newest: list[Bill] = []
        for bill in reversed(self.bills.values()):
            if len(newest) >= limit:
                break
            if workspace is None or bill.workspace == workspace:
                newest.append(bill)
        return newest


def is_valid(bill: Bill) -> bool:
    """Tell whether a bill has a valid request id and values within the limits."""
    if parse_request_id(bill.request) is None or len(bill.attempts) > MAX_ATTEMPTS:
        return False
    if (
        len(bill.key or "") > MAX_FIELD_CHARACTERS
        or len(bill.digest) > MAX_FIELD_CHARACTERS
    ):
        return False
    if not _is_valid_cost(bill.cost):
        return False
    return all(
        _is_valid_cost(attempt.cost)
        and 0 <= attempt.prompt_tokens <= MAX_TOKENS
        and 0 <= attempt.output_tokens <= MAX_TOKENS
        for attempt in bill.attempts
    )


def _is_valid_cost(cost: float) -> bool:
    return isfinite(cost) and 0.0 <= cost <= MAX_COST


def _add_bill(total: Total, bill: Bill, sign: int = 1) -> Total:
    attempts = bill.attempts
    prompt_tokens = sum(attempt.prompt_tokens for attempt in attempts)
    output_tokens = sum(attempt.output_tokens for attempt in attempts)
    cost = round(bill.cost * BILLIONTHS_PER_UNIT)
    return Total(
        bills=total.bills + sign,
        attempts=total.attempts + sign * len(attempts),
        prompt_tokens=total.prompt_tokens + sign * prompt_tokens,
        output_tokens=total.output_tokens + sign * output_tokens,
        cost_billionths=total.cost_billionths + sign * cost,
    )
