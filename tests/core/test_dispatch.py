from dataclasses import dataclass, field

import pytest
from core.fleet import SERVICE, VERSION, WORKSPACE, make_endpoint, make_tables

from bergamotwood_core.clock import Seconds
from bergamotwood_core.dispatch import check_dispatch
from bergamotwood_core.errors import BergamotwoodError, Code
from bergamotwood_core.ids import EndpointId, Fingerprint
from bergamotwood_core.quarantine import Isolated, Unsuspected
from bergamotwood_core.states import EndpointState, Run, VersionState
from bergamotwood_core.tables import Suspect, Tables
from bergamotwood_core.target import ServiceTarget, VersionTarget

FINGERPRINT = Fingerprint("f")
ENDPOINT = EndpointId("e")


@dataclass
class DispatchCase:
    """A dispatch that is allowed unless its tables or settings are changed."""

    tables: Tables = field(
        default_factory=lambda: make_tables(
            make_endpoint("e", versions=(VERSION, SERVICE))
        )
    )
    target: VersionTarget | ServiceTarget = VersionTarget(VERSION)
    config_age: float = 4.9

    def check(self) -> Unsuspected | Isolated:
        return check_dispatch(
            self.tables,
            WORKSPACE,
            self.target,
            ENDPOINT,
            Seconds(self.config_age),
            Seconds(5.0),
            FINGERPRINT,
        )


def test_unchanged_attempt_is_allowed():
    assert DispatchCase().check() == Unsuspected()
    assert DispatchCase(target=ServiceTarget(SERVICE)).check() == Unsuspected()


def test_suspect_is_allowed_only_in_isolation():
    case = DispatchCase()
    case.tables.configuration.suspects[FINGERPRINT] = Suspect(1, EndpointId("x"))
    assert case.check() == Isolated(EndpointId("x"))


def age_configuration(case: DispatchCase) -> None:
    case.config_age = 5.1


def withdraw_version(case: DispatchCase) -> None:
    versions = case.tables.configuration.versions
    versions[VERSION] = versions[VERSION].model_copy(
        update={"state": VersionState.WITHDRAWN}
    )


def remove_version(case: DispatchCase) -> None:
    del case.tables.configuration.versions[VERSION]


def revoke_version(case: DispatchCase) -> None:
    workspaces = case.tables.configuration.workspaces
    workspaces[WORKSPACE] = workspaces[WORKSPACE].model_copy(update={"versions": ()})


def remove_workspace(case: DispatchCase) -> None:
    del case.tables.configuration.workspaces[WORKSPACE]


def remove_service(case: DispatchCase) -> None:
    case.target = ServiceTarget(SERVICE)
    del case.tables.configuration.services[SERVICE]


def remove_endpoint(case: DispatchCase) -> None:
    del case.tables.directory.endpoints[ENDPOINT]


def drain_endpoint(case: DispatchCase) -> None:
    case.tables.directory.endpoints[ENDPOINT] = make_endpoint(
        "e", state=EndpointState.LEAVING
    )


def unload_version(case: DispatchCase) -> None:
    case.tables.directory.endpoints[ENDPOINT] = make_endpoint("e", versions=())


def quarantine_request(case: DispatchCase) -> None:
    case.tables.configuration.suspects[FINGERPRINT] = Suspect(2, EndpointId("x"))


@pytest.mark.parametrize(
    ("change", "code"),
    [
        (age_configuration, Code.CONFIG_STALE),
        (withdraw_version, Code.VERSION_WITHDRAWN),
        (remove_version, Code.VERSION_WITHDRAWN),
        (revoke_version, Code.MODEL_NOT_ALLOWED),
        (remove_workspace, Code.FORBIDDEN),
        (remove_service, Code.FORBIDDEN),
        (remove_endpoint, Code.NO_ENDPOINT),
        (drain_endpoint, Code.NO_ENDPOINT),
        (unload_version, Code.NO_ENDPOINT),
        (quarantine_request, Code.QUARANTINED),
    ],
)
def test_change_after_admission_blocks_the_dispatch(change, code):
    case = DispatchCase()
    case.check()
    change(case)
    with pytest.raises(BergamotwoodError) as caught:
        case.check()
    assert caught.value.code is code
    assert caught.value.run is Run.NOT_RUN
