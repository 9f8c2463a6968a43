"""Rules of the fault-injecting proxy."""

from enum import StrEnum

from gevent.event import Event
from msgspec import Struct

ANY_PROCESS = "*"


class Action(StrEnum):
    """What a rule does to the connections that it matches."""

    DELAY = "delay"
    DROP = "drop"
    CUT = "cut"
    SILENCE = "silence"
    HALF_OPEN = "half_open"
    PARTITION = "partition"


class Rule(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault on the connections between named processes.

    Parameters
    ----------
    action : Action
        `delay` adds latency in each direction; `drop` closes a fraction of new
        connections; `cut` closes open connections and refuses new ones; `silence`
        discards all bytes of open connections without closing them; `half_open`
        closes the target's side and leaves the source's side open and silent;
        `partition` holds back all bytes in both directions until the rule is
        removed.
    sources, targets : tuple of str
        Names of processes; `*` matches any process. A partition also matches
        connections in the opposite direction.
    seconds : float
        Added one-way delay in seconds.
    share : float
        Fraction of new connections that are dropped.
    new_too : bool
        Whether a silence also affects connections opened after the rule was added.
    """

    action: Action
    sources: tuple[str, ...] = (ANY_PROCESS,)
    targets: tuple[str, ...] = (ANY_PROCESS,)
    seconds: float = 0.0
    share: float = 1.0
    new_too: bool = False

    def matches(self, source: str, target: str) -> bool:
        """Whether the rule applies to a connection from `source` to `target`."""
        if _matches_name(source, self.sources) and _matches_name(target, self.targets):
            return True
        if self.action is not Action.PARTITION:
            return False
        return _matches_name(target, self.sources) and _matches_name(
            source, self.targets
        )


def _matches_name(name: str, names: tuple[str, ...]) -> bool:
    """Whether a name is listed in a rule or the rule matches any name."""
    return name in names or ANY_PROCESS in names


class RuleTable:
    """The active rules, by number."""

    def __init__(self) -> None:
        self._rules: dict[int, Rule] = {}
        self._next_number = 1
        self._removed = Event()

    def add(self, rule: Rule) -> int:
        """Add a rule and return its number."""
        number = self._next_number
        self._next_number += 1
        self._rules[number] = rule
        return number

    def clear(self) -> None:
        """Remove all rules."""
        self._rules.clear()
        self._notify_removal()

    def remove(self, number: int) -> bool:
        """Remove one rule and return whether it existed."""
        removed = self._rules.pop(number, None) is not None
        self._notify_removal()
        return removed

    def wait_for_removal(self) -> None:
        """Wait until a rule is removed."""
        self._removed.wait()

    def _notify_removal(self) -> None:
        self._removed.set()
        self._removed.clear()

    def find(self, action: Action, source: str, target: str) -> Rule | None:
        """Find the first rule with an action that matches a connection."""
        for rule in self._rules.values():
            if rule.action is action and rule.matches(source, target):
                return rule
        return None

    def sum_delay(self, source: str, target: str) -> float:
        """Sum the one-way delays that rules add to a connection, in seconds."""
        return sum(
            rule.seconds
            for rule in self._rules.values()
            if rule.action is Action.DELAY and rule.matches(source, target)
        )
