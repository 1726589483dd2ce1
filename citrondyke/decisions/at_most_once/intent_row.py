"""What is stored of a request that runs at most once."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import RowKey, SessionId, TenantId, WriteId
from citrondyke.util.hashing import digest_hex

__all__ = ('IntentRow', 'IntentState', 'StoredReply', 'intent_row_key')


class IntentState(Enum):
    """How far the request is."""

    #: Its owner may dispatch it, once.
    INTENT = 'intent'
    DONE = 'done'
    #: It never ran; the same key may claim again.
    NOT_RUN = 'not_run'
    #: It may have run and is never dispatched again.
    UNKNOWN = 'unknown'


class StoredReply(msgspec.Struct, frozen=True):
    """The answer, for whoever asks again."""

    status: int
    content_type: str
    body: bytes


class IntentRow(msgspec.Struct, frozen=True, kw_only=True):
    """Value of the row of one idempotency key."""

    #: Of method, path and body: the same key with other content is a conflict.
    digest: str
    state: IntentState
    owner: SessionId
    #: Names the claim, so that its maker knows it again.
    claim_id: WriteId
    changed_at_epoch_ms: float
    reply: StoredReply | None = None


def intent_row_key(tenant_id: TenantId, idempotency_key: str) -> RowKey:
    """Give the key of an intent's row."""
    return RowKey(f'once/{tenant_id}/{digest_hex(idempotency_key.encode())}')
