"""Parsing and validation of scenario files."""

from pathlib import Path

from msgspec import Struct, ValidationError, convert, yaml

from bergamotwood_fakes.plan import FleetPlan, make_entry_name
from bergamotwood_fakes.step import Step

PROCESS_VERBS = ("start", "stop", "pause", "wake", "kill", "restart", "lose_disk")


class ScenarioError(Exception):
    """A scenario file is invalid."""


class Scenario(Struct, forbid_unknown_fields=True):
    """A scripted scenario.

    Parameters
    ----------
    name, about : str
        Name for the report, and a description.
    fleet : FleetPlan
        Fleet to start.
    tickets : dict
        Tickets by name, without numbers; `base` is submitted before the steps.
    steps : list of Step
        Steps, executed in order.
    seed : int
        Seed of the random choices of callers and operator.
    lag : float
        Seconds within which all entries must apply an accepted ticket.
    """

    name: str
    fleet: FleetPlan
    tickets: dict[str, dict]
    steps: list[Step]
    about: str = ""
    seed: int = 1
    lag: float = 6.0


def load_scenario(path: Path) -> Scenario:
    """Read a scenario file and the base file of its fleet.

    Raises
    ------
    ScenarioError
        With the file and the error.
    """
    try:
        document = yaml.decode(path.read_bytes())
        fleet = document.get("fleet", {})
        base = yaml.decode((path.parent / fleet.pop("base")).read_bytes())
        document["fleet"] = {**base["fleet"], **fleet}
        document["tickets"] = {**base["tickets"], **document.get("tickets", {})}
        scenario = convert(document, type=Scenario)
    except (OSError, KeyError, ValidationError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    _check_names(path, scenario)
    return scenario


def _check_names(path: Path, scenario: Scenario) -> None:
    """Check that the processes of `PROCESS_VERBS` and the submitted tickets exist."""
    plan = scenario.fleet
    entries = {make_entry_name(number + 1) for number in range(plan.entries)}
    endpoints = {endpoint.name for endpoint in (*plan.engines, *plan.services)}
    known = entries | endpoints | {"leader", "follower", "rating", "weights"}
    for step in scenario.steps:
        for verb in PROCESS_VERBS:
            name = getattr(step, verb)
            if name is not None and name not in known:
                raise ScenarioError(f"{path}: {verb}: unknown process {name}")
        ticket = step.ticket
        if ticket is not None and ticket.name not in scenario.tickets:
            raise ScenarioError(f"{path}: ticket: unknown name {ticket.name}")


VERBS = tuple(name for name in Step.__struct_fields__ if name not in ("at", "when"))


def get_verb(step: Step) -> str:
    """Get the verb of a step, empty when the step only waits.

    Raises
    ------
    ScenarioError
        When it has several verbs, or neither a verb nor something to wait for.
    """
    verbs = [name for name in VERBS if getattr(step, name) is not None]
    if len(verbs) > 1 or (not verbs and step.at is None and step.when is None):
        raise ScenarioError(f"a step must have one verb or a wait, found verbs {verbs}")
    return verbs[0] if verbs else ""
