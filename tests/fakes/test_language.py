from pathlib import Path

from msgspec import json
from pytest import fixture, mark, raises

from bergamotwood_core.ticket import parse_ticket
from bergamotwood_fakes.language import ScenarioError, load_scenario, name_verb

FOLDER = Path("scenarios")
FILES = sorted(FOLDER.glob("*.yaml"))


@fixture
def write(tmp_path):
    base = (FOLDER / "base" / "standard.yaml").read_text()
    (tmp_path / "base.yaml").write_text(base)

    def write_scenario(steps):
        path = tmp_path / "scenario.yaml"
        path.write_text(f"name: n\nfleet: {{base: base.yaml}}\nsteps: {steps}")
        return path

    return write_scenario


@mark.parametrize("path", FILES, ids=[path.stem for path in FILES])
def test_scenario_files_are_valid(path):
    scenario = load_scenario(path)
    assert [name_verb(step) for step in scenario.steps]
    for content in scenario.tickets.values():
        parse_ticket(json.encode({"number": 1, **content}))


def test_unknown_verb_is_refused(write):
    with raises(ScenarioError, match="explode"):
        load_scenario(write("[{explode: entry-1}]"))


def test_step_with_two_verbs_is_refused(write):
    scenario = load_scenario(write("[{kill: entry-1, pause: entry-2}]"))
    with raises(ScenarioError, match="kill"):
        name_verb(scenario.steps[0])


def test_steps_that_name_unknown_things_are_refused(write):
    for step in ("{kill: entry-9}", "{ticket: {name: unheard-of}}"):
        with raises(ScenarioError, match="unknown"):
            load_scenario(write(f"[{step}]"))
