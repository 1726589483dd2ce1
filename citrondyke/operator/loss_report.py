"""Losses by cause, as a record by which two runs can be compared."""

from __future__ import annotations

from enum import Enum

import msgspec

__all__ = ('Loss', 'LossCause', 'LossReport')


class LossCause(Enum):
    """Why a request or an item of a batch job was lost or late."""

    #: No capacity was expected to be free in time.
    REJECTED = 'turned away'
    #: The limit of its account was used up, or could not be checked.
    OVER_LIMIT = 'over the limit of its account'
    #: Every server that it was sent to rejected it, or no server accepted requests.
    NO_SERVER = 'no server took it'
    #: It had no route or an invalid head, or there were too many connections.
    NOT_ACCEPTED = 'not taken by the instance'
    #: Its connection to a server was aborted, or the server did not respond.
    ABORTED = 'broke off at a server'
    #: A server had ended its stream, and no other one could confirm that it ends there.
    END_UNCONFIRMED = 'end of its stream not confirmed'
    #: No server could continue its stream: the version that began it is not known, or is gone.
    ORIGIN_LOST = 'no server may continue its stream'
    #: Servers exited under requests of the same content; it was not sent again.
    STOPPED = 'stopped as servers end under it'
    #: The failure response of a server was forwarded.
    SERVER_FAILED = 'failed at a server'
    TIMED_OUT = 'timed out'
    CALLER_DISCONNECTED = 'its caller left'
    #: The log of its instance ends before the end of the request.
    INSTANCE_LOST = 'its instance was lost'
    #: Late, and sent more than once.
    LATE_RESENT = 'late: sent again'
    #: Late, and a wait for capacity was expected when it was sent.
    LATE_FOR_CAPACITY = 'late: waited for a place'
    #: Late although free capacity was expected.
    LATE_AT_SERVER = 'late: slow at its server'
    JOB_REJECTED = 'job not accepted'
    ITEM_NEVER_RAN = 'item never ran'
    ITEM_FOR_CAPACITY = 'item waited for a place'
    ITEM_PREEMPTED = 'item waited after it gave way'
    ITEM_FAILED = 'item waited after a failed run'
    ITEM_UNCONFIRMED = 'item waited until its end was confirmed'
    ITEM_OWNER_LOST = 'item waited for a new owner'
    ITEM_RUNNING = 'item ran for too long'
    ITEM_COMMIT = 'item waited to be made durable'


class Loss(msgspec.Struct):
    """Losses of one cause on one route."""

    cause: LossCause
    route: str
    count: int = 0
    #: Counts by the number of the window, from the first log line.
    by_window: dict[int, int] = {}
    #: Id of one of the requests, jobs or items, to be explained.
    example: str = ''


class LossReport(msgspec.Struct):
    """All losses of a period."""

    #: Seconds since 1970.
    from_s: float
    window_s: float
    requests_count: int = 0
    items_count: int = 0
    losses: list[Loss] = []
    #: Lines that are missing from the logs.
    missing: list[str] = []

    def counts(self) -> dict[tuple[str, LossCause], int]:
        """Return the counts by route and cause."""
        return {(loss.route, loss.cause): loss.count for loss in self.losses}
