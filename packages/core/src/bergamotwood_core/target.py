"""What one attempt of a request runs on."""

from dataclasses import dataclass

from bergamotwood_core.ids import ServiceName, VersionId


@dataclass(frozen=True, slots=True)
class VersionTarget:
    """A version of a model."""

    version: VersionId

    @property
    def name(self) -> str:
        """Name that endpoints announce it by."""
        return self.version


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """A plain service."""

    service: ServiceName

    @property
    def name(self) -> str:
        """Name that endpoints announce it by."""
        return self.service


Target = VersionTarget | ServiceTarget
