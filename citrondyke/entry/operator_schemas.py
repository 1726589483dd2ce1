"""Response bodies of the operator endpoints."""

from __future__ import annotations

from typing import Any

import msgspec

from citrondyke.ids import ConfigVersion, JobId, TargetName, TenantId

__all__ = ('JobSummary', 'JobView', 'MemberView', 'ServerReport', 'StatusReport')


class MemberView(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a peer as seen by one instance."""

    id: str
    zone: str
    #: State in the platform's list of instances.
    listed: str
    #: State in this instance's membership.
    state: str


class ServerReport(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a backend server as seen by one instance."""

    id: str
    target: str
    zone: str
    steward: str
    is_leaving: bool
    is_ejected: bool
    online_count: int
    online_limit: int
    #: Known to the server's steward only; ``None`` on other instances.
    batch_count: int | None = None
    fill_limit: int | None = None


class StatusReport(msgspec.Struct, frozen=True, kw_only=True):
    """The status of an instance, with its view of peers and servers."""

    instance_id: str
    zone: str
    config_version: ConfigVersion
    is_ready: bool
    is_leaving: bool
    session: str
    open_calls: int
    held_segments: int
    members: list[MemberView]
    servers: list[ServerReport]


class JobSummary(msgspec.Struct, frozen=True, kw_only=True):
    """An open job in the list of jobs."""

    job_id: JobId
    tenant_id: TenantId
    target: TargetName
    deadline_epoch_ms: float
    segments_count: int
    is_stopping: bool


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """A job with its forecast."""

    batch: dict[str, Any]
    #: ``None`` until an item of the job has finished, and after the job has finished.
    forecast_epoch_ms: float | None
    deadline_epoch_ms: float
    is_at_risk: bool
