"""What a caller asks of a job, and how that is answered."""

from __future__ import annotations

from enum import Enum
from typing import TypeAlias

import msgspec

from citrondyke.decisions.jobs.rows import JobRow
from citrondyke.ids import ClassName, JobId, TenantId

__all__ = ('AcceptedJob', 'JobRejection', 'JobRejectionReason', 'JobRequest', 'JobResult')


class JobRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller asks for."""

    tenant_id: TenantId
    file_id: str
    endpoint: str
    class_name: ClassName
    completion_window: str = '24h'
    idempotency_key: str = ''
    metadata: dict[str, str] = msgspec.field(default_factory=dict)


class JobRejectionReason(Enum):
    """Why a job is not accepted or not found."""

    NO_FILE = 'no_file'
    NO_JOB = 'no_job'
    WRONG_ENDPOINT = 'wrong_endpoint'
    UNKNOWN_TARGET = 'unknown_target'
    KEY_CONFLICT = 'key_conflict'
    #: Nothing was accepted.
    PLATFORM_DOWN = 'platform_down'
    #: It may have been accepted; the same wish again gives the same job.
    UNCERTAIN = 'in_doubt'


class JobRejection(msgspec.Struct, frozen=True):
    """Stands in the place of a job."""

    reason: JobRejectionReason

    def __bool__(self) -> bool:
        """Count as no job."""
        return False


class AcceptedJob(msgspec.Struct, frozen=True):
    """A job as it stands."""

    job_id: JobId
    row: JobRow
    version: int


JobResult: TypeAlias = AcceptedJob | JobRejection
