"""Few instances of a zone read the list of servers for the others, where that pays."""

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

#: At its start an instance waits so long at most to learn of the others.
MEMBERS_TIMEOUT_MS = 250.0
#: ... of which the read of the configuration waits no longer than this.
DECISION_TIMEOUT_MS = 60.0
#: ... and so long at least for what readers read that start at the same moment: their start takes
#: some hundred ms, the read of the list as much again.
FIRST_READ_DELAY_MS = 1_200.0
#: Bytes a second that all instances together take from the store when nobody has read for them:
#: a quarter of what its link carries. They begin at a time drawn from the span that this needs.
START_BYTES_PER_S = 125_000_000.0
REQUEST_EVERY_MS = 200.0
#: A machine without power answers nothing, not even a refusal; the second reader is asked then.
NEXT_READER_AFTER_MS = 50.0
#: A row takes twice the bytes of its value on the store's link.
WIRE_FACTOR = 2.0
#: An instance is taken for gone after so long without a heartbeat, when readers are chosen.
READER_DEAD_AFTER_MS = 3_000.0


class ServerListReadDelegation(ReadDelegation):
    """Decides by itself whether this instance reads, tells, or listens."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        live: InstanceLiveness,
        replicated: ReplicatedState,
        metrics: Metrics,
        send: Callable[[PeerText, list[InstanceId]], None],
        exchange: Callable[[str, PeerText], PeerMessage],
        tasks: Tasks,
    ) -> None:
        """Start as one who reads for itself alone.

        :param send: sends a datagram to some peers.
        :param exchange: asks the instance with an IP over a stream.
        """
        self._context = context
        self._membership = membership
        self._liveness = live
        self._replicated = replicated
        self._tasks = tasks
        self._election = ReaderElection(context)
        self._follower: TableFollower | None = None
        self._config_follower: TableFollower | None = None
        self._decided = Event()
        #: Whether the first read is left to the readers of the zone at this moment.
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
        """Begin to tell and to listen.

        :param config_follower: reads the configuration here.
        :param follower: reads the list of servers here.
        """
        self._config_follower = config_follower
        self._follower = follower
        self._publisher.start(config_follower, follower)
        self._subscriber.start(config_follower, follower)

    @property
    def is_delegated(self) -> bool:
        """Tell whether a reader of the zone reads the list for this instance."""
        return self._subscriber.tracker.is_delegated and not self._publisher.is_reader

    @property
    def is_delegate_reader(self) -> bool:
        """Tell whether this instance is a reader."""
        return self._publisher.is_reader

    def update_role(self) -> None:
        """Judge anew whether this instance is a reader."""
        self._publisher.set_reader(is_reader=self._context.instance_id in self._readers())
        self._subscriber.record_delegation_change()
        if self._follower is not None and self._replicated.has_servers:
            self._membership.list_bytes = self._list_bytes()

    def on_message(self, sender: InstanceId, ip: str, text: ListTold | ListOffered) -> None:
        """Take in what a reader told; another reader's word is no news to one."""
        if not self._publisher.is_reader:
            self._subscriber.on_message(sender, ip, text)

    def answer(self, asked: ListTold, config_version: ConfigVersion) -> ListOffered:
        """Give what who asks lacks."""
        return self._publisher.answer(asked.position, config_version)

    def delay_first_read(self) -> None:
        """Leave the first read to the readers of the zone, for a bounded time.

        After a loss of all, all instances would read the whole list within the same second, more
        than the store's link carries, and each whose read is refused would begin anew.
        """
        list_bytes = self._delayed_list_bytes()
        self.is_first_read_delayed = list_bytes > 0
        self._decided.set()
        if not self.is_first_read_delayed:
            return
        span_ms = list_bytes * WIRE_FACTOR * self._membership.count / START_BYTES_PER_S * 1e3
        until_ms = (
            self._context.now_ms() + FIRST_READ_DELAY_MS + self._context.random.random() * span_ms
        )
        log.info('list.first_read_held', extra={'list_bytes': list_bytes})
        try:
            while self._is_missing_rows and self._context.now_ms() < until_ms:
                self._request_from_readers()
                self.update_role()
                if self._publisher.is_reader:
                    return
                gevent.sleep(self._context.jittered_ms(REQUEST_EVERY_MS, 0.5) / 1e3)
        finally:
            self.is_first_read_delayed = False

    def _delayed_list_bytes(self) -> int:
        """Give the bytes of the list if its first read is left to readers; else 0."""
        if not self._membership.wait_known(MEMBERS_TIMEOUT_MS):
            return 0
        self.update_role()
        if self._publisher.is_reader or not self._readers():
            return 0
        return self._list_bytes()

    def _wait_for_decision(self) -> bool:
        self._decided.wait(DECISION_TIMEOUT_MS / 1e3)
        return self.is_first_read_delayed

    @property
    def _is_missing_rows(self) -> bool:
        return not self.is_delegated or self._is_config_awaited()

    def _is_config_awaited(self) -> bool:
        config = self._config_follower
        return self.is_first_read_delayed and config is not None and not config.has_read_all

    def _request_from_readers(self) -> None:
        """Ask those who should be readers, until one is heard of."""
        if self._subscriber.tracker.has_reader and not self.is_delegated:
            # Its next word says what is missing; what comes then is on its way.
            return
        for reader in self._readers():
            heartbeat = self._membership.peers.get(reader)
            if heartbeat is None:
                continue
            asked = self._tasks.spawn(self._subscriber.request, reader, heartbeat.ip)
            asked.join(NEXT_READER_AFTER_MS / 1e3)
            if asked.value:
                return

    def _readers(self) -> list[InstanceId]:
        """Name the readers of the own zone; none where everybody reads."""
        if not self._membership.is_known:
            return []
        if not self._election.is_worthwhile(self._list_bytes(), self._membership.count):
            return []
        gone = set(
            self._liveness.unresponsive(READER_DEAD_AFTER_MS * self._liveness.timeout_factor)
        )
        members = [each for each in self._zone_peers() if each not in gone]
        return self._election.elect_readers([*members, self._context.instance_id])

    def _zone_peers(self) -> list[InstanceId]:
        """List the other instances of the zone that can be told."""
        return [
            instance_id
            for instance_id, heartbeat in self._membership.peers.items()
            if heartbeat.zone == self._context.zone and heartbeat.list_bytes >= 0
        ]

    def _list_bytes(self) -> int:
        """Give the size of the list, by what the others say where it is not known here."""
        follower = self._follower
        if follower is not None:
            # At the first start of a deployment the servers come one by one, after the whole read.
            own_bytes = int(follower.row_bytes * self._replicated.servers_count)
            if own_bytes := max(own_bytes, follower.size_bytes):
                return own_bytes
        return max(
            (heartbeat.list_bytes for heartbeat in self._membership.peers.values()), default=0
        )

    def _store_age_ms(self) -> float:
        return 0.0 if self._follower is None else min(1e9, self._follower.answer_age_ms)
