"""Why an online request is turned away, as a sentinel value."""

from __future__ import annotations

from enum import Enum

import msgspec

__all__ = ('Rejection', 'RejectionReason')


class RejectionReason(Enum):
    """Why there is no place; stable, used in metrics."""

    #: The fleet has no room within the class's target.
    OVERLOADED = 'overloaded'
    #: This tenant holds its share and others want theirs.
    TENANT_SHARE = 'tenant_share'
    #: No backend server of the target is to be used.
    NO_SERVER = 'no_server'
    #: The deadline passed in the queue.
    DEADLINE = 'deadline'
    #: The failures of late used up the allowance for repeats.
    RETRY_BUDGET = 'retry_budget'
    #: The caller went away.
    CALLER_GONE = 'caller_gone'


class Rejection(msgspec.Struct, frozen=True):
    """Stands in the place of a server or a place."""

    reason: RejectionReason
    #: When to come back, from now; reflects the backlog.
    retry_in_ms: float

    def __bool__(self) -> bool:
        """Count as no place."""
        return False
