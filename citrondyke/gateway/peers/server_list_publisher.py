"""Publication of the server list, by a reader to the other instances of its zone."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import gevent
import logbook
from gevent.event import Event

from citrondyke.decisions.server_list.server_list_cursor import ServerListCursor
from citrondyke.decisions.server_list.server_list_update import ServerListUpdate
from citrondyke.gateway.peers.list_codec import encode_update
from citrondyke.gateway.peers.peer_codec import ListOffered, ListTold

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.peers.peer_codec import PeerText
    from citrondyke.gateway.replication.replicated_state import ReplicatedState
    from citrondyke.gateway.replication.table_follower import TableFollower
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import ConfigVersion, InstanceId

__all__ = ('ServerListPublisher',)

log = logbook.Logger(__name__)

#: Three messages must be lost or late before a follower counts its reader as unresponsive.
PUBLISH_EVERY_MS = 300.0
#: Changes within this time, such as the pages of a full read, are published in one message.
COALESCE_MS = 60.0
#: Larger updates are fetched over a stream: a datagram of many packets is lost if any of them is.
DATAGRAM_LIMIT_BYTES = 8_192
#: Encoded answers that are cached, since all followers of a zone request the same updates.
CACHED_ANSWERS = 6


class ServerListPublisher:
    """Publishes the server list while this instance is a reader, and answers followers."""

    def __init__(
        self,
        context: Context,
        replicated: ReplicatedState,
        metrics: Metrics,
        send: Callable[[PeerText, list[InstanceId]], None],
        zone_peers: Callable[[], list[InstanceId]],
        tasks: Tasks,
    ) -> None:
        """Start without the role of a reader.

        :param send: sends a datagram to some peers.
        :param zone_peers: returns the other instances of the zone.
        """
        self._incarnation = f'{context.random.getrandbits(64):016x}'
        self._replicated = replicated
        self._metrics = metrics
        self._send = send
        self._zone_peers = zone_peers
        self._tasks = tasks
        self._follower: TableFollower | None = None
        self._config_follower: TableFollower | None = None
        self._is_reader = False
        self._wakeup = Event()
        #: Number of the last change that was published to the zone.
        self._published_number = 0
        self._encoded_updates: OrderedDict[tuple[int, int, int], bytes] = OrderedDict()

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the server list for its zone."""
        return self._is_reader

    def start(self, config_follower: TableFollower, follower: TableFollower) -> None:
        """Start publishing whenever this instance is a reader.

        :param config_follower: follows the configuration on this instance.
        :param follower: follows the server list on this instance.
        """
        self._config_follower = config_follower
        self._follower = follower
        self._tasks.supervise(self._run)

    def set_reader(self, *, is_reader: bool) -> None:
        """Set whether this instance is a reader."""
        if is_reader == self._is_reader:
            return
        self._is_reader = is_reader
        followers = len(self._zone_peers())
        log.info('list.reader', extra={'is_reader': is_reader, 'followers': followers})
        self._wakeup.set()

    def mark_changed(self) -> None:
        """Publish the list soon if it has changed."""
        if self._is_reader and self._replicated.list_revision != self._published_number:
            self._wakeup.set()

    def cursor(self) -> ServerListCursor:
        """Return how far this instance has read the list and the configuration."""
        follower, config = self._follower, self._config_follower
        if follower is None or config is None:
            return ServerListCursor(self._incarnation, 0)
        return ServerListCursor(
            self._incarnation,
            self._replicated.list_revision,
            self._replicated.list_digest,
            follower.has_read_all and self._is_reader,
            follower.settled_version,
            # A reader that cannot apply what the store answers must not keep its followers from
            # reading the store themselves.
            min(1e9, max(follower.answer_age_ms, self._replicated.list_age_ms)),
            follower.size_bytes,
            config.settled_version if self._replicated.is_config_readable else 0,
            config.size_bytes,
        )

    def answer(self, requested: ServerListCursor, config_version: ConfigVersion) -> ListOffered:
        """Return the changes that a follower lacks.

        :param requested: the follower's cursor in the changes of this instance.
        :param config_version: version of the follower's configuration.
        """
        number = self._replicated.list_revision
        since = requested.number if requested.life == self._incarnation else -1
        has_config = self._replicated.config.table.version <= config_version
        key = (since, number, 0 if has_config else self._replicated.config.table.version)
        encoded = self._encoded_updates.get(key)
        if encoded is None:
            encoded = encode_update(self._build_update(since, with_config=not has_config))
            self._encoded_updates[key] = encoded
            while len(self._encoded_updates) > CACHED_ANSWERS:
                self._encoded_updates.popitem(last=False)
        self._metrics.counters['list_answers'] += 1
        return ListOffered(encoded, self.cursor())

    def _build_update(self, since: int, *, with_config: bool) -> ServerListUpdate:
        config = self._replicated.config
        changes = None if since < 0 else self._replicated.servers_since(since)
        listing_version = None
        is_everything = changes is None
        if changes is None:
            changes, version = self._replicated.server_rows()
            since = 0
            # Servers missing from a list that was not read completely may still exist.
            listing_version = version or None
        return ServerListUpdate(
            self._incarnation,
            since,
            self._replicated.list_revision,
            changes,
            is_everything,
            listing_version,
            config.table if with_config else None,
        )

    def _run(self) -> None:
        while True:
            if not self._is_reader:
                self._wakeup.clear()
                self._wakeup.wait()
                continue
            if self._wakeup.wait(PUBLISH_EVERY_MS / 1e3):
                gevent.sleep(COALESCE_MS / 1e3)
            self._wakeup.clear()
            if self._is_reader:
                self._publish()

    def _publish(self) -> None:
        zone_peers = self._zone_peers()
        number = self._replicated.list_revision
        if 0 < self._published_number < number and zone_peers:
            encoded = encode_update(self._build_update(self._published_number, with_config=False))
            if len(encoded) <= DATAGRAM_LIMIT_BYTES:
                self._published_number = number
                self._send(ListOffered(encoded, self.cursor()), zone_peers)
                return
        self._published_number = number
        self._send(ListTold(self.cursor()), zone_peers)
