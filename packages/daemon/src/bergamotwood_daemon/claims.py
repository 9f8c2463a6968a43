"""Runs non-idempotent requests at most once, by claiming their key in the ledger."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from gevent import sleep, spawn
from gevent.event import AsyncResult
from gevent.timeout import Timeout

from bergamotwood_core.errors import (
    BergamotwoodError,
    Code,
    EndpointError,
    IdempotencyError,
    RefusedError,
    ReplicationError,
)
from bergamotwood_core.ids import (
    IdempotencyKey,
    Incarnation,
    InstanceId,
    RequestId,
    WorkspaceId,
)
from bergamotwood_core.ledger import (
    Abandon,
    Bill,
    Claim,
    ClaimAnswer,
    Conflict,
    Done,
    Expired,
    Finish,
    Full,
    Granted,
    Held,
    LedgerCommand,
    Refused,
    Release,
    Released,
    StoredAnswer,
    Unknown,
    decode_answer,
    encode_command,
)
from bergamotwood_core.states import Run
from bergamotwood_daemon.proposer import Proposer

MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0
MAX_UNCONFIRMED_COMMANDS = 4_096


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A request that must run at most once for its idempotency key."""

    workspace: WorkspaceId
    key: IdempotencyKey
    digest: str
    id: RequestId


@dataclass(frozen=True, slots=True)
class CompletedRun:
    """Result of one run: the answer to store and the bill for it."""

    answer: StoredAnswer
    bill: Bill


class Claims:
    """Claims idempotency keys for one entry and records how their requests ended.

    Parameters
    ----------
    ledger : Proposer
        Submits commands to the ledger group.
    timeout_seconds : float
        Longest wait for one commit.
    rng : Random
        Source of jitter for the backoff.

    Attributes
    ----------
    unconfirmed_commands : int
        Commands submitted in the background that the ledger has not confirmed yet.
    running : int
        Requests that are running now.
    """

    def __init__(self, ledger: Proposer, timeout_seconds: float, rng: Random) -> None:
        self._ledger = ledger
        self._timeout = timeout_seconds
        self._rng = rng
        self.unconfirmed_commands = 0
        self.running = 0

    def run_once(
        self,
        request: KeyedRequest,
        dispatch: Callable[[], CompletedRun],
        wait_seconds: float,
    ) -> StoredAnswer:
        """Claim the key, run the request at most once, and return its answer.

        Parameters
        ----------
        request : KeyedRequest
            The request and the key to claim.
        dispatch : callable
            Dispatches the request; called at most once, after the claim.
        wait_seconds : float
            Time that the caller waits for the answer; the run continues after it.

        Raises
        ------
        IdempotencyError
            The key cannot be claimed, or its run has no answer to return: the outcome
            is not known, the bill is not confirmed or the answer was not kept.
        EndpointError, RefusedError
            The ledger did not confirm the claim, or the run failed; `run` says whether
            the request may have run.
        """
        match self._claim(request):
            case Granted():
                return self._run(request, dispatch, wait_seconds)
            case Done(StoredAnswer() as answer):
                return answer
            case other:
                raise _make_claim_error(request, other)

    def check_backlog(self) -> None:
        """Refuse new requests while too many ledger commands are unconfirmed.

        Raises
        ------
        RefusedError
            The limit of unconfirmed commands is reached.
        """
        if self.unconfirmed_commands >= MAX_UNCONFIRMED_COMMANDS:
            raise RefusedError(
                "too many claims and bills are not settled yet",
                Code.LEDGER_UNAVAILABLE,
                retry_after=5.0,
            )

    def abandon_earlier_claims(
        self, instance: InstanceId, incarnation: Incarnation
    ) -> None:
        """Mark claims held by earlier starts of this instance as unknown."""
        self.submit_in_background(Abandon(instance, Incarnation(incarnation - 1)))

    def _claim(self, request: KeyedRequest) -> ClaimAnswer:
        claim = Claim(
            request.workspace, request.key, request.digest, request.id, request.id
        )
        try:
            reply = self._ledger.propose(encode_command(claim), self._timeout)
        except ReplicationError as error:
            # The claim may still commit, and would then block a resend.
            self.submit_in_background(self._make_release(request))
            raise RefusedError(
                "the ledger did not confirm the claim",
                Code.LEDGER_UNAVAILABLE,
                retry_after=2.0,
            ) from error
        return decode_answer(reply)

    def _run(
        self,
        request: KeyedRequest,
        dispatch: Callable[[], CompletedRun],
        wait_seconds: float,
    ) -> StoredAnswer:
        outcome: AsyncResult[StoredAnswer] = AsyncResult()
        spawn(self._run_and_record, request, dispatch, outcome)
        try:
            return outcome.get(timeout=wait_seconds)
        except Timeout as error:
            raise IdempotencyError(
                f"no answer within {wait_seconds} s; the run goes on",
                Code.OUTCOME_UNKNOWN,
                Run.MAY_HAVE_RUN,
                retry_after=wait_seconds,
            ) from error

    def _run_and_record(
        self,
        request: KeyedRequest,
        dispatch: Callable[[], CompletedRun],
        outcome: AsyncResult,
    ) -> None:
        self.running += 1
        try:
            completed_run = dispatch()
        except BergamotwoodError as error:
            self._record_failed_run(request, error)
            outcome.set_exception(_convert_error(error))
            return
        except Exception as error:
            self.submit_in_background(self._make_finish(request, None))
            outcome.set_exception(error)
            return
        finally:
            self.running -= 1
        finish = self._make_finish(request, completed_run)
        try:
            self._ledger.propose(encode_command(finish), self._timeout)
        except ReplicationError:
            self.submit_in_background(finish)
            outcome.set_exception(
                IdempotencyError(
                    "the request ran but its bill is not confirmed yet",
                    Code.LEDGER_UNAVAILABLE,
                    Run.RAN,
                    retry_after=2.0,
                )
            )
            return
        outcome.set(completed_run.answer)

    def _record_failed_run(
        self, request: KeyedRequest, error: BergamotwoodError
    ) -> None:
        if error.run is Run.NOT_RUN:
            self.submit_in_background(self._make_release(request))
            return
        self.submit_in_background(self._make_finish(request, None))

    def submit_in_background(self, command: LedgerCommand) -> None:
        """Submit a command in a greenlet, repeatedly until the ledger confirms it."""
        spawn(self._submit_until_confirmed, encode_command(command))

    def _submit_until_confirmed(self, command: bytes) -> None:
        self.unconfirmed_commands += 1
        backoff = MIN_BACKOFF_SECONDS
        try:
            while not self._try_propose(command):
                sleep(backoff * self._rng.uniform(0.5, 1.0))
                backoff = min(2.0 * backoff, MAX_BACKOFF_SECONDS)
        finally:
            self.unconfirmed_commands -= 1

    def _try_propose(self, command: bytes) -> bool:
        try:
            self._ledger.propose(command, self._timeout)
        except ReplicationError:
            return False
        return True

    def _make_release(self, request: KeyedRequest) -> Release:
        return Release(request.workspace, request.key, request.id)

    def _make_finish(
        self, request: KeyedRequest, completed_run: CompletedRun | None
    ) -> Finish:
        answer = completed_run.answer if completed_run is not None else None
        bill = completed_run.bill if completed_run is not None else None
        return Finish(request.workspace, request.key, request.id, answer, bill)


def _make_claim_error(request: KeyedRequest, answer: ClaimAnswer) -> IdempotencyError:
    key = request.key
    match answer:
        case Held():
            return IdempotencyError(
                f"key {key}: another request with it is running",
                Code.IN_PROGRESS,
                Run.MAY_HAVE_RUN,
                retry_after=1.0,
            )
        case Unknown():
            return IdempotencyError(
                f"key {key}: it is not known whether it ran",
                Code.OUTCOME_UNKNOWN,
                Run.MAY_HAVE_RUN,
            )
        case Expired():
            return IdempotencyError(
                f"key {key}: too old to tell whether it ran",
                Code.KEY_EXPIRED,
                Run.MAY_HAVE_RUN,
            )
        case Conflict():
            return IdempotencyError(f"key {key}: used for another request")
        case Full() | Released() | Refused():
            return IdempotencyError(
                f"key {key}: the ledger cannot take it now",
                Code.LEDGER_UNAVAILABLE,
                retry_after=1.0,
            )
        case _:
            return IdempotencyError(
                f"key {key}: it ran but its answer is not kept",
                Code.ANSWER_NOT_KEPT,
                Run.RAN,
            )


def _convert_error(error: BergamotwoodError) -> BergamotwoodError:
    """Convert an endpoint error to an unknown outcome if the request may have run."""
    if error.run is not Run.MAY_HAVE_RUN or not isinstance(error, EndpointError):
        return error
    return IdempotencyError(error.detail, Code.OUTCOME_UNKNOWN, Run.MAY_HAVE_RUN)
