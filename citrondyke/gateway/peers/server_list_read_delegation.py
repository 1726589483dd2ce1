"""Delegation of the reads of the server list to a few elected readers per zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
from gevent.event import Event

from citrondyke.decisions.server_list.reader_election import ReaderElection
from citrondyke.gateway.peers.config_read_delegation import ConfigReadDelegation
from citrondyke.gateway.peers.server_list_publisher import ServerListPublisher
from citrondyke.gateway.peers.server_list_subscriber import ServerListSubscriber
from citrondyke.gateway.replication.read_delegation import ReadDelegation

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.batch.takeover import InstanceLiveness
    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.peers.membership import Membership
    from citrondyke.gateway.peers.peer_codec import (
        ListOffered,
        ListTold,
        PeerMessage,
        PeerText,
    )
    from citrondyke.gateway.replication.replicated_state import ReplicatedState
    from citrondyke.gateway.replication.table_follower import TableFollower
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import ConfigVersion, InstanceId

__all__ = ('ServerListReadDelegation',)

log = logbook.Logger(__name__)

#: A starting instance waits at most this long for the list of the instances.
MEMBERS_TIMEOUT_MS = 250.0
#: The read of the configuration waits at most this long for the decision on a delay.
DECISION_TIMEOUT_MS = 60.0
#: Minimum time that a delayed first read waits for readers that start at the same moment: their
#: start takes some hundred ms, and their read of the list as much again.
FIRST_READ_DELAY_MS = 1_200.0
#: Bytes per second that all instances together may read from the store if no reader has sent them
#: the list: a quarter of the capacity of the store's link. Each instance starts at a random time
#: within the duration that results from this rate.
START_BYTES_PER_S = 125_000_000.0
REQUEST_EVERY_MS = 200.0
#: After this time without an answer the second reader is queried too: a machine without power sends
#: no response at all, not even a refused connection.
NEXT_READER_AFTER_MS = 50.0
#: Bytes that a row takes on the store's link, relative to its value.
WIRE_FACTOR = 2.0
#: An instance without a heartbeat for this long isn't elected as a reader.
READER_DEAD_AFTER_MS = 3_000.0


class ServerListReadDelegation(ReadDelegation):
    """Elects the readers of the zone, and lets this instance read and publish or subscribe.

    Each instance runs the election itself, from the list of instances.
    """

    def __init__(
        self,
        context: Context,
        membership: Membership,
        liveness: InstanceLiveness,
        replicated: ReplicatedState,
        metrics: Metrics,
        send: Callable[[PeerText, list[InstanceId]], None],
        exchange: Callable[[str, PeerText], PeerMessage],
        tasks: Tasks,
    ) -> None:
        """Start without delegation: the instance reads the list itself and publishes nothing.

        :param send: sends a datagram to some peers.
        :param exchange: sends a request to the instance with an IP over a stream.
        """
        self._context = context
        self._membership = membership
        self._liveness = liveness
        self._replicated = replicated
        self._tasks = tasks
        self._election = ReaderElection(context)
        self._follower: TableFollower | None = None
        self._config_follower: TableFollower | None = None
        self._decided = Event()
        #: Whether the first read currently waits for the readers of the zone.
        self.is_first_read_delayed = False
        self.config_delegation = ConfigReadDelegation(
            self._wait_for_decision, self._is_config_awaited
        )
        self._publisher = ServerListPublisher(
            context, replicated, metrics, send, self._zone_peers, tasks
        )
        self._subscriber = ServerListSubscriber(context, replicated, metrics, exchange, tasks)
        replicated.on_reconciled(self._publisher.mark_changed)
        for name, read in (
            ('list_is_reader', lambda: float(self._publisher.is_reader)),
            ('list_is_covered', lambda: float(self.is_delegated)),
            ('list_store_age_ms', self._store_age_ms),
        ):
            metrics.add_gauge(name, read)

    def start(self, config_follower: TableFollower, follower: TableFollower) -> None:
        """Start publishing and subscribing.

        :param config_follower: follows the configuration on this instance.
        :param follower: follows the server list on this instance.
        """
        self._config_follower = config_follower
        self._follower = follower
        self._publisher.start(config_follower, follower)
        self._subscriber.start(config_follower, follower)

    @property
    def is_delegated(self) -> bool:
        """Whether a reader of the zone reads the list for this instance."""
        return self._subscriber.tracker.is_delegated and not self._publisher.is_reader

    @property
    def is_delegate_reader(self) -> bool:
        """Whether this instance is a reader."""
        return self._publisher.is_reader

    @property
    def received_ms(self) -> float:
        """When the last message of a reader with the same list arrived, by the fence clock."""
        return self._subscriber.tracker.received_ms

    @property
    def confirmed_ms(self) -> float:
        """Time of the readers' list, if this instance's is the same, by the fence clock."""
        return self._subscriber.tracker.confirmed_ms

    def update_role(self) -> None:
        """Run the election, and update the role of this instance."""
        self._publisher.set_reader(is_reader=self._context.instance_id in self._readers())
        self._subscriber.record_delegation_change()
        if self._follower is not None and self._replicated.has_servers:
            self._membership.list_bytes = self._list_bytes()

    def on_message(
        self, sender: InstanceId, ip: str, text: ListTold | ListOffered, queued_ms: float
    ) -> None:
        """Apply a reader's message; a reader ignores it, since it reads the store itself.

        :param queued_ms: upper bound of the time for which the message has waited here.
        """
        if not self._publisher.is_reader:
            self._subscriber.on_message(sender, ip, text, queued_ms)

    def answer(self, request: ListTold, config_version: ConfigVersion) -> ListOffered:
        """Return the changes that a follower lacks."""
        return self._publisher.answer(request.position, config_version)

    def delay_first_read(self) -> None:
        """Wait for a bounded time for the readers of the zone to send the list.

        After an outage of all instances, all of them would read the complete list within the same
        second, which exceeds the capacity of the store's link, and instances whose read is rejected
        would start it again.
        """
        started_ms = self._context.now_ms()
        list_bytes = self._delayed_list_bytes()
        self.is_first_read_delayed = list_bytes > 0
        self._decided.set()
        decided_ms = self._context.now_ms()
        log.info(
            'list.first_read_held' if list_bytes else 'list.first_read_own',
            extra={
                'list_bytes': self._list_bytes(),
                'is_reader': self._publisher.is_reader,
                'readers': self._readers(),
                'instances': self._membership.count,
                'is_known': self._membership.is_known,
                'waited_ms': round(decided_ms - started_ms, 1),
            },
        )
        if not self.is_first_read_delayed:
            return
        spread_ms = list_bytes * WIRE_FACTOR * self._membership.count / START_BYTES_PER_S * 1e3
        until_ms = decided_ms + FIRST_READ_DELAY_MS + self._context.random.random() * spread_ms
        try:
            while self._is_missing_rows and self._context.now_ms() < until_ms:
                self._request_from_readers()
                self.update_role()
                if self._publisher.is_reader:
                    return
                gevent.sleep(self._context.jittered_ms(REQUEST_EVERY_MS, 0.5) / 1e3)
        finally:
            self._log_release(decided_ms)
            self.is_first_read_delayed = False

    def _log_release(self, decided_ms: float) -> None:
        log.info(
            'list.first_read_released',
            extra={
                'held_ms': round(self._context.now_ms() - decided_ms, 1),
                'is_reader': self._publisher.is_reader,
                'readers': self._readers(),
                'is_list_missing': not self.is_delegated,
                'is_config_missing': self._is_config_awaited(),
                'has_reader': self._subscriber.tracker.has_reader,
            },
        )

    def _delayed_list_bytes(self) -> int:
        """Return the size of the list if its first read is left to readers, else 0."""
        if not self._membership.wait_known(MEMBERS_TIMEOUT_MS):
            return 0
        self.update_role()
        if self._publisher.is_reader or not self._readers():
            return 0
        return self._list_bytes()

    def _wait_for_decision(self) -> bool:
        if not self._decided.wait(DECISION_TIMEOUT_MS / 1e3):
            log.info('config.first_read_undecided', extra={'waited_ms': DECISION_TIMEOUT_MS})
        return self.is_first_read_delayed

    @property
    def _is_missing_rows(self) -> bool:
        return not self.is_delegated or self._is_config_awaited()

    def _is_config_awaited(self) -> bool:
        config = self._config_follower
        return self.is_first_read_delayed and config is not None and not config.has_read_all

    def _request_from_readers(self) -> None:
        """Request the list from the elected readers in turn, until one answers."""
        if self._subscriber.tracker.has_reader and not self.is_delegated:
            # The next message of that reader triggers the request for the missing rows.
            return
        for reader in self._readers():
            heartbeat = self._membership.peers.get(reader)
            if heartbeat is None:
                continue
            request = self._tasks.spawn(self._subscriber.request, reader, heartbeat.ip)
            request.join(NEXT_READER_AFTER_MS / 1e3)
            if request.value:
                return

    def _readers(self) -> list[InstanceId]:
        """Return the readers of the local zone; none if every instance reads for itself."""
        if not self._membership.is_known:
            return []
        if not self._election.is_worthwhile(self._list_bytes(), self._membership.count):
            return []
        dead = set(
            self._liveness.unresponsive(READER_DEAD_AFTER_MS * self._liveness.timeout_factor)
        )
        members = [each for each in self._zone_peers() if each not in dead]
        return self._election.elect_readers([*members, self._context.instance_id])

    def _zone_peers(self) -> list[InstanceId]:
        """Return the other instances of the zone that support the published list."""
        return [
            instance_id
            for instance_id, heartbeat in self._membership.peers.items()
            if heartbeat.zone == self._context.zone and heartbeat.list_bytes >= 0
        ]

    def _list_bytes(self) -> int:
        """Return the size of the list, from the heartbeats of peers if it is not known here."""
        follower = self._follower
        if follower is not None:
            # In a new deployment the servers are registered one by one after the full read, which
            # found an empty list.
            own_bytes = int(follower.row_bytes * self._replicated.servers_count)
            if own_bytes := max(own_bytes, follower.size_bytes):
                return own_bytes
        return max(
            (heartbeat.list_bytes for heartbeat in self._membership.peers.values()), default=0
        )

    def _store_age_ms(self) -> float:
        return 0.0 if self._follower is None else min(1e9, self._follower.answer_age_ms)
