"""Audit records of outcomes, for regulators."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import ClassName, RequestId, TargetName, TenantId

__all__ = ('OutcomeRecord', 'RecordKind', 'SealHeader')


class RecordKind(Enum):
    """What a record describes."""

    ONLINE = 'online'
    #: An at-most-once request.
    ONCE = 'once'
    JOB_ACCEPTED = 'job_accepted'
    JOB_ENDED = 'job_ended'


class OutcomeRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Outcome of one request or job; also a line of a replayable trace."""

    at_epoch_ms: float
    kind: RecordKind
    tenant_id: TenantId
    class_name: ClassName
    target: TargetName
    request_id: RequestId | str
    #: ``ok``, or the code of the failure.
    outcome: str
    #: Whether the class's target was met; ``None`` if it does not apply.
    is_kept: bool | None = None
    first_token_ms: float | None = None
    total_ms: float = 0.0
    prompt_bytes: int = 0
    tokens_count: int = 0
    #: Time from the request's arrival to its deadline.
    within_ms: float = 0.0
    #: Jobs only.
    items_count: int = 0
    succeeded_count: int = 0
    failed_count: int = 0
    deadline_epoch_ms: float = 0.0


class SealHeader(msgspec.Struct, frozen=True, kw_only=True):
    """First line of a sealed segment."""

    instance_id: str
    #: Number of the segment over all incarnations of this instance, from 1.
    number: int
    #: Digest of the previous segment; empty for the first one.
    previous_digest: str
    records_count: int
    #: Records that were dropped because the buffer was full during an outage.
    dropped_count: int = 0
    #: Whether the previous incarnation ended without a graceful shutdown: its last records, from at
    #: most the pause between two segments, are missing.
    is_after_crash: bool = False
