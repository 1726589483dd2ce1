"""Types of identifiers that are used in several packages."""

from __future__ import annotations

from typing import NewType

__all__ = (
    'AvailabilityZone',
    'ClassName',
    'ConfigVersion',
    'ContentDigest',
    'InstanceId',
    'JobId',
    'ObjectKey',
    'PromptPart',
    'RequestId',
    'RouteName',
    'RowKey',
    'ServerId',
    'ServerIncarnation',
    'ServiceName',
    'SessionId',
    'SoftwareVersion',
    'TargetName',
    'TenantId',
    'WriteId',
)

AvailabilityZone = NewType('AvailabilityZone', str)
ClassName = NewType('ClassName', str)
#: Number of the accepted configuration change, from 1; 0 for the empty configuration.
ConfigVersion = NewType('ConfigVersion', int)
#: Digest of the content of a request, equal for all attempts with this content.
ContentDigest = NewType('ContentDigest', str)
InstanceId = NewType('InstanceId', str)
JobId = NewType('JobId', str)
ObjectKey = NewType('ObjectKey', str)
#: Part of a prompt, by the id that its callers share.
PromptPart = NewType('PromptPart', str)
RequestId = NewType('RequestId', str)
RouteName = NewType('RouteName', str)
RowKey = NewType('RowKey', str)
ServerId = NewType('ServerId', str)
#: Incarnation of a backend server, which may restart under the same id.
ServerIncarnation = NewType('ServerIncarnation', str)
ServiceName = NewType('ServiceName', str)
#: Incarnation of an instance: ``<instance>#<epoch>``.
SessionId = NewType('SessionId', str)
#: Version of a backend server's software; not of the model that it serves.
SoftwareVersion = NewType('SoftwareVersion', str)
#: Target of a request: name of a model, or ``service:<name>``.
TargetName = NewType('TargetName', str)
TenantId = NewType('TenantId', str)
#: Id of a conditional transaction, by which its writer recognizes it after a lost reply.
WriteId = NewType('WriteId', str)
