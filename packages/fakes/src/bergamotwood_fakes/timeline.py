"""Configurations that could be in force at a time, from the tickets alone."""

from msgspec import Struct, field

from bergamotwood_fakes.evidence import TicketSubmission


class Configuration(Struct):
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
    tickets : list of TicketSubmission
        All that were submitted.
    lag : float
        Seconds after which an accepted ticket is in force everywhere.
    """

    def __init__(self, tickets: list[TicketSubmission], lag: float) -> None:
        self._lag = lag
        self.configurations = [Configuration()]
        accepted = [ticket for ticket in tickets if ticket.accepted]
        for number in sorted({ticket.number for ticket in accepted}):
            same = [ticket for ticket in accepted if ticket.number == number]
            self.configurations.append(_apply_ticket(self.configurations[-1], same))

    def find_possible(self, time: float) -> list[Configuration]:
        """Find the states that an entry may have had in force at a time."""
        newest_settled = 0
        for position, configuration in enumerate(self.configurations):
            if configuration.answered + self._lag < time:
                newest_settled = position
        possible = self.configurations[newest_settled:]
        return [
            configuration for configuration in possible if configuration.sent <= time
        ]


def _apply_ticket(
    before: Configuration, tickets: list[TicketSubmission]
) -> Configuration:
    """Make the state after an accepted ticket."""
    content = tickets[0].content
    allowed = dict(before.allowed)
    for workspace in content.get("workspaces", ()):
        usable = {*workspace.get("versions", ()), *workspace.get("services", ())}
        allowed[workspace["name"]] = frozenset(usable)
    for name in content.get("remove", {}).get("workspaces", ()):
        allowed.pop(name, None)
    return Configuration(
        number=tickets[0].number,
        sent=min(ticket.sent for ticket in tickets),
        answered=min(ticket.answered for ticket in tickets),
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
