"""Requests for jobs and their results."""

from __future__ import annotations

from enum import Enum
from typing import TypeAlias

import msgspec

from citrondyke.decisions.jobs.rows import JobRow
from citrondyke.ids import ClassName, JobId, TenantId

__all__ = ('AcceptedJob', 'JobRejection', 'JobRejectionReason', 'JobRequest', 'JobResult')


class JobRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request for a new job."""

    tenant_id: TenantId
    file_id: str
    endpoint: str
    class_name: ClassName
    completion_window: str = '24h'
    idempotency_key: str = ''
    metadata: dict[str, str] = msgspec.field(default_factory=dict)


class JobRejectionReason(Enum):
    """Why a job was not accepted or not found."""

    NO_FILE = 'no_file'
    NO_JOB = 'no_job'
    WRONG_ENDPOINT = 'wrong_endpoint'
    UNKNOWN_TARGET = 'unknown_target'
    KEY_CONFLICT = 'key_conflict'
    #: Nothing was accepted.
    PLATFORM_DOWN = 'platform_down'
    #: The job may have been accepted; repeating the request yields the same job.
    UNCERTAIN = 'in_doubt'


class JobRejection(msgspec.Struct, frozen=True):
    """Result instead of a job."""

    reason: JobRejectionReason

    def __bool__(self) -> bool:
        """Evaluate as false, like a missing job."""
        return False


class AcceptedJob(msgspec.Struct, frozen=True):
    """A job's current row and its version."""

    job_id: JobId
    row: JobRow
    version: int


JobResult: TypeAlias = AcceptedJob | JobRejection
