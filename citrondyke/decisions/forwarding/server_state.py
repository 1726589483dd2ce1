"""What an instance believes of one backend server."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.forwarding.server_list_entry import ServerListEntry
from citrondyke.decisions.servers.latency_ratio import LatencyRatio
from citrondyke.decisions.servers.outcomes import NEVER_MS, Outcome
from citrondyke.decisions.servers.reported_slowdown import ReportedSlowdown
from citrondyke.decisions.servers.server_health import ServerHealth
from citrondyke.decisions.servers.server_health_record import ServerHealthRecord
from citrondyke.ids import InstanceId, ServerIncarnation

__all__ = ('PEER_COUNT_MS', 'RequestCounts', 'ServerState')

#: Load that a server states of itself is believed for so long: it tells of the moment of its
#: answer, and a request for tokens runs for some 700 ms.
REPORTED_LOAD_MS = 250.0
#: Times its places that a server may state to have; servers queue a few times their places.
REPORTED_LOAD_FACTOR = 16
#: Counts of a peer lapse: it renews them every 500 ms while they are not zero, and one datagram
#: in a hundred is lost.
PEER_COUNT_MS = 1_600.0
#: Share of a new measurement in the mean of a server's times.
SMOOTHING_FACTOR = 0.15
#: First failures that take a server out, and for how long; each further one doubles it. A server
#: that is down costs a caller about 1 ms (refused) to 1 s (silent) for each try.
FAILURES_LIMIT = 2
EJECT_MS = 800.0
MAX_EJECT_MS = 4_000.0
#: Part of a server's places that batch items keep where their jobs would be late otherwise. With
#: none, 85% of the items of a service with two of its five servers left were late.
PROTECTED_BATCH_SHARE = 0.25


#: Share of one outcome in a server's share of failures, and the time in which that halves without
#: a new one: a server that recovers gets requests again within seconds.
FAILURE_SMOOTHING_FACTOR = 0.3
FAILURE_HALF_LIFE_MS = 2_000.0


class RequestCounts(msgspec.Struct):
    """Requests that are on a server."""

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Add both up."""
        return self.online + self.batch


class _PeerCount(msgspec.Struct, frozen=True):
    online: int
    batch: int
    until_ms: float


class ServerState:
    """One life of one server: its entry, the requests on it, its times and failures."""

    def __init__(
        self, listed: ServerListEntry, life: ServerIncarnation, since_ms: float = NEVER_MS
    ) -> None:
        """Start without a request on it.

        :param life: names this life at this instance.
        :param since_ms: when this instance heard of it.
        """
        self.listed = listed
        self.incarnation = life
        #: It is listed no more, or a later life has begun.
        self.is_delisted = False
        self.own = RequestCounts()
        self.failures_count = 0
        self.ejected_until_ms = 0.0
        self._failure_share = 0.0
        self._failure_share_ms = 0.0
        #: It said that another server has its address now.
        self.is_misplaced = False
        #: Mean time of its answers (of its first events, for streams); 0 before the first.
        self.mean_ms = 0.0
        self.health_record = ServerHealthRecord(since_ms)
        self.latency_ratio = LatencyRatio()
        self.reported_slowdown = ReportedSlowdown()
        self._peer_counts: dict[InstanceId, _PeerCount] = {}
        #: What all instances have on it, where they are not all heard of one by one.
        self._total = _PeerCount(0, 0, 0.0)
        self._reported_load = 0
        self._reported_until_ms = 0.0

    def record_peer_counts(self, peer: InstanceId, online: int, batch: int, now_ms: float) -> None:
        """Take in what a peer has on the server."""
        if online or batch:
            self._peer_counts[peer] = _PeerCount(online, batch, now_ms + PEER_COUNT_MS)
        else:
            self._peer_counts.pop(peer, None)

    def record_total(self, online: int, batch: int, now_ms: float) -> None:
        """Take in what all instances have on the server, as its own zone knows it."""
        self._total = _PeerCount(online, batch, now_ms + PEER_COUNT_MS)

    def record_reported_load(self, running: int, waiting: int, now_ms: float) -> None:
        """Take in what the server says of itself; counts that it cannot hold are bounded."""
        self._reported_load = min(
            running + waiting, REPORTED_LOAD_FACTOR * max(1, self.listed.slots_count)
        )
        self._reported_until_ms = now_ms + REPORTED_LOAD_MS

    def record_latency(self, took_ms: float) -> None:
        """Take in the time of an answer or a first event."""
        share = SMOOTHING_FACTOR if self.mean_ms else 1.0
        self.mean_ms += share * (took_ms - self.mean_ms)

    def record_work(self, took_ms: float, usual_ms: float, now_ms: float) -> None:
        """Compare an answer's time with the usual one of its route on this service."""
        self.latency_ratio.record(took_ms / self.reported_slowdown.factor(now_ms), usual_ms)

    def record_success(self) -> None:
        """Forget failures in a row; their share only shrinks."""
        self._failure_share *= 1.0 - FAILURE_SMOOTHING_FACTOR
        self.failures_count = 0
        self.ejected_until_ms = 0.0

    def record_failure(self, now_ms: float, outcome: Outcome = Outcome.UNANSWERED) -> None:
        """Count a failure; enough of them in a row take the server out for a while, here."""
        self.health_record.record(outcome, now_ms)
        self._failure_share *= 0.5 ** ((now_ms - self._failure_share_ms) / FAILURE_HALF_LIFE_MS)
        self._failure_share += FAILURE_SMOOTHING_FACTOR * (1.0 - self._failure_share)
        self._failure_share_ms = now_ms
        self.failures_count += 1
        beyond = self.failures_count - FAILURES_LIMIT
        if beyond >= 0:
            pause_ms = min(MAX_EJECT_MS, EJECT_MS * 2.0**beyond)
            self.ejected_until_ms = now_ms + pause_ms

    def is_ejected(self, now_ms: float) -> bool:
        """Tell whether it gets no requests, by this instance's results or by the fleet's."""
        return self.ejected_until_ms > now_ms or self.health_record.health is ServerHealth.EJECTED

    def record_answered(self, now_ms: float) -> None:
        """Take note that it has begun a good answer."""
        self.health_record.record(Outcome.SUCCEEDED, now_ms)

    def failure_share(self, now_ms: float) -> float:
        """Give the share of requests that it failed lately, by this instance or by all."""
        halves_count = (now_ms - self._failure_share_ms) / FAILURE_HALF_LIFE_MS
        return max(float(self._failure_share * 0.5**halves_count), self.health_record.failure_share)

    def record_unreachable(self, now_ms: float) -> None:
        """Take the server out at once: it takes no connection, so nothing can be wrong but it.

        A silent answer may be one slow request; a connection that is not taken never is, and a
        second try would cost one more caller the same time.
        """
        self.failures_count = max(self.failures_count, FAILURES_LIMIT - 1)
        self.record_failure(now_ms)

    def online_count(self, now_ms: float) -> int:
        """Count the online requests on it, by all instances."""
        counted = self.own.online + sum(peer.online for peer in self._fresh_peer_counts(now_ms))
        return max(counted, self._total.online) if now_ms < self._total.until_ms else counted

    def batch_count(self, now_ms: float) -> int:
        """Count the batch items on it, by all instances."""
        counted = self.own.batch + sum(peer.batch for peer in self._fresh_peer_counts(now_ms))
        return max(counted, self._total.batch) if now_ms < self._total.until_ms else counted

    def total_count(self, now_ms: float) -> int:
        """Count all requests on it: the larger of the sum of counts and its own statement."""
        counted = self.online_count(now_ms) + self.batch_count(now_ms)
        return max(counted, self._reported_load) if now_ms < self._reported_until_ms else counted

    def expected_slowdown(self, now_ms: float) -> float:
        """Give how many times as long as usual in its service work takes on it.

        It is 1.0 for a server that does not state how long work takes there now.
        """
        if not self.reported_slowdown.is_known:
            return 1.0
        return self.latency_ratio.factor * self.reported_slowdown.factor(now_ms)

    @property
    def protected_batch_limit(self) -> int:
        """Give the places that batch items at risk may keep from online requests."""
        return max(1, int(self.listed.slots_count * PROTECTED_BATCH_SHARE))

    def protected_batch_count(self, now_ms: float) -> int:
        """Count the batch items that do not make room for online requests."""
        return min(self.batch_count(now_ms), self.protected_batch_limit)

    def batch_by_peer(self, now_ms: float) -> dict[InstanceId, int]:
        """Count the batch items on it by peer."""
        return {
            peer: count.batch
            for peer, count in self._peer_counts.items()
            if count.batch and count.until_ms > now_ms
        }

    def _fresh_peer_counts(self, now_ms: float) -> list[_PeerCount]:
        stale = [peer for peer, count in self._peer_counts.items() if count.until_ms <= now_ms]
        for peer in stale:
            del self._peer_counts[peer]
        return list(self._peer_counts.values())
