"""Rejection of an online request, as a sentinel value."""

from __future__ import annotations

from enum import Enum

import msgspec

__all__ = ('Rejection', 'RejectionReason')


class RejectionReason(Enum):
    """Reason for a rejection; the values are stable and used in metrics."""

    #: The fleet has no free capacity within the class's target.
    OVERLOADED = 'overloaded'
    #: This tenant uses its fair share and other tenants need theirs.
    TENANT_SHARE = 'tenant_share'
    #: No backend server of the target is usable.
    NO_SERVER = 'no_server'
    #: The deadline passed while the request was queued.
    DEADLINE = 'deadline'
    #: Recent failures used up the retry budget.
    RETRY_BUDGET = 'retry_budget'
    #: Servers have crashed under the request, or under a part of its prompt.
    BLOCKED = 'blocked'
    #: A probe of it is running.
    PROBE_RUNNING = 'probe_running'
    #: The caller disconnected.
    CALLER_GONE = 'caller_gone'


class Rejection(msgspec.Struct, frozen=True):
    """Returned instead of a server or a permit."""

    reason: RejectionReason
    #: Suggested delay before a retry, in milliseconds; reflects the backlog.
    retry_in_ms: float

    def __bool__(self) -> bool:
        """Return ``False``, as a rejection carries no permit."""
        return False
