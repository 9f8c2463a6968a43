"""Scenario runner: `python -m bergamotwood_fakes.scenario FILE...`."""

from itertools import combinations
from pathlib import Path
from signal import SIGTERM
from sys import exit as exit_process
from tempfile import mkdtemp

from click import Path as PathType
from click import argument, command, echo, option
from gevent import getcurrent, signal_handler
from msgspec import json

from bergamotwood_fakes.language import Scenario, load_scenario
from bergamotwood_fakes.report import (
    HEADER,
    Result,
    format_result,
    make_result,
    write_results,
)
from bergamotwood_fakes.runner import run_scenarios

EXIT_TERMINATED = 143
FILE = PathType(path_type=Path, exists=True)


def run_and_check_scenarios(scenarios: list[Scenario], folder: Path) -> Result:
    """Run scenarios concurrently on one fleet and check the results.

    Parameters
    ----------
    scenarios : list of Scenario
        One scenario, or a pair; the expectations are checked for one only.
    folder : Path
        Folder for all files, including the evidence.
    """
    evidence, runners = run_scenarios(scenarios, folder)
    (folder / "evidence.json").write_bytes(json.encode(evidence))
    name = " + ".join(scenario.name for scenario in scenarios)
    return make_result(name, evidence, runners, len(scenarios) == 1)


@command()
@argument("files", type=FILE, nargs=-1, required=True)
@option("--pairs", is_flag=True, help="Run each pair of files concurrently.")
@option("--folder", type=PathType(path_type=Path), help="Folder for logs and evidence.")
@option("--json", "report", type=PathType(path_type=Path), help="File for the results.")
def main(
    files: tuple[Path, ...], pairs: bool, folder: Path | None, report: Path | None
) -> None:
    """Run scenario files and check the ten promises; exit with 1 on a failure."""
    signal_handler(SIGTERM, getcurrent().throw, SystemExit(EXIT_TERMINATED))
    scenarios = [load_scenario(file) for file in files]
    groups = (
        [list(pair) for pair in combinations(scenarios, 2)]
        if pairs
        else [[scenario] for scenario in scenarios]
    )
    base_folder = folder or Path(mkdtemp(prefix="bergamotwood-"))
    echo(f"files in {base_folder}")
    echo(HEADER)
    results = []
    for number, group in enumerate(groups, 1):
        group_folder = base_folder / f"{number:03}"
        group_folder.mkdir(parents=True)
        results.append(run_and_check_scenarios(group, group_folder))
        echo(format_result(results[-1]))
    if report is not None:
        write_results(results, report)
    exit_process(0 if all(result.passed for result in results) else 1)


if __name__ == "__main__":
    main()
