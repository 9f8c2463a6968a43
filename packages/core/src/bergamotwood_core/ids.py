"""Distinct types for the identifiers of the system."""

from typing import NewType

WorkspaceId = NewType("WorkspaceId", str)
ModelName = NewType("ModelName", str)
VersionId = NewType("VersionId", str)
CascadeName = NewType("CascadeName", str)
ServiceName = NewType("ServiceName", str)
RolloutId = NewType("RolloutId", str)
EndpointId = NewType("EndpointId", str)
InstanceId = NewType("InstanceId", str)
DataCentre = NewType("DataCentre", str)
RequestId = NewType("RequestId", str)
SessionId = NewType("SessionId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Fingerprint = NewType("Fingerprint", str)
RequestClass = NewType("RequestClass", str)
TicketNumber = NewType("TicketNumber", int)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
ReplicaId = NewType("ReplicaId", str)
Incarnation = NewType("Incarnation", int)
Sequence = NewType("Sequence", int)
