"""Simulation of a log group that runs the ledger for competing callers."""

from collections import Counter
from dataclasses import dataclass

from core.logcluster import Cluster, InvariantError

from bergamotwood_core.ledger import (
    Applied,
    Attempt,
    Bill,
    BillAnswer,
    Claim,
    Done,
    Finish,
    Granted,
    LedgerMachine,
    Release,
    StoredAnswer,
    Unknown,
    decode_answer,
    encode_command,
)

WORKSPACE = "kubwa"
PROPOSALS_PER_KEY = 6
ACTIVE_CALLERS = 5


@dataclass
class Caller:
    """One attempt of an entry to run the request with a key."""

    key: str
    token: str
    request: str
    state: str = "asking"


class LedgerCluster(Cluster):
    """Log group on which callers claim keys, then dispatch and bill, or release."""

    append_bytes = 600
    part_bytes = 2000

    def __init__(self, seed, size=3, **options):
        self.machines = {}
        self.answers = {}
        self.callers = []
        self.started = 0
        self.waiting = {}
        self.dispatched = Counter()
        super().__init__(seed, size, **options)

    def propose(self, node):
        self.proposed += 1
        if len(self.callers) < ACTIVE_CALLERS:
            self._add_caller()
        caller = self.rng.choice(self.callers)
        if caller.state == "asking" and self.rng.random() < 0.2:
            caller.state = "given_up"
        position = self.submit(node, encode_command(self._choose_command(caller)))
        if position is not None:
            self.waiting[(node.instance, *position)] = caller

    def apply(self, node, entry):
        answer = self.machines[node.instance].apply(entry.index, entry.command)
        if self.answers.setdefault(entry.index, answer) != answer:
            raise InvariantError(f"two answers to entry {entry.index}")
        caller = self.waiting.pop((node.instance, entry.index, entry.term), None)
        if caller is not None:
            self._handle_answer(caller, decode_answer(answer))

    def snapshot(self, node):
        return self.machines[node.instance].snapshot()

    def restore(self, node, snapshot):
        self.reset(node)
        self.machines[node.instance].restore(snapshot.data)

    def reset(self, node):
        self.machines[node.instance] = LedgerMachine()
        for key in [key for key in self.waiting if key[0] == node.instance]:
            del self.waiting[key]

    def check_bills(self):
        """Check that each billed key was dispatched and has one bill.

        Returns the largest number of billed keys on a replica.
        """
        most = 0
        for machine in self.machines.values():
            billed = Counter(bill.key for bill in machine.list_bills(None, 10_000))
            if set(billed) - set(self.dispatched):
                raise InvariantError("a bill without a dispatch")
            if any(count != 1 for count in billed.values()):
                raise InvariantError("two bills of one request")
            most = max(most, len(billed))
        return most

    def _add_caller(self):
        self.started += 1
        number = self.started
        key = f"k{self.proposed // PROPOSALS_PER_KEY}"
        self.callers.append(Caller(key, f"t{number}", f"i0-1-{number}"))

    def _choose_command(self, caller):
        match caller.state:
            case "asking":
                return Claim(WORKSPACE, caller.key, "d", caller.token, caller.request)
            case "given_up":
                return Release(WORKSPACE, caller.key, caller.token)
        attempts = (Attempt("pay", "e1", outcome="accepted"),)
        bill = Bill(caller.request, WORKSPACE, caller.key, "d", attempts, 1.0)
        answer = StoredAnswer(200, "text/plain", b"")
        return Finish(WORKSPACE, caller.key, caller.token, answer, bill)

    def _handle_answer(self, caller, answer):
        match caller.state, answer:
            case "asking", Granted():
                self._dispatch(caller)
            case "asking", Done() | Unknown():
                self._remove_caller(caller)
            case "given_up", Applied():
                self._remove_caller(caller)
            case "dispatched", BillAnswer():
                self._remove_caller(caller)

    def _remove_caller(self, caller):
        if caller in self.callers:
            self.callers.remove(caller)

    def _dispatch(self, caller):
        caller.state = "dispatched"
        self.dispatched[caller.key] += 1
        if self.dispatched[caller.key] > 1:
            raise InvariantError(f"two holders of {caller.key} dispatched")
