import json
from collections.abc import Iterator
from pathlib import Path
from typing import get_args, get_origin

import pytest
import yaml
from click.testing import CliRunner
from pydantic import BaseModel
from pydantic.fields import FieldInfo

from bergamotwood_core.control import (
    ApplyTicket,
    ControlMachine,
    decode_answer,
    encode_command,
)
from bergamotwood_core.errors import SettingsError
from bergamotwood_core.states import TicketOutcome
from bergamotwood_daemon.command import main
from bergamotwood_daemon.settings import Settings, load_settings, make_settings

ROOT = Path(__file__).parents[2]
EXAMPLES = ROOT / "examples"
FLEETS = {"kubwa": (8, 4), "colofn": (7, 3)}
VALID = {
    "instance": "a",
    "data_centre": "karen",
    "listen": {"port": 8000},
    "peer_listen": {"port": 8001},
    "roles": ["entry", "control"],
    "data_folder": "data",
    "replicas": [{"id": "a", "host": "127.0.0.1", "port": 8001}],
    "instance_key": "instance key of the test",
    "session_secret": "session secret of the test",
}


def find_faults(**changes):
    with pytest.raises(SettingsError) as caught:
        make_settings({**VALID, **changes}, "test")
    return caught.value.faults


def test_valid_settings_are_accepted():
    assert make_settings(VALID, "test").is_control


@pytest.mark.parametrize(
    ("changes", "fault"),
    [
        ({"data_folder": None}, "data_folder: is required by the role control"),
        ({"instance": "b"}, "replicas: must name this instance, 'b'"),
        ({"roles": ["entry"]}, "roles: must have control"),
        ({"roles": []}, "roles: "),
        ({"replicas": VALID["replicas"] * 2}, "replicas[1].id: 'a' occurs twice"),
        ({"listen": {"host": "10.0.0.1", "port": 1}}, "listen.host: '10.0.0.1'"),
        ({"peer_listen": {"host": "::", "port": 1}}, "peer_listen.host: '::'"),
        ({"listen": {"host": "karen", "port": 1}}, "must be an IP address"),
        ({"order_key": VALID["instance_key"]}, "order_key: must differ from"),
        ({"timeouts": {"drain": 1.0}}, "timeouts.drain: 1.0 must be at least"),
        ({"max_config_age_seconds": float("inf")}, "max_config_age_seconds: "),
        ({"colour": 1}, "colour: unknown field"),
        (
            {"operator_key_hashes": ["a" * 64], "endpoint_key_hashes": ["a" * 64]},
            "endpoint_key_hashes: must differ",
        ),
    ],
)
def test_fault_names_the_key_the_value_and_what_is_allowed(changes, fault):
    assert any(fault in item for item in find_faults(**changes))


def test_allow_plain_permits_listening_beyond_loopback_without_tls():
    listen = {"host": "10.0.0.1", "port": 8000}
    changed = {**VALID, "listen": listen, "allow_plain": True}
    assert make_settings(changed, "test").listen.host == "10.0.0.1"


def test_all_faults_are_reported_at_once():
    faults = find_faults(data_folder=None, listen={"port": -1}, colour=1)
    keys = {fault.split(":")[0] for fault in faults}
    assert keys == {"data_folder", "listen.port", "colour"}


def test_faults_do_not_contain_secrets():
    faults = find_faults(instance_key="short (got x", session_secret=["s3cret"])
    text = "\n".join(faults)
    assert "instance_key" in text
    assert "session_secret" in text
    assert "short" not in text
    assert "s3cret" not in text


@pytest.mark.parametrize("content", ["a: 1\na: 2", "[", "- 1", "", "\x00"])
def test_invalid_file_is_rejected_with_exit_code_2(tmp_path, content):
    file = tmp_path / "settings.yaml"
    file.write_text(content)
    result = CliRunner().invoke(main, ["check", str(file)])
    assert result.exit_code == 2
    assert str(file) in result.output


def test_check_prints_the_file_and_every_fault(tmp_path):
    file = tmp_path / "settings.yaml"
    file.write_text(yaml.safe_dump({**VALID, "data_folder": None, "colour": 1}))
    result = CliRunner().invoke(main, ["check", str(file)])
    assert result.exit_code == 2
    assert f"{file}: data_folder: " in result.output
    assert f"{file}: colour: unknown field" in result.output
    missing = CliRunner().invoke(main, ["check", str(tmp_path / "none")])
    assert missing.exit_code == 2


def test_run_rejects_invalid_settings_before_it_starts(tmp_path):
    file = tmp_path / "settings.yaml"
    file.write_text("instance: a")
    assert CliRunner().invoke(main, ["run", str(file)]).exit_code == 2


def test_version_is_printed():
    result = CliRunner().invoke(main, ["--version"])
    assert result.exit_code == 0
    assert "version" in result.output


@pytest.mark.parametrize("fleet", FLEETS)
def test_example_settings_form_a_consistent_fleet(fleet):
    files = sorted((EXAMPLES / fleet / "settings").glob("*.yaml"))
    loaded = [load_settings(file) for file in files]
    count, centres = FLEETS[fleet]
    assert len(loaded) == count
    assert len({item.data_centre for item in loaded}) == centres
    assert len({(item.replicas, item.instance_key) for item in loaded}) == 1
    ports = [port for item in loaded for port in _list_ports(item)]
    assert len(set(ports)) == len(ports)
    controls = {item.instance: item.peer_listen for item in loaded if item.is_control}
    assert {item.id: item.port for item in loaded[0].replicas} == {
        name: listen.port for name, listen in controls.items()
    }
    assert [file.stem for file in files] == [item.instance for item in loaded]


@pytest.mark.parametrize("fleet", FLEETS)
def test_example_tickets_are_accepted_in_order(fleet):
    machine = ControlMachine()
    files = sorted((EXAMPLES / fleet / "tickets").glob("*.yaml"))
    for index, file in enumerate(files, 1):
        command = encode_command(ApplyTicket(file.read_bytes()))
        answer = decode_answer(machine.apply(index, command))
        assert answer.outcome is TicketOutcome.ACCEPTED, answer.faults
    assert len(machine.tables.workspaces) == 10
    largest = max(item.max_in_flight for item in machine.tables.workspaces.values())
    assert largest >= 256


def test_settings_page_lists_every_key_with_its_default():
    lines = (ROOT / "docs" / "SETTINGS.md").read_text().splitlines()
    cells = [line.strip("| ").split(" | ") for line in lines if line.startswith("| `")]
    assert {cell[0].strip("`"): cell[1].strip("`") for cell in cells} == dict(
        _list_keys(Settings)
    )


def _list_keys(model: type[BaseModel], prefix: str = "") -> Iterator[tuple[str, str]]:
    for name, field in model.model_fields.items():
        place = prefix + name
        parts = [
            part
            for part in (field.annotation, *get_args(field.annotation))
            if isinstance(part, type) and issubclass(part, BaseModel)
        ]
        is_list = get_origin(field.annotation) is tuple
        if not parts or is_list:
            yield place, _format_default(field)
        if parts:
            yield from _list_keys(parts[0], f"{place}[]." if is_list else f"{place}.")


def _format_default(field: FieldInfo) -> str:
    if field.is_required():
        return "required"
    if field.default is None:
        return "none"
    if isinstance(field.default, tuple):
        return f"[{', '.join(field.default)}]"
    if isinstance(field.default, str):
        return field.default or '""'
    return json.dumps(field.default)


def _list_ports(settings: Settings) -> tuple[int, int]:
    return settings.listen.port, settings.peer_listen.port
