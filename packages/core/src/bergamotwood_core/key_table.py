"""Idempotency keys: claims, stored answers and hashes of expired keys."""

from collections import OrderedDict
from collections.abc import Iterator
from hashlib import blake2b

from msgspec import Struct

from bergamotwood_core.ids import (
    IdempotencyKey,
    Incarnation,
    InstanceId,
    RequestId,
    WorkspaceId,
)
from bergamotwood_core.ledger_command import (
    MAX_FIELD_CHARACTERS,
    Bill,
    Claim,
    ClaimAnswer,
    Conflict,
    Done,
    Expired,
    Full,
    Granted,
    Held,
    Refused,
    Release,
    Released,
    StoredAnswer,
    Unknown,
)
from bergamotwood_core.states import ClaimState
from bergamotwood_core.watermark import parse_request_id

# Keys with a full record, and expired keys of which only a hash is kept.
MAX_KEYS = 20_000
MAX_EXPIRED_KEYS = 200_000
# Seconds of log time from the first use of a key until its hash may be dropped.
KEY_RETENTION_SECONDS = 7 * 86_400.0
# Seconds of log time after which a held claim counts as unknown.
CLAIM_EXPIRY_SECONDS = 3_600.0
# Bytes of one stored answer, and of all stored answers together.
MAX_ANSWER_BYTES = 1_048_576
MAX_TOTAL_ANSWER_BYTES = 16_777_216
# Released tokens that are remembered, so that a late claim with one is refused.
MAX_RELEASED_TOKENS = 4_096
# Bills of repeats that are kept for one key.
MAX_REPEATS = 4
KEY_HASH_BYTES = 8

# A caller's key, scoped to its workspace.
Scope = tuple[WorkspaceId, IdempotencyKey]


class KeyRecord(Struct):
    """Record of one key.

    Parameters
    ----------
    digest : str
        Digest of the request for which it was first used.
    state : ClaimState
        State of the claim: held, done or unknown.
    token : str
        Token of the holder; empty for a key that needed no claim.
    request : RequestId
        Request that first used it.
    at : float
        Log time of the first use, in seconds.
    answer : StoredAnswer or None
        The stored answer, if it is kept.
    billed : RequestId or None
        Request whose bill is recorded for the key.
    repeats : list of Bill
        Newest bills that were answered as duplicates of the recorded one. When that
        one is voided, the first of them takes its place.
    """

    digest: str
    state: ClaimState
    token: str
    request: RequestId
    at: float
    answer: StoredAnswer | None = None
    billed: RequestId | None = None
    repeats: list[Bill] = []


class KeyTable:
    """Bounded table of the idempotency keys of all workspaces.

    When it is full, the oldest key that is not held expires and leaves a hash,
    so that a request with an expired key is refused rather than run again. When
    the hashes are full too, the oldest is dropped once its
    key was first used `KEY_RETENTION_SECONDS` ago; until then new keys are refused.
    """

    def __init__(self) -> None:
        # An OrderedDict removes its oldest item in constant time, a dict does not.
        self.records: OrderedDict[Scope, KeyRecord] = OrderedDict()
        self.expired: OrderedDict[bytes, float] = OrderedDict()
        self.released: OrderedDict[str, None] = OrderedDict()
        self.answers: OrderedDict[Scope, int] = OrderedDict()
        self.answer_bytes = 0
        self._held: dict[Scope, None] = {}

    def claim(self, command: Claim, now: float) -> ClaimAnswer:
        """Grant a claim, or answer why it is not granted."""
        scope = (command.workspace, command.key)
        record = self.records.get(scope)
        if record is not None:
            return _answer_known_key(record, command)
        if _is_too_long(command.key, command.digest, command.token):
            return Refused(
                f"key, digest and token: at most {MAX_FIELD_CHARACTERS} characters"
            )
        if parse_request_id(command.request) is None:
            return Refused("request: must be an id made by an entry")
        if command.token in self.released:
            return Released()
        if hash_scope(scope) in self.expired:
            return Expired()
        record = KeyRecord(
            command.digest, ClaimState.HELD, command.token, command.request, now
        )
        return Granted() if self.add(scope, record, now) else Full()

    def add(self, scope: Scope, record: KeyRecord, now: float) -> bool:
        """Add a new key; False if there is no room."""
        if len(self.records) >= MAX_KEYS and not self._expire_oldest(now):
            return False
        self.records[scope] = record
        if record.state is ClaimState.HELD:
            self._held[scope] = None
        return True

    def release(self, command: Release) -> bool:
        """Release a claim; its token cannot hold one again."""
        scope = (command.workspace, command.key)
        record = self.records.get(scope)
        is_holder = record is not None and record.token == command.token
        if is_holder and record.state is ClaimState.DONE:
            return False
        self.released[command.token] = None
        if len(self.released) > MAX_RELEASED_TOKENS:
            self.released.popitem(last=False)
        if not is_holder:
            return False
        del self.records[scope]
        self._held.pop(scope, None)
        return True

    def end_claim(
        self, scope: Scope, state: ClaimState, answer: StoredAnswer | None
    ) -> None:
        """End a claim as done or unknown."""
        record = self.records[scope]
        record.state = state
        self._held.pop(scope, None)
        if answer is None or len(answer.body) > MAX_ANSWER_BYTES:
            return
        record.answer = answer
        self.answers[scope] = len(answer.body)
        self.answer_bytes += len(answer.body)
        while self.answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            self._drop_answer(next(iter(self.answers)))

    def abandon(self, instance: InstanceId, incarnation: Incarnation) -> int:
        """Mark the held claims of an entry, up to an incarnation, as unknown."""
        scopes = [
            scope
            for scope in self._held
            if _is_from_entry(self.records[scope].request, instance, incarnation)
        ]
        return self._mark_unknown(scopes)

    def expire_claims(self, now: float) -> int:
        """Mark claims held for longer than `CLAIM_EXPIRY_SECONDS` as unknown."""
        scopes = [
            scope
            for scope in self._held
            if now - self.records[scope].at > CLAIM_EXPIRY_SECONDS
        ]
        return self._mark_unknown(scopes)

    def rebuild(self) -> None:
        """Rebuild the state derived from the records, after a restore."""
        self._held = {
            scope: None
            for scope, record in self.records.items()
            if record.state is ClaimState.HELD
        }
        self.answer_bytes = sum(self.answers.values())

    def count_held(self) -> int:
        """Count the claims that are held."""
        return len(self._held)

    def _mark_unknown(self, scopes: list[Scope]) -> int:
        for scope in scopes:
            self.end_claim(scope, ClaimState.UNKNOWN, None)
        return len(scopes)

    def _expire_oldest(self, now: float) -> bool:
        if len(self.expired) >= MAX_EXPIRED_KEYS:
            oldest = next(iter(self.expired))
            if now - self.expired[oldest] < KEY_RETENTION_SECONDS:
                return False
            del self.expired[oldest]
        scope = next(self._list_unheld(), None)
        if scope is None:
            return False
        self._drop_answer(scope)
        self.expired[hash_scope(scope)] = self.records.pop(scope).at
        return True

    def _list_unheld(self) -> Iterator[Scope]:
        for scope, record in self.records.items():
            if record.state is not ClaimState.HELD:
                yield scope

    def _drop_answer(self, scope: Scope) -> None:
        size = self.answers.pop(scope, None)
        if size is None:
            return
        self.answer_bytes -= size
        self.records[scope].answer = None


def hash_scope(scope: Scope) -> bytes:
    """Hash a workspace and key, to remember an expired key."""
    workspace, key = scope
    content = f"{len(workspace)}:{workspace}{key}".encode()
    return blake2b(content, digest_size=KEY_HASH_BYTES).digest()


def _answer_known_key(record: KeyRecord, command: Claim) -> ClaimAnswer:
    if record.digest != command.digest:
        return Conflict()
    match record.state:
        case ClaimState.DONE:
            return Done(record.answer, record.request)
        case ClaimState.UNKNOWN:
            return Unknown(record.request)
        case ClaimState.HELD:
            if record.token == command.token:
                return Granted()
            return Held(record.request)


def _is_from_entry(
    request: RequestId, instance: InstanceId, incarnation: Incarnation
) -> bool:
    origin = parse_request_id(request)
    if origin is None or origin.instance != instance:
        return False
    return origin.incarnation <= incarnation


def _is_too_long(*fields: str) -> bool:
    return any(len(field) > MAX_FIELD_CHARACTERS for field in fields)
