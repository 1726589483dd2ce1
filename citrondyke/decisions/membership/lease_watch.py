"""Detects expired leases of other instances by this instance's own clock."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.membership.session_row import (
    SessionRow,
    SessionState,
    split_session_id,
)

if TYPE_CHECKING:
    from citrondyke.ids import InstanceId, SessionId

__all__ = ('LeaseWatch',)

#: Instances that are tracked; the one whose counter changed longest ago is dropped first.
WATCHED_LIMIT = 4096


class _Observation(msgspec.Struct):
    epoch: int
    counter: int
    #: When the counter was first seen at this value, in an uninterrupted series of polls.
    since_ms: float
    polled_ms: float


class LeaseWatch:
    """Detects expired leases from polls of the lease rows."""

    def __init__(self, lease_ms: float, longest_gap_ms: float) -> None:
        """Start without observations.

        :param lease_ms: how long a counter must stay unchanged.
        :param longest_gap_ms: longest gap between polls that still count as one series.
        """
        self._lease_ms = lease_ms
        self._longest_gap_ms = longest_gap_ms
        self._seen: OrderedDict[InstanceId, _Observation] = OrderedDict()

    def has_expired(self, session: SessionId, row: SessionRow | None, now_ms: float) -> bool:
        """Return whether a session's lease has expired, by the current lease row.

        During an outage of the table service no instance can renew, so all counters stay unchanged.
        Compared with the last poll before the outage, all leases would seem to have expired and all
        segments would change owners. A gap between two polls therefore restarts the wait.

        :param row: the instance's lease row as just read; ``None`` if it does not exist.
        """
        instance_id, epoch = split_session_id(session)
        if row is None or row.epoch > epoch:
            return True
        if row.state is SessionState.RELEASED:
            return True
        seen = self._seen.get(instance_id)
        if (
            seen is None
            or seen.epoch != row.epoch
            or seen.counter != row.counter
            or now_ms - seen.polled_ms > self._longest_gap_ms
        ):
            self._seen[instance_id] = _Observation(row.epoch, row.counter, now_ms, now_ms)
            self._seen.move_to_end(instance_id)
            if len(self._seen) > WATCHED_LIMIT:
                self._seen.popitem(last=False)
            return False
        seen.polled_ms = now_ms
        return now_ms - seen.since_ms >= self._lease_ms
