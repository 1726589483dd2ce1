"""Stored state of an at-most-once request."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import RowKey, SessionId, TenantId, WriteId
from citrondyke.util.hashing import digest_hex

__all__ = ('IntentRow', 'IntentState', 'StoredReply', 'intent_row_key')


class IntentState(Enum):
    """State of an at-most-once request."""

    #: Its owner may dispatch it, once.
    INTENT = 'intent'
    DONE = 'done'
    #: It never ran; the key may be claimed again.
    NOT_RUN = 'not_run'
    #: It may have run; it is never dispatched again.
    UNKNOWN = 'unknown'


class StoredReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The stored response, replayed to repeated requests."""

    status: int
    content_type: str
    body: bytes
    #: Whether the end of the body was that of the connection, which may have come early.
    ends_with_connection: bool = False


class IntentRow(msgspec.Struct, frozen=True, kw_only=True):
    """Value of the row of one idempotency key."""

    #: Digest of method, path and body: the same key with different content is a conflict.
    digest: str
    state: IntentState
    owner: SessionId
    #: Identifies the claim, so that its owner recognises it.
    claim_id: WriteId
    changed_at_epoch_ms: float
    reply: StoredReply | None = None


def intent_row_key(tenant_id: TenantId, idempotency_key: str) -> RowKey:
    """Return the row key of an intent."""
    return RowKey(f'once/{tenant_id}/{digest_hex(idempotency_key.encode())}')
