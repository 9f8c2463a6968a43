from pathlib import Path

from pytest import mark

from bergamotwood_fakes.language import load_scenario
from bergamotwood_fakes.scenario import judge_scenarios

FOLDER = Path("scenarios")
SHORT_SET = ("smoke", "keys_raced", "tickets_raced")


@mark.parametrize("name", SHORT_SET)
def test_promises_hold(name, tmp_path):
    result = judge_scenarios([load_scenario(FOLDER / f"{name}.yaml")], tmp_path)
    assert result.violations == []
    assert result.unmet == []
