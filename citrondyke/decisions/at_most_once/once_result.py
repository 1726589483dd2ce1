"""How a request that may not be repeated ended."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.decisions.at_most_once.intent_row import StoredReply
from citrondyke.decisions.online.rejection import Rejection

__all__ = ('OnceResult', 'OnceResultKind')


class OnceResultKind(Enum):
    """What the caller is told."""

    ANSWERED = 'answered'
    #: The key was used before with other content.
    CONFLICT = 'conflict'
    #: Never ran, and never will by this claim.
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    #: It ran; its outcome is not stored yet.
    NOT_DURABLE = 'not_durable'
    #: Another instance still has it.
    IN_PROGRESS = 'in_progress'
    #: The table service does not answer; never ran.
    PLATFORM_DOWN = 'platform_down'


class OnceResult(msgspec.Struct, frozen=True):
    """The one outcome."""

    kind: OnceResultKind
    reply: StoredReply | None = None
    rejection: Rejection | None = None
    #: Whether the answer was stored before and is given again.
    is_replay: bool = False
