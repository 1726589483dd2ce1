"""The reader's side: tells its availability zone of the list of servers that it reads."""

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

#: Three words are lost or late before a follower takes its reader for silent.
PUBLISH_EVERY_MS = 300.0
#: Changes that come within it are told together; pages of a whole read too.
COALESCE_MS = 60.0
#: More is fetched over a stream: a datagram of many packets is lost with any of them.
DATAGRAM_LIMIT_BYTES = 8_192
#: Encoded answers that are kept, as all of a zone ask for the same.
CACHED_ANSWERS = 6


class ServerListPublisher:
    """Silent unless this instance is a reader."""

    def __init__(
        self,
        context: Context,
        replicated: ReplicatedState,
        metrics: Metrics,
        send: Callable[[PeerText, list[InstanceId]], None],
        zone_peers: Callable[[], list[InstanceId]],
        tasks: Tasks,
    ) -> None:
        """Start as no reader.

        :param send: sends a datagram to some peers.
        :param audience: gives the other instances of the zone.
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
        self._woken = Event()
        #: Up to which number the zone was told.
        self._published_number = 0
        self._encoded_updates: OrderedDict[tuple[int, int, int], bytes] = OrderedDict()

    @property
    def is_reader(self) -> bool:
        """Tell whether this instance reads for its zone."""
        return self._is_reader

    def start(self, config_follower: TableFollower, follower: TableFollower) -> None:
        """Begin to tell when it is this instance's turn.

        :param config_follower: reads the configuration here.
        :param follower: reads the list of servers here.
        """
        self._config_follower = config_follower
        self._follower = follower
        self._tasks.supervise(self._run)

    def set_reader(self, *, is_reader: bool) -> None:
        """Take in whether this instance is a reader."""
        if is_reader == self._is_reader:
            return
        self._is_reader = is_reader
        followers = len(self._zone_peers())
        log.info('list.reader', extra={'is_reader': is_reader, 'followers': followers})
        self._woken.set()

    def mark_changed(self) -> None:
        """Have the zone told soon where the list has changed."""
        if self._is_reader and self._replicated.list_revision != self._published_number:
            self._woken.set()

    def cursor(self) -> ServerListCursor:
        """Give how far the list is known here."""
        follower, config = self._follower, self._config_follower
        if follower is None or config is None:
            return ServerListCursor(self._incarnation, 0)
        return ServerListCursor(
            self._incarnation,
            self._replicated.list_revision,
            self._replicated.list_digest,
            follower.has_read_all and self._is_reader,
            follower.settled_version,
            min(1e9, follower.answer_age_ms),
            follower.size_bytes,
            config.settled_version if self._replicated.is_config_readable else 0,
            config.size_bytes,
        )

    def answer(self, asked: ServerListCursor, config_version: ConfigVersion) -> ListOffered:
        """Give what who asks lacks.

        :param asked: what it has heard of this instance.
        :param config_version: that it has.
        """
        number = self._replicated.list_revision
        since = asked.number if asked.life == self._incarnation else -1
        has_config = self._replicated.config.table.version <= config_version
        key = (since, number, 0 if has_config else self._replicated.config.table.version)
        kept = self._encoded_updates.get(key)
        if kept is None:
            kept = encode_update(self._build_update(since, with_config=not has_config))
            self._encoded_updates[key] = kept
            while len(self._encoded_updates) > CACHED_ANSWERS:
                self._encoded_updates.popitem(last=False)
        self._metrics.counters['list_answers'] += 1
        return ListOffered(kept, self.cursor())

    def _build_update(self, since: int, *, with_config: bool) -> ServerListUpdate:
        config = self._replicated.config
        changes = None if since < 0 else self._replicated.servers_since(since)
        listing_version = None
        is_everything = changes is None
        if changes is None:
            changes, version = self._replicated.server_rows()
            since = 0
            # A list that was not read whole says of no server that it is gone.
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
                self._woken.clear()
                self._woken.wait()
                continue
            if self._woken.wait(PUBLISH_EVERY_MS / 1e3):
                gevent.sleep(COALESCE_MS / 1e3)
            self._woken.clear()
            if self._is_reader:
                self._publish()

    def _publish(self) -> None:
        zone_peers = self._zone_peers()
        number = self._replicated.list_revision
        if 0 < self._published_number < number and zone_peers:
            offered = encode_update(self._build_update(self._published_number, with_config=False))
            if len(offered) <= DATAGRAM_LIMIT_BYTES:
                self._published_number = number
                self._send(ListOffered(offered, self.cursor()), zone_peers)
                return
        self._published_number = number
        self._send(ListTold(self.cursor()), zone_peers)
