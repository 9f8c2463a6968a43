"""Configurations that could be in force at a time, from the tickets alone."""

from msgspec import Struct, field

from bergamotwood_fakes.evidence import TicketTry


class State(Struct):
    """Configuration after a ticket, as far as the checks need it.

    Parameters
    ----------
    number : int
        Ticket that made it.
    sent, answered : float
        When that ticket was first sent, and first known as accepted.
    allowed : dict of str to frozenset of str
        Versions and services that a workspace may use.
    withdrawn : frozenset of str
        Versions that receive no new work.
    """

    number: int = 0
    sent: float = 0.0
    answered: float = 0.0
    allowed: dict[str, frozenset[str]] = field(default_factory=dict)
    withdrawn: frozenset[str] = frozenset()


class Timeline:
    """States that accepted tickets made, in their order.

    Parameters
    ----------
    tickets : list of TicketTry
        All that were submitted.
    lag : float
        Seconds after which an accepted ticket is in force everywhere.
    """

    def __init__(self, tickets: list[TicketTry], lag: float) -> None:
        self._lag = lag
        self.states = [State()]
        accepted = [one for one in tickets if one.accepted]
        for number in sorted({one.number for one in accepted}):
            same = [one for one in accepted if one.number == number]
            self.states.append(_apply(self.states[-1], same))

    def find_possible(self, time: float) -> list[State]:
        """Find the states that an entry may have had in force at a time."""
        newest_settled = 0
        for place, state in enumerate(self.states):
            if state.answered + self._lag < time:
                newest_settled = place
        possible = self.states[newest_settled:]
        return [state for state in possible if state.sent <= time]


def _apply(before: State, tickets: list[TicketTry]) -> State:
    """Make the state after an accepted ticket."""
    content = tickets[0].content
    allowed = dict(before.allowed)
    for workspace in content.get("workspaces", ()):
        usable = {*workspace.get("versions", ()), *workspace.get("services", ())}
        allowed[workspace["name"]] = frozenset(usable)
    for name in content.get("remove", {}).get("workspaces", ()):
        allowed.pop(name, None)
    return State(
        number=tickets[0].number,
        sent=min(one.sent for one in tickets),
        answered=min(one.answered for one in tickets),
        allowed=allowed,
        withdrawn=_find_withdrawn(before.withdrawn, content),
    )


def _find_withdrawn(before: frozenset[str], content: dict) -> frozenset[str]:
    """Find the versions that are withdrawn after a ticket."""
    withdrawn = set(before)
    for model in content.get("models", ()):
        for version in model["versions"]:
            withdrawn.discard(version["id"])
            if version.get("state") == "withdrawn":
                withdrawn.add(version["id"])
    return frozenset(withdrawn)
