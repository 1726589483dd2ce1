"""State of one backend server as one instance knows it."""

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

#: Load that a server reports is valid for this time: it describes the moment of its answer, and a
#: request for tokens runs for some 700 ms.
REPORTED_LOAD_MS = 250.0
#: Largest load that a server may report, as a multiple of its capacity; servers queue a few times
#: their capacity.
REPORTED_LOAD_FACTOR = 16
#: A peer's counts expire after this time: it renews them every 500 ms while they are not zero, and
#: one datagram in a hundred is lost.
PEER_COUNT_MS = 1_600.0
#: Weight of a new measurement in the mean of a server's latencies.
SMOOTHING_FACTOR = 0.15
#: Consecutive failures that eject a server, and for how long; each further one doubles the time. A
#: server that is down costs a caller about 1 ms (connection refused) to 1 s (no answer) for each
#: attempt.
FAILURES_LIMIT = 2
EJECT_MS = 800.0
MAX_EJECT_MS = 4_000.0
#: How long a server gets no requests once another one has answered at its address. The entry of a
#: server that has ended is removed within some seconds; until then a try costs one round trip.
MISPLACED_MS = 2_000.0
#: Weight of one outcome in the failure share of a server, and the time in which the share halves
#: without a new outcome: a server that recovers gets requests again within seconds.
FAILURE_SMOOTHING_FACTOR = 0.3
FAILURE_HALF_LIFE_MS = 2_000.0


class RequestCounts(msgspec.Struct):
    """Requests that are on a server."""

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Return the sum of both."""
        return self.online + self.batch


class _PeerCount(msgspec.Struct, frozen=True):
    online: int
    batch: int
    until_ms: float


class ServerState:
    """One incarnation of one server: its entry, requests, latencies and failures."""

    def __init__(
        self, listed: ServerListEntry, incarnation: ServerIncarnation, since_ms: float = NEVER_MS
    ) -> None:
        """Start without requests.

        :param incarnation: name of this incarnation at this instance.
        :param since_ms: when this instance first saw it.
        """
        self.listed = listed
        self.incarnation = incarnation
        #: It is no longer listed, or a later incarnation has started.
        self.is_delisted = False
        #: Capacity that batch items at risk may keep from online requests.
        self.protected_batch_limit = 0
        self.own = RequestCounts()
        self.failures_count = 0
        self.ejected_until_ms = 0.0
        self._failure_share = 0.0
        self._failure_share_ms = 0.0
        self._misplaced_until_ms = NEVER_MS
        #: Mean latency of its answers, or of its first events for streams; 0 before the first.
        self.mean_ms = 0.0
        self.health_record = ServerHealthRecord(since_ms)
        self.latency_ratio = LatencyRatio()
        self.reported_slowdown = ReportedSlowdown()
        self._peer_counts: dict[InstanceId, _PeerCount] = {}
        #: Requests of all instances, if not every instance sends its own counts here.
        self._total = _PeerCount(0, 0, 0.0)
        self._reported_load = 0
        self._reported_until_ms = 0.0

    def record_peer_counts(self, peer: InstanceId, online: int, batch: int, now_ms: float) -> None:
        """Apply a peer's requests on the server."""
        if online or batch:
            self._peer_counts[peer] = _PeerCount(online, batch, now_ms + PEER_COUNT_MS)
        else:
            self._peer_counts.pop(peer, None)

    def record_total(self, online: int, batch: int, now_ms: float) -> None:
        """Apply the requests of all instances, as reported by the server's zone."""
        self._total = _PeerCount(online, batch, now_ms + PEER_COUNT_MS)

    def record_reported_load(self, running: int, waiting: int, now_ms: float) -> None:
        """Apply the load that the server reports, limited to what it can hold."""
        self._reported_load = min(
            running + waiting, REPORTED_LOAD_FACTOR * max(1, self.listed.slots_count)
        )
        self._reported_until_ms = now_ms + REPORTED_LOAD_MS

    def record_latency(self, latency_ms: float) -> None:
        """Record the latency of an answer or a first event."""
        share = SMOOTHING_FACTOR if self.mean_ms else 1.0
        self.mean_ms += share * (latency_ms - self.mean_ms)

    def record_latency_ratio(self, latency_ms: float, typical_ms: float, now_ms: float) -> None:
        """Compare an answer's latency with the typical one of its route on this service."""
        self.latency_ratio.record(latency_ms / self.reported_slowdown.factor(now_ms), typical_ms)

    def record_success(self) -> None:
        """Reset the consecutive failures; the failure share only decreases."""
        self._failure_share *= 1.0 - FAILURE_SMOOTHING_FACTOR
        self.failures_count = 0
        self.ejected_until_ms = 0.0

    def record_failure(self, now_ms: float, outcome: Outcome = Outcome.UNANSWERED) -> None:
        """Record a failure; enough consecutive ones eject the server here for a time."""
        self.health_record.record(outcome, now_ms)
        self._failure_share *= 0.5 ** ((now_ms - self._failure_share_ms) / FAILURE_HALF_LIFE_MS)
        self._failure_share += FAILURE_SMOOTHING_FACTOR * (1.0 - self._failure_share)
        self._failure_share_ms = now_ms
        self.failures_count += 1
        excess_count = self.failures_count - FAILURES_LIMIT
        if excess_count >= 0:
            ejection_ms = min(MAX_EJECT_MS, EJECT_MS * 2.0**excess_count)
            self.ejected_until_ms = now_ms + ejection_ms

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether it is ejected, by this instance's outcomes or by the fleet's."""
        return self.ejected_until_ms > now_ms or self.health_record.health is ServerHealth.EJECTED

    def record_misplaced(self, now_ms: float) -> None:
        """Record that another server has answered at its address."""
        self._misplaced_until_ms = now_ms + MISPLACED_MS

    def is_misplaced(self, now_ms: float) -> bool:
        """Return whether another server has answered at its address lately."""
        return now_ms < self._misplaced_until_ms

    def record_answered(self, now_ms: float) -> None:
        """Record that it has started a good answer."""
        self._misplaced_until_ms = NEVER_MS
        self.health_record.record(Outcome.SUCCEEDED, now_ms)

    def failure_share(self, now_ms: float) -> float:
        """Return the share of recently failed requests, by this instance or by the fleet."""
        halves_count = (now_ms - self._failure_share_ms) / FAILURE_HALF_LIFE_MS
        return max(float(self._failure_share * 0.5**halves_count), self.health_record.failure_share)

    def record_unreachable(self, now_ms: float) -> None:
        """Eject the server at once, since a refused connection can have no other cause.

        A missing answer may be one slow request; a connection that is not accepted never is, and a
        second attempt would cost another caller the same time.
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
        """Count all requests on it: the larger of the counts and the reported load."""
        counted = self.online_count(now_ms) + self.batch_count(now_ms)
        return max(counted, self._reported_load) if now_ms < self._reported_until_ms else counted

    def expected_slowdown(self, now_ms: float) -> float:
        """Return the service time on it relative to what is typical for its service.

        It is 1.0 for a server that does not report its slowdown.
        """
        if not self.reported_slowdown.is_known:
            return 1.0
        return self.latency_ratio.factor * self.reported_slowdown.factor(now_ms)

    def protected_batch_count(self, now_ms: float) -> int:
        """Count the batch items that are not preempted for online requests."""
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
