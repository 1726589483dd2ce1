"""Stored lease of one instance."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import InstanceId, RowKey, SessionId
from citrondyke.util.numbers import read_count

__all__ = ('SESSION_PREFIX', 'SessionRow', 'SessionState', 'session_id', 'session_row_key')

SESSION_PREFIX = 'session/'


class SessionState(Enum):
    """Whether the lease is held or was released."""

    HELD = 'held'
    RELEASED = 'released'


class SessionRow(msgspec.Struct, frozen=True):
    """Value of an instance's lease row."""

    #: Number of the instance's incarnation.
    epoch: int
    #: Incremented by each renewal; observers measure its standstill on their own clocks.
    counter: int
    state: SessionState
    #: Number and digest of the newest sealed segment of audit records.
    sealed_number: int = 0
    sealed_digest: str = ''


def session_row_key(instance_id: InstanceId) -> RowKey:
    """Return the key of an instance's lease row."""
    return RowKey(f'{SESSION_PREFIX}{instance_id}')


def session_id(instance_id: InstanceId, epoch: int) -> SessionId:
    """Return the id of one incarnation of an instance."""
    return SessionId(f'{instance_id}#{epoch}')


def split_session_id(session: SessionId) -> tuple[InstanceId, int]:
    """Split a session id into the instance id and the epoch.

    :raises UnreadableBytesError: if the epoch is not a number.
    """
    instance_id, _, epoch = session.rpartition('#')
    return InstanceId(instance_id), read_count(epoch, 'epoch of a session')
