"""What operators are answered."""

from __future__ import annotations

from typing import Any

import msgspec

from citrondyke.ids import ConfigVersion, JobId, TargetName, TenantId

__all__ = ('JobSummary', 'JobView', 'MemberView', 'ServerReport', 'StatusReport')


class MemberView(msgspec.Struct, frozen=True, kw_only=True):
    """A peer as one instance sees it."""

    id: str
    zone: str
    #: What the platform's list says.
    listed: str
    #: What is believed.
    state: str


class ServerReport(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server as one instance sees it."""

    id: str
    target: str
    zone: str
    steward: str
    is_leaving: bool
    is_ejected: bool
    online_count: int
    online_limit: int
    #: Known to its steward only.
    batch_count: int | None = None
    fill_limit: int | None = None


class StatusReport(msgspec.Struct, frozen=True, kw_only=True):
    """One instance and what it sees."""

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
    """An open job in the list."""

    job_id: JobId
    tenant_id: TenantId
    target: TargetName
    deadline_epoch_ms: float
    segments_count: int
    is_stopping: bool


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """One job with its forecast."""

    batch: dict[str, Any]
    #: ``None`` before the job has a pace, and when it is over.
    forecast_epoch_ms: float | None
    deadline_epoch_ms: float
    is_at_risk: bool
