"""One outcome, as it is shown to a regulator."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import ClassName, RequestId, TargetName, TenantId

__all__ = ('OutcomeRecord', 'RecordKind', 'SealHeader')


class RecordKind(Enum):
    """What a record is about."""

    ONLINE = 'online'
    #: A request that runs at most once.
    ONCE = 'once'
    JOB_ACCEPTED = 'job_accepted'
    JOB_ENDED = 'job_ended'


class OutcomeRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One request or job; also a line of a trace that can be replayed."""

    at_epoch_ms: float
    kind: RecordKind
    tenant_id: TenantId
    class_name: ClassName
    target: TargetName
    request_id: RequestId | str
    #: ``ok``, or the code of the failure.
    outcome: str
    #: Whether the class's target was met; ``None`` where it does not apply.
    is_kept: bool | None = None
    first_token_ms: float | None = None
    total_ms: float = 0.0
    prompt_bytes: int = 0
    tokens_count: int = 0
    #: Time that the request had, from its arrival.
    within_ms: float = 0.0
    #: Jobs only.
    items_count: int = 0
    succeeded_count: int = 0
    failed_count: int = 0
    deadline_epoch_ms: float = 0.0


class SealHeader(msgspec.Struct, frozen=True, kw_only=True):
    """First line of an object of records."""

    instance_id: str
    #: Counts the objects of this instance over all its lives, from 1.
    number: int
    #: Digest of the object before; empty for the first.
    previous_digest: str
    records_count: int
    #: Records that did not fit the buffer during an outage and are missing here.
    dropped_count: int = 0
    #: Whether the life before this one ended without a planned stop: its last records, at most
    #: as old as the pause between two objects, are missing.
    is_after_crash: bool = False
