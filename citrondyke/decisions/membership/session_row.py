"""The lease of one instance, as stored."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import InstanceId, RowKey, SessionId

__all__ = ('SESSION_PREFIX', 'SessionRow', 'SessionState', 'session_id', 'session_row_key')

SESSION_PREFIX = 'session/'


class SessionState(Enum):
    """Whether the holder gave its lease back."""

    HELD = 'held'
    RELEASED = 'released'


class SessionRow(msgspec.Struct, frozen=True):
    """Value of an instance's lease row."""

    #: Counts the lives of the instance.
    epoch: int
    #: Raised by each renewal; whoever watches it measures on its own clock.
    counter: int
    state: SessionState
    #: Number and digest of the newest object of outcome records.
    sealed_number: int = 0
    sealed_digest: str = ''


def session_row_key(instance_id: InstanceId) -> RowKey:
    """Give the key of an instance's lease row."""
    return RowKey(f'{SESSION_PREFIX}{instance_id}')


def session_id(instance_id: InstanceId, epoch: int) -> SessionId:
    """Name one life of an instance."""
    return SessionId(f'{instance_id}#{epoch}')


def split_session_id(session: SessionId) -> tuple[InstanceId, int]:
    """Take a session's name apart."""
    instance_id, _, epoch = session.rpartition('#')
    return InstanceId(instance_id), int(epoch)
