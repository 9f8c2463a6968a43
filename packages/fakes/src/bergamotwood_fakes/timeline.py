"""Configurations that entries may apply at a time, derived from the tickets."""

from msgspec import Struct, field

from bergamotwood_fakes.evidence import TicketSubmission


class Configuration(Struct):
    """The part of the configuration after a ticket that the checks need.

    Parameters
    ----------
    number : int
        Number of the ticket.
    sent, answered : float
        Times at which the ticket was first sent and first confirmed as accepted,
        in seconds since boot.
    allowed : dict of str to frozenset of str
        Versions and services that each workspace may use.
    withdrawn : frozenset of str
        Versions that must receive no new work.
    """

    number: int = 0
    sent: float = 0.0
    answered: float = 0.0
    allowed: dict[str, frozenset[str]] = field(default_factory=dict)
    withdrawn: frozenset[str] = frozenset()


class Timeline:
    """The configurations after each accepted ticket, in order.

    Parameters
    ----------
    tickets : list of TicketSubmission
        All submitted tickets.
    lag : float
        Seconds within which all entries must apply an accepted ticket.
    """

    def __init__(self, tickets: list[TicketSubmission], lag: float) -> None:
        self._lag = lag
        self.configurations = [Configuration()]
        accepted = [ticket for ticket in tickets if ticket.accepted]
        for number in sorted({ticket.number for ticket in accepted}):
            submissions = [ticket for ticket in accepted if ticket.number == number]
            self.configurations.append(
                _apply_ticket(self.configurations[-1], submissions)
            )

    def find_possible(self, time: float) -> list[Configuration]:
        """Find the configurations that an entry may apply at a time, oldest first."""
        newest_settled = 0
        for position, configuration in enumerate(self.configurations):
            if configuration.answered + self._lag < time:
                newest_settled = position
        possible = self.configurations[newest_settled:]
        return [
            configuration for configuration in possible if configuration.sent <= time
        ]


def _apply_ticket(
    previous: Configuration, tickets: list[TicketSubmission]
) -> Configuration:
    """Make the configuration after an accepted ticket."""
    content = tickets[0].content
    allowed = dict(previous.allowed)
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
        withdrawn=_find_withdrawn(previous.withdrawn, content),
    )


def _find_withdrawn(before: frozenset[str], content: dict) -> frozenset[str]:
    """Find the withdrawn versions after a ticket."""
    withdrawn = set(before)
    for model in content.get("models", ()):
        for version in model["versions"]:
            withdrawn.discard(version["id"])
            if version.get("state") == "withdrawn":
                withdrawn.add(version["id"])
    return frozenset(withdrawn)
