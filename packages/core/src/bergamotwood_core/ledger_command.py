"""Commands of the ledger's log and their answers."""

from msgspec import MsgspecError, Struct
from msgspec.msgpack import Decoder, Encoder

from bergamotwood_core.ids import (
    EndpointId,
    IdempotencyKey,
    Incarnation,
    InstanceId,
    RequestId,
    WorkspaceId,
)
from bergamotwood_core.states import BillOutcome

# Characters of a key, digest or token.
MAX_FIELD_CHARACTERS = 256


class Attempt(Struct, frozen=True):
    """One run of a request on one endpoint.

    Parameters
    ----------
    target : str
        Model version, or service.
    endpoint : EndpointId
        Where it ran.
    prompt_tokens, output_tokens : int
        What the engine counted.
    cost : float
        Cost units.
    outcome : str
        Short word: `accepted`, `escalated`, `failed`, `cancelled`.
    """

    target: str
    endpoint: EndpointId
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost: float = 0.0
    outcome: str = ""


class Bill(Struct, frozen=True):
    """The one bill of a request, with all of its attempts.

    Parameters
    ----------
    request : RequestId
        Made by the entry.
    workspace : WorkspaceId
        Who pays.
    key : IdempotencyKey or None
        The caller's key, if any.
    digest : str
        Digest of method, path and body.
    attempts : tuple of Attempt
        In the order in which they began.
    cost : float
        Cost units in all.
    """

    request: RequestId
    workspace: WorkspaceId
    key: IdempotencyKey | None = None
    digest: str = ""
    attempts: tuple[Attempt, ...] = ()
    cost: float = 0.0


class StoredAnswer(Struct, frozen=True):
    """An endpoint's answer, kept for a resend of the request."""

    status: int
    content_type: str
    body: bytes


class Claim(Struct, frozen=True, tag="claim"):
    """Ask for the right to dispatch a non-idempotent request.

    Parameters
    ----------
    workspace, key : str
        The caller's key, scoped to its workspace.
    digest : str
        Digest of method, path and body.
    token : str
        Unique to this attempt of the entry; asking again with it is harmless.
    request : RequestId
        Made by the entry that asks.
    """

    workspace: WorkspaceId
    key: IdempotencyKey
    digest: str
    token: str
    request: RequestId


class Release(Struct, frozen=True, tag="release"):
    """Give up a claim: nothing was dispatched, nor will be."""

    workspace: WorkspaceId
    key: IdempotencyKey
    token: str


class Finish(Struct, frozen=True, tag="finish"):
    """End a claim.

    Parameters
    ----------
    workspace, key, token : str
        As claimed.
    answer : StoredAnswer or None
        The answer to keep.
    bill : Bill or None
        The bill. With neither answer nor bill the outcome is unknown.
    """

    workspace: WorkspaceId
    key: IdempotencyKey
    token: str
    answer: StoredAnswer | None = None
    bill: Bill | None = None


class RecordBill(Struct, frozen=True, tag="bill"):
    """Bill a request that needed no claim."""

    bill: Bill


class VoidBill(Struct, frozen=True, tag="void"):
    """Take back a bill whose commit was not confirmed; it never stands later."""

    bill: Bill


class Abandon(Struct, frozen=True, tag="abandon"):
    """Mark the claims of a dead entry, up to an incarnation, as unknown."""

    instance: InstanceId
    incarnation: Incarnation


class Tick(Struct, frozen=True, tag="tick"):
    """Let the log's time pass: seconds since the leader's last tick."""

    elapsed: float


LedgerCommand = Claim | Release | Finish | RecordBill | VoidBill | Abandon | Tick


class Granted(Struct, frozen=True, tag="granted"):
    """The asker holds the claim and may dispatch, once."""


class Held(Struct, frozen=True, tag="held"):
    """Another attempt holds the claim."""

    request: RequestId


class Done(Struct, frozen=True, tag="done"):
    """The request ran; its answer, if it is still kept."""

    answer: StoredAnswer | None
    request: RequestId


class Unknown(Struct, frozen=True, tag="unknown"):
    """The request may have run."""

    request: RequestId


class Conflict(Struct, frozen=True, tag="conflict"):
    """The key was used for another request."""


class Expired(Struct, frozen=True, tag="expired"):
    """The key was used, too long ago for its answer to be kept."""


class Full(Struct, frozen=True, tag="full"):
    """No room for a new key; nothing was claimed."""


class Released(Struct, frozen=True, tag="released"):
    """The token was given up before; claim again with a new one."""


class Refused(Struct, frozen=True, tag="refused"):
    """The command is not valid."""

    reason: str


class Applied(Struct, frozen=True, tag="noted"):
    """A release, abandonment or tick was applied.

    Parameters
    ----------
    count : int
        Claims that it changed.
    """

    count: int


class BillAnswer(Struct, frozen=True, tag="bill"):
    """What became of a bill or of the end of a claim.

    Parameters
    ----------
    outcome : BillOutcome
        Recorded, duplicate, conflict, expired, full or invalid.
    request : RequestId
        Request whose bill stands.
    """

    outcome: BillOutcome
    request: RequestId


ClaimAnswer = (
    Granted | Held | Done | Unknown | Conflict | Expired | Full | Released | Refused
)
LedgerAnswer = ClaimAnswer | BillAnswer | Applied

_ENCODER = Encoder()
_COMMANDS: Decoder[LedgerCommand] = Decoder(LedgerCommand)
_ANSWERS: Decoder[LedgerAnswer] = Decoder(LedgerAnswer)


def encode_command(command: LedgerCommand) -> bytes:
    """Encode a command for the log."""
    return _ENCODER.encode(command)


def decode_command(content: bytes) -> LedgerCommand | None:
    """Decode a command from the log; None if it is no command."""
    try:
        return _COMMANDS.decode(content)
    except (MsgspecError, UnicodeDecodeError):
        return None


def encode_answer(answer: LedgerAnswer) -> bytes:
    """Encode an answer."""
    return _ENCODER.encode(answer)


def decode_answer(content: bytes) -> LedgerAnswer:
    """Decode what `LedgerMachine.apply` returned."""
    return _ANSWERS.decode(content)
