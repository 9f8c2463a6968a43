import json

import pytest

from bergamotwood_core.change import merge_ticket
from bergamotwood_core.errors import Code, TicketError
from bergamotwood_core.reference import find_reference_faults
from bergamotwood_core.states import RolloutState, VersionState
from bergamotwood_core.tables import ConfigurationTables
from bergamotwood_core.ticket import (
    MAX_TICKET_BYTES,
    check_ticket,
    diff_ticket,
    digest_ticket,
    encode_ticket,
    parse_ticket,
)

BASE = """
number: 1
models:
  - name: small
    current: small:1
    versions: [{id: "small:1"}, {id: "small:2"}]
  - {name: large, current: "large:1", versions: [{id: "large:1"}]}
cascades: [{name: guide, models: [small, large]}]
services: [{name: parcels}]
workspaces:
  - name: karen
    versions: ["small:1", "small:2", "large:1"]
    cascades: [guide]
    services: [parcels]
"""


def build_ticket(number, **sections):
    return parse_ticket(json.dumps({"number": number, **sections}))


def build_tables(*later):
    tables = merge_ticket(ConfigurationTables(), parse_ticket(BASE))
    for ticket in later:
        assert check_ticket(tables, ticket) == ()
        tables = merge_ticket(tables, ticket)
    return tables


def build_rollout(**fields):
    return {"name": "r", "model": "small", "candidate": "small:2", **fields}


def build_model(current="small:1", **states):
    versions = [
        {"id": f"small:{name[1:]}", "state": state} for name, state in states.items()
    ]
    return {"name": "small", "current": current, "versions": versions}


def find_faults(text):
    with pytest.raises(TicketError) as caught:
        parse_ticket(text)
    assert caught.value.code is Code.TICKET_INVALID
    return caught.value.faults


def test_every_fault_is_listed_with_its_place():
    faults = find_faults(
        "number: 0\nmodels: [{name: A, current: 'a:1', versions: []}]\nextra: 1\n"
        "workspaces: [{name: w, share: .inf}]"
    )
    places = {fault.split(": ")[0] for fault in faults}
    assert places == {
        "number",
        "models[0].name",
        "models[0].versions",
        "extra",
        "workspaces[0].share",
    }


@pytest.mark.parametrize(
    ("text", "phrase"),
    [
        ("number: 1\nnumber: 2\n", "key 'number' stands twice"),
        ('{"number": 1, "number": 2}', "key 'number' stands twice"),
        ("number: &a 1\nnote: *a\n", "aliases"),
        ("number: 1\nnote: [}", "line 2"),
        ("[" * 5_000, "nesting"),
        ('{"a":' * 50_000, "document"),
        ("- 1", "mapping"),
        ("", "mapping"),
        (b"\xff\xfe\x00", "UTF-8"),
        ("number: 1\x00", "document"),
        ("number: 1\n" + "#" * MAX_TICKET_BYTES, "at most"),
        ("number: 1\nnote: 2026-01-01\n", "note"),
        ('{"number": 1, "note": "\\ud83d"}', "note"),
        ("? [1, 2]\n: 3\n", "document"),
    ],
)
def test_ambiguous_or_malformed_documents_are_refused(text, phrase):
    assert any(phrase in fault for fault in find_faults(text))


def test_digest_does_not_depend_on_formatting():
    ticket = parse_ticket(BASE)
    assert parse_ticket(encode_ticket(ticket)) == ticket
    again = parse_ticket(BASE + "note: ''\n")
    assert digest_ticket(again) == digest_ticket(ticket)
    other = parse_ticket(BASE + "note: other\n")
    assert digest_ticket(other) != digest_ticket(ticket)


def test_valid_ticket_has_no_faults():
    assert check_ticket(ConfigurationTables(), parse_ticket(BASE)) == ()


@pytest.mark.parametrize(
    ("sections", "fault"),
    [
        ({"remove": {"models": ["large"]}}, "cascade guide: unknown model large"),
        ({"remove": {"services": ["parcels"]}}, "workspace karen: unknown service"),
        ({"remove": {"cascades": ["guide"]}}, "workspace karen: unknown cascade"),
        ({"remove": {"cascades": ["none"]}}, "remove.cascades: unknown none"),
        ({"services": [{"name": "a"}, {"name": "a"}]}, "services: a is named twice"),
        (
            {"services": [{"name": "a"}], "remove": {"services": ["a"]}},
            "is also set by this ticket",
        ),
        ({"models": [build_model("small:3", v1="serving")]}, "not among its versions"),
        (
            {"models": [build_model("small:1", v1="withdrawn", v2="serving")]},
            "current small:1 is withdrawn",
        ),
        ({"models": [build_model(v1="serving")]}, "karen: unknown version small:2"),
        (
            {
                "workspaces": [
                    {"name": "k", "versions": ["small:1"], "cascades": ["guide"]}
                ]
            },
            "may use no serving version of model large in cascade guide",
        ),
        ({"cascades": [{"name": "small", "models": ["small"]}]}, "same name"),
        (
            {"workspaces": [{"name": n, "key_hashes": ["a" * 64]} for n in "xy"]},
            "belongs to workspace x",
        ),
        (
            {"models": [{"name": "x", "current": "y:1", "versions": [{"id": "y:1"}]}]},
            "must begin with 'x:'",
        ),
        (
            {"rollouts": [build_rollout(candidate="small:9")]},
            "is no version of the model",
        ),
        (
            {"rollouts": [build_rollout(candidate="small:1")]},
            "is current already",
        ),
        ({"rollouts": [build_rollout(stages=[0.5, 0.1])]}, "stages must rise"),
        ({"rollouts": [build_rollout(stages=[0.5])]}, "last stage must be 1"),
        (
            {"rollouts": [build_rollout(state="completed")]},
            "completed cannot be asked for",
        ),
        (
            {"rollouts": [build_rollout(), build_rollout(name="s")]},
            "more than one active roll-out: r, s",
        ),
    ],
)
def test_broken_reference_is_reported(sections, fault):
    faults = check_ticket(build_tables(), build_ticket(2, **sections))
    assert any(fault in item for item in faults)


def test_existing_faults_do_not_block_a_ticket():
    tables = build_tables()
    del tables.services["parcels"]
    assert check_ticket(tables, build_ticket(2, services=[{"name": "x"}])) == ()


def test_ticket_that_repeats_a_model_keeps_its_running_rollout():
    tables = build_tables(build_ticket(2, rollouts=[build_rollout()]))
    same = build_model(v1="serving", v2="serving", v3="serving")
    assert check_ticket(tables, build_ticket(3, models=[same])) == ()
    assert (
        merge_ticket(tables, build_ticket(3, models=[same])).progress["r"].ticket == 2
    )
    moved = build_model("small:3", v1="serving", v2="serving", v3="serving")
    faults = check_ticket(tables, build_ticket(3, models=[moved]))
    assert any("would undo roll-out r" in fault for fault in faults)
    named = build_ticket(3, models=[moved], rollouts=[build_rollout()])
    assert check_ticket(tables, named) == ()


def test_withdrawing_the_candidate_stops_its_rollout_and_is_listed():
    tables = build_tables(build_ticket(2, rollouts=[build_rollout()]))
    ticket = build_ticket(3, models=[build_model(v1="serving", v2="withdrawn")])
    assert check_ticket(tables, ticket) == ()
    progress = merge_ticket(tables, ticket).progress["r"]
    assert progress.state is RolloutState.STOPPED
    changes = diff_ticket(tables, ticket)
    assert any("running -> stopped" in "".join(item.details) for item in changes)


def test_stopped_rollout_withdraws_until_removed_or_restarted():
    stop = build_ticket(3, rollouts=[build_rollout(state="stopped")])
    tables = build_tables(build_ticket(2, rollouts=[build_rollout()]), stop)
    assert tables.versions["small:2"].state is VersionState.WITHDRAWN
    model = build_model(v1="serving", v2="serving")
    faults = check_ticket(tables, build_ticket(4, models=[model]))
    assert any(
        "small:2 is serving, but roll-out r is stopped" in fault for fault in faults
    )
    allowed = build_ticket(4, models=[model], remove={"rollouts": ["r"]})
    assert check_ticket(tables, allowed) == ()
    restarted = build_ticket(4, models=[model], rollouts=[build_rollout()])
    assert check_ticket(tables, restarted) == ()
    assert merge_ticket(tables, restarted).progress["r"].stage == 0


def test_difference_names_fields_with_old_and_new_values():
    ticket = build_ticket(
        2,
        workspaces=[{"name": "karen", "versions": ["small:1"], "share": 2.0}],
        services=[{"name": "members"}],
        remove={"cascades": ["guide"], "services": ["parcels"]},
    )
    changes = {
        (item.kind, item.name): item for item in diff_ticket(build_tables(), ticket)
    }
    workspace = changes["workspace", "karen"]
    assert "versions: -small:2 -large:1" in workspace.details
    assert "share: 1.0 -> 2.0" in workspace.details
    assert changes["service", "members"].action == "added"
    assert changes["cascade", "guide"].action == "removed"


CHANGED_SECTIONS = (
    {"models": [build_model(v1="withdrawn", v2="withdrawn")]},
    {"models": [build_model(v1="serving")]},
    {"models": [build_model("small:2", v1="withdrawn", v2="serving")]},
    {"cascades": [{"name": "guide", "models": ["small", "other"]}]},
    {"remove": {"models": ["large"]}},
    {"remove": {"cascades": ["guide"]}},
    {"remove": {"services": ["parcels"]}},
    {"rollouts": [build_rollout(candidate="small:2", state="stopped")]},
    {"services": [{"name": "other"}]},
    {"models": [build_model(v1="serving", v2="serving", v3="serving")]},
    {"workspaces": [{"name": "other", "versions": ["small:7"]}]},
)


@pytest.mark.parametrize("sections", CHANGED_SECTIONS)
def test_check_of_named_workspaces_finds_what_a_full_check_finds(sections):
    tables = build_tables()
    ticket = build_ticket(2, **sections)
    after = merge_ticket(tables, ticket)
    whole = set(find_reference_faults(after, after.workspaces.values()))
    assert whole <= set(check_ticket(tables, ticket))
