"""The identifiers that pass between the parts."""

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
    'RequestId',
    'RouteName',
    'RowKey',
    'ServerId',
    'ServerIncarnation',
    'ServiceName',
    'SessionId',
    'TargetName',
    'TenantId',
    'WriteId',
)

AvailabilityZone = NewType('AvailabilityZone', str)
ClassName = NewType('ClassName', str)
#: Counts accepted configuration changes from 1; 0 is the empty configuration.
ConfigVersion = NewType('ConfigVersion', int)
#: Names what a request asks for, whichever attempt brings it.
ContentDigest = NewType('ContentDigest', str)
InstanceId = NewType('InstanceId', str)
JobId = NewType('JobId', str)
ObjectKey = NewType('ObjectKey', str)
RequestId = NewType('RequestId', str)
RouteName = NewType('RouteName', str)
RowKey = NewType('RowKey', str)
ServerId = NewType('ServerId', str)
#: One life of one backend server, which may start again under its id.
ServerIncarnation = NewType('ServerIncarnation', str)
ServiceName = NewType('ServiceName', str)
#: One life of one instance: ``<instance>#<epoch>``.
SessionId = NewType('SessionId', str)
#: What a request is for: a model's name, or ``service:<name>``.
TargetName = NewType('TargetName', str)
TenantId = NewType('TenantId', str)
#: Names one conditional transaction, so that its writer knows it again after a lost reply.
WriteId = NewType('WriteId', str)
