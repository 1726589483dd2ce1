"""Result of an at-most-once request."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.decisions.at_most_once.intent_row import StoredReply
from citrondyke.decisions.online.rejection import Rejection

__all__ = ('OnceResult', 'OnceResultKind')


class OnceResultKind(Enum):
    """What is reported to the caller."""

    ANSWERED = 'answered'
    #: The key was used before with different content.
    CONFLICT = 'conflict'
    #: Never ran, and this claim will never run it.
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    #: It ran; its outcome is not stored yet.
    NOT_DURABLE = 'not_durable'
    #: Still running when the caller's deadline passed.
    IN_PROGRESS = 'in_progress'
    #: The table service is unavailable; never ran.
    PLATFORM_DOWN = 'platform_down'


class OnceResult(msgspec.Struct, frozen=True):
    """The single outcome."""

    kind: OnceResultKind
    reply: StoredReply | None = None
    rejection: Rejection | None = None
    #: Whether the response is a replay of a stored one.
    is_replay: bool = False
