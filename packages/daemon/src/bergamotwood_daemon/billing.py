"""Makes the bill of a request and commits it before the answer ends."""

from bergamotwood_core.errors import Code, IdempotencyError, ReplicationError
from bergamotwood_core.ids import IdempotencyKey
from bergamotwood_core.ledger import (
    Bill,
    BillAnswer,
    RecordBill,
    VoidBill,
    decode_answer,
    encode_command,
)
from bergamotwood_core.states import BillOutcome, Run
from bergamotwood_daemon.entry import Entry, RequestContext
from bergamotwood_daemon.tracing import Trace

_REFUSALS = {
    BillOutcome.CONFLICT: (Code.KEY_CONFLICT, "its key stands for another request"),
    BillOutcome.EXPIRED: (Code.KEY_EXPIRED, "its key is too old"),
    BillOutcome.FULL: (Code.LEDGER_UNAVAILABLE, "the ledger has no room for its key"),
    BillOutcome.INVALID: (Code.INTERNAL, "the ledger refused it"),
}


def make_bill(context: RequestContext, key: IdempotencyKey | None, digest: str) -> Bill:
    """Make the bill of a request, which covers all of its attempts."""
    return Bill(
        request=context.id,
        workspace=context.workspace.key,
        key=key,
        digest=digest,
        attempts=tuple(context.attempts),
        cost=sum(attempt.cost for attempt in context.attempts),
    )


def commit_bill(entry: Entry, bill: Bill, trace: Trace) -> None:
    """Commit a bill; a request that was billed before is not billed again.

    Raises
    ------
    IdempotencyError
        When the ledger did not confirm the bill, or rejected it.
    """
    command = encode_command(RecordBill(bill))
    span = trace.start_span("bill", request=bill.request, cost=bill.cost)
    try:
        reply = entry.ledger.propose(command, entry.settings.timeouts.ledger)
    except ReplicationError as error:
        # The bill may still be committed, but its request has failed: void it.
        entry.claims.submit_in_background(VoidBill(bill))
        raise IdempotencyError(
            "the ledger did not confirm the bill",
            Code.LEDGER_UNAVAILABLE,
            Run.RAN,
            retry_after=2.0,
        ) from error
    finally:
        span.end()
    answer = decode_answer(reply)
    refused = isinstance(answer, BillAnswer) and _REFUSALS.get(answer.outcome)
    if refused:
        code, reason = refused
        raise IdempotencyError(f"bill of {bill.request}: {reason}", code, Run.RAN)
