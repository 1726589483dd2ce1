"""Reads the replicated tables at once when they are too old for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
from gevent.event import Event

from citrondyke.decisions.forwarding.pause_detector import PauseDetector
from citrondyke.decisions.forwarding.replica_freshness import ReplicaEvidence, ReplicaFreshness
from citrondyke.gateway.replication.list_evidence import ListEvidence

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.peers.server_list_read_delegation import ServerListReadDelegation
    from citrondyke.gateway.replication.table_follower import TableFollower
    from citrondyke.gateway.tasks import Tasks

__all__ = ('ReplicaRefresher',)

log = logbook.Logger(__name__)

#: Longest wait of a request for a read: half of the usual target for a first event of 300 ms. The
#: store usually responds within 30 ms.
HOLD_MS = 150.0
#: Share of the time of its caller that a request may wait.
HOLD_SHARE = 0.25
#: Reads are spread over this time at the largest interval factor, 3: many machines may have stood
#: still together, and all of them read two tables.
SPREAD_MS = 80.0
#: Time after a pause in which messages of peers may have waited in the socket meanwhile.
SETTLE_MS = 250.0


class ReplicaRefresher(ListEvidence):
    """Holds requests for a bounded time while the server list or the configuration is read anew.

    One read serves all requests that wait. While the store does not respond nothing waits, and
    requests are served by what is known.
    """

    def __init__(
        self,
        context: Context,
        metrics: Metrics,
        interval_factor: Callable[[], float],
        tasks: Tasks,
    ) -> None:
        """Start without followers; nothing is stale until they are set.

        :param interval_factor: returns the factor by which polling intervals are longer than in a
            small fleet.
        """
        self._context = context
        self._metrics = metrics
        self._interval_factor = interval_factor
        self._tasks = tasks
        self._pauses = PauseDetector(context)
        self._pauses.on_pause(self._record_pause)
        self._freshness = ReplicaFreshness(context, self._pauses)
        self._servers: TableFollower | None = None
        self._config: TableFollower | None = None
        self._readers: ServerListReadDelegation | None = None
        #: Set when the current read ends; ``None`` while there is none.
        self._reading: Event | None = None
        self._held_count = 0

    def start(
        self, config: TableFollower, servers: TableFollower, readers: ServerListReadDelegation
    ) -> None:
        """Set the followers of the configuration and of the server list.

        :param readers: instances that read the server list for this one.
        """
        self._config, self._servers, self._readers = config, servers, readers
        self._pauses.observe()

    def observe(self) -> None:
        """Look for a pause of the process; call this several times a second."""
        self._pauses.observe()

    @property
    def is_stale(self) -> bool:
        """Whether the configuration or the server list must be read before it is acted on."""
        self._pauses.observe()
        return bool(self._stale_followers())

    def request(self) -> None:
        """Begin to read what is stale, unless a read is under way."""
        if self._reading is None:
            self._reading = Event()
            self._tasks.spawn(self._read, self._reading)

    def wait_until_current(self, within_ms: float | None = None) -> bool:
        """Wait for a bounded time until what a request depends on has been read.

        :param within_ms: how long the caller waits; ``None`` if it does not say.
        :returns: whether it was stale.
        """
        if not self.is_stale:
            return False
        began_ms = self._context.clock.fence_ms()
        hold_ms = HOLD_MS if within_ms is None else min(HOLD_MS, within_ms * HOLD_SHARE)
        self._held_count += 1
        self._metrics.counters['requests_held_for_read'] += 1
        # A read that is under way may have begun before a pause.
        for _ in range(2):
            left_ms = hold_ms - (self._context.clock.fence_ms() - began_ms)
            if left_ms <= 0:
                break
            self._wait_for_read(left_ms)
            if not self.is_stale:
                return True
        self._freshness.record_unanswered(began_ms)
        return True

    def has_left(self, state: ServerState, chosen_ms: float) -> bool:
        """Return whether a server has left since it was chosen, if this may have been missed.

        :param chosen_ms: when it was chosen, by the fence clock.
        """
        if not self.wait_until_current() and self._pauses.resumed_ms < chosen_ms:
            return False
        if not state.is_delisted and not state.listed.is_leaving:
            return False
        log.info('server.left_unused', extra={'server_id': state.listed.id})
        return True

    @property
    def list_confirmed_ms(self) -> float:
        """Time up to which the list certainly has all changes, by the fence clock."""
        return self._servers_evidence().confirmed_ms

    def confirm_list_since(self, since_ms: float) -> bool:
        """Wait for a bounded time for a read that began at a time or later.

        :param since_ms: a time by the fence clock.
        :returns: whether the list has all changes up to that time.
        """
        servers = self._servers
        if servers is None:
            return False
        began_ms = self._context.clock.fence_ms()
        # A read that is under way may have begun before.
        for _ in range(2):
            left_ms = HOLD_MS - (self._context.clock.fence_ms() - began_ms)
            if servers.evidence.confirmed_ms >= since_ms or left_ms <= 0:
                break
            self._wait_for_read(left_ms)
        return servers.evidence.confirmed_ms >= since_ms

    def _wait_for_read(self, left_ms: float) -> None:
        self.request()
        if self._reading is not None:
            self._reading.wait(left_ms / 1e3)

    def _servers_evidence(self) -> ReplicaEvidence:
        servers, readers = self._servers, self._readers
        if servers is None or readers is None:
            return ReplicaEvidence(float('-inf'), float('-inf'))
        evidence = servers.evidence
        if readers.received_ms < self._pauses.resumed_ms + SETTLE_MS:
            return evidence
        return ReplicaEvidence(max(evidence.confirmed_ms, readers.confirmed_ms), evidence.failed_ms)

    def _stale_followers(self) -> list[TableFollower]:
        config, servers = self._config, self._servers
        if config is None or servers is None:
            return []
        factor = self._interval_factor()
        return [
            follower
            for follower, evidence in (
                (config, config.evidence),
                (servers, self._servers_evidence()),
            )
            if self._freshness.is_stale(evidence, factor)
        ]

    def _read(self, done: Event) -> None:
        config, servers = self._config, self._servers
        try:
            if config is None or servers is None:
                return
            before_ms = self._freshness.age_ms((config.evidence, self._servers_evidence()))
            began_ms, began_fence_ms = self._context.now_ms(), self._context.clock.fence_ms()
            spread_ms = SPREAD_MS * (self._interval_factor() - 1.0) / 2.0
            gevent.sleep(self._context.random.random() * spread_ms / 1e3)
            followers = self._stale_followers() or [servers]
            reads = [self._tasks.spawn(follower.poll_once) for follower in followers]
            gevent.joinall(reads)
            if self._stale_followers():
                # The store has not answered, or its answer could not be applied. Nothing waits for
                # the next read for a while.
                self._freshness.record_unanswered(began_fence_ms)
            self._metrics.counters['replica_reads'] += 1
            log.info(
                'replica.read',
                extra={
                    'tables': len(followers),
                    'is_answered': all(read.value for read in reads),
                    'age_before_ms': round(min(before_ms, 1e9)),
                    'age_ms': round(
                        min(
                            1e9,
                            self._freshness.age_ms((config.evidence, self._servers_evidence())),
                        )
                    ),
                    'held_requests': self._held_count,
                    'took_ms': round(self._context.now_ms() - began_ms, 1),
                },
            )
        finally:
            self._held_count = 0
            self._reading = None
            done.set()

    def _record_pause(self, paused_ms: float) -> None:
        self._metrics.counters['pauses'] += 1
        log.warning('instance.paused', extra={'paused_ms': round(paused_ms)})
