"""Targets of attempts: model versions and plain services."""

from dataclasses import dataclass

from bergamotwood_core.ids import ServiceName, VersionId


@dataclass(frozen=True, slots=True)
class VersionTarget:
    """A model version."""

    version: VersionId

    @property
    def name(self) -> str:
        """Name that endpoints announce it by."""
        return self.version


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """A service that is not a model."""

    service: ServiceName

    @property
    def name(self) -> str:
        """Name that endpoints announce it by."""
        return self.service


Target = VersionTarget | ServiceTarget
