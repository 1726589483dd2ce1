"""What was lost, by cause, as a record that two runs are compared by."""

from __future__ import annotations

from enum import Enum

import msgspec

__all__ = ('Loss', 'LossCause', 'LossReport')


class LossCause(Enum):
    """Why a request or an item of a batch job was lost or late."""

    #: No place was to be expected in time.
    REJECTED = 'turned away'
    #: Its account had had what its limit allows, or nobody could say.
    OVER_LIMIT = 'over the limit of its account'
    #: Each server that was asked turned it away, or none took work.
    NO_SERVER = 'no server took it'
    #: No route, too many connections, an improper head.
    NOT_ACCEPTED = 'not taken by the instance'
    #: It broke off, or stayed silent, at a server.
    ABORTED = 'broke off at a server'
    #: Servers had ended under the same work; it was not sent on.
    STOPPED = 'stopped as servers end under it'
    #: A server's own failure was passed on.
    SERVER_FAILED = 'failed at a server'
    TIMED_OUT = 'timed out'
    CALLER_DISCONNECTED = 'its caller left'
    #: The lines of its instance end in the middle of it.
    INSTANCE_LOST = 'its instance was lost'
    #: Late, and sent to more than one server.
    LATE_RESENT = 'late: sent again'
    #: Late, and a wait was expected when it was sent.
    LATE_FOR_CAPACITY = 'late: waited for a place'
    #: Late though a place was expected to be free.
    LATE_AT_SERVER = 'late: slow at its server'
    JOB_REJECTED = 'job not accepted'
    ITEM_NEVER_RAN = 'item never ran'
    ITEM_FOR_CAPACITY = 'item waited for a place'
    ITEM_PREEMPTED = 'item waited after it gave way'
    ITEM_FAILED = 'item waited after a failed run'
    ITEM_OWNER_LOST = 'item waited for a new owner'
    ITEM_RUNNING = 'item ran for too long'
    ITEM_COMMIT = 'item waited to be made durable'


class Loss(msgspec.Struct):
    """One cause on one route."""

    cause: LossCause
    route: str
    count: int = 0
    #: Counts by the number of the window, from the first line on.
    by_window: dict[int, int] = {}
    #: One id, to be explained.
    example: str = ''


class LossReport(msgspec.Struct):
    """All losses of a span of time."""

    #: Seconds since 1970.
    from_s: float
    window_s: float
    requests_count: int = 0
    items_count: int = 0
    losses: list[Loss] = []
    #: What the logs do not tell.
    missing: list[str] = []

    def counts(self) -> dict[tuple[str, LossCause], int]:
        """Give the counts by route and cause."""
        return {(loss.route, loss.cause): loss.count for loss in self.losses}
