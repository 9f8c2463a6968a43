"""Rules of the fault-injecting proxy, kept in one table."""

from enum import StrEnum

from gevent.event import Event
from msgspec import Struct

ANY_PROCESS = "*"


class Action(StrEnum):
    """What a rule does to the connections that it names."""

    DELAY = "delay"
    DROP = "drop"
    CUT = "cut"
    SILENCE = "silence"
    HALF_OPEN = "half_open"
    PARTITION = "partition"


class Rule(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault between named processes.

    Parameters
    ----------
    action : Action
        `delay` adds time to each one-way trip; `drop` closes a share of new
        connections; `cut` closes the open ones and refuses new ones; `silence`
        loses every byte of connections that stay open; `half_open` closes the
        target's side and leaves the source's side open and silent; `partition`
        holds all bytes back, both ways, until the rule is lifted.
    sources, targets : tuple of str
        Names of processes; `*` is any. A partition works in both directions.
    seconds : float
        Added delay.
    share : float
        Share of new connections that are dropped.
    new_too : bool
        Whether a silence takes connections opened after it as well.
    """

    action: Action
    sources: tuple[str, ...] = (ANY_PROCESS,)
    targets: tuple[str, ...] = (ANY_PROCESS,)
    seconds: float = 0.0
    share: float = 1.0
    new_too: bool = False

    def matches(self, source: str, target: str) -> bool:
        """Whether the rule names a connection from `source` to `target`."""
        if _matches_name(source, self.sources) and _matches_name(target, self.targets):
            return True
        if self.action is not Action.PARTITION:
            return False
        return _matches_name(target, self.sources) and _matches_name(
            source, self.targets
        )


def _matches_name(name: str, names: tuple[str, ...]) -> bool:
    """Whether a name is among the names of a rule."""
    return name in names or ANY_PROCESS in names


class RuleTable:
    """Rules in force, by number."""

    def __init__(self) -> None:
        self._rules: dict[int, Rule] = {}
        self._next_number = 1
        self._removed = Event()

    def add(self, rule: Rule) -> int:
        """Put a rule in force and return its number."""
        number = self._next_number
        self._next_number += 1
        self._rules[number] = rule
        return number

    def clear(self) -> None:
        """Lift all rules."""
        self._rules.clear()
        self._notify_removal()

    def remove(self, number: int) -> bool:
        """Lift one rule; False when there is none of that number."""
        removed = self._rules.pop(number, None) is not None
        self._notify_removal()
        return removed

    def wait_for_removal(self) -> None:
        """Wait until some rule is lifted."""
        self._removed.wait()

    def _notify_removal(self) -> None:
        self._removed.set()
        self._removed.clear()

    def find(self, action: Action, source: str, target: str) -> Rule | None:
        """Find a rule of one action that names a connection."""
        for rule in self._rules.values():
            if rule.action is action and rule.matches(source, target):
                return rule
        return None

    def sum_delay(self, source: str, target: str) -> float:
        """Sum the delays in seconds that are added to a connection."""
        return sum(
            rule.seconds
            for rule in self._rules.values()
            if rule.action is Action.DELAY and rule.matches(source, target)
        )
