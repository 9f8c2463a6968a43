from pathlib import Path

from msgspec import json
from pytest import fixture, mark, raises

from bergamotwood_core.ticket import parse_ticket
from bergamotwood_fakes.language import ScenarioError, get_verb, load_scenario

FOLDER = Path("scenarios")
FILES = sorted(FOLDER.glob("*.yaml"))


@fixture
def write_scenario(tmp_path):
    base = (FOLDER / "base" / "standard.yaml").read_text()
    (tmp_path / "base.yaml").write_text(base)

    def write_file(steps):
        path = tmp_path / "scenario.yaml"
        path.write_text(f"name: n\nfleet: {{base: base.yaml}}\nsteps: {steps}")
        return path

    return write_file


@mark.parametrize("path", FILES, ids=[path.stem for path in FILES])
def test_scenario_files_are_valid(path):
    scenario = load_scenario(path)
    assert [get_verb(step) for step in scenario.steps]
    for content in scenario.tickets.values():
        parse_ticket(json.encode({"number": 1, **content}))


def test_unknown_verb_is_refused(write_scenario):
    with raises(ScenarioError, match="explode"):
        load_scenario(write_scenario("[{explode: entry-1}]"))


def test_step_with_two_verbs_is_refused(write_scenario):
    scenario = load_scenario(write_scenario("[{kill: entry-1, pause: entry-2}]"))
    with raises(ScenarioError, match="kill"):
        get_verb(scenario.steps[0])


def test_steps_naming_unknown_processes_or_tickets_are_refused(write_scenario):
    for step in ("{kill: entry-9}", "{ticket: {name: unheard-of}}"):
        with raises(ScenarioError, match="unknown"):
            load_scenario(write_scenario(f"[{step}]"))
