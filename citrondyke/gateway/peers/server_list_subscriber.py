"""The followers' side: hears of the list of servers from the readers of its zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from citrondyke.decisions.server_list.reader_lease_tracker import MissingRows, ReaderLeaseTracker
from citrondyke.errors.broken_reply import BrokenReplyError
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.peers.list_codec import decode_update
from citrondyke.gateway.peers.peer_codec import ListOffered, ListTold

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.server_list.server_list_cursor import ServerListCursor
    from citrondyke.decisions.server_list.server_list_update import ServerListUpdate
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.peers.peer_codec import PeerMessage, PeerText
    from citrondyke.gateway.replication.replicated_state import ReplicatedState
    from citrondyke.gateway.replication.table_follower import TableFollower
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import InstanceId

__all__ = ('ServerListSubscriber',)

log = logbook.Logger(__name__)


class ServerListSubscriber:
    """Takes in what readers tell, and asks them for what is missing."""

    def __init__(
        self,
        context: Context,
        replicated: ReplicatedState,
        metrics: Metrics,
        exchange: Callable[[str, PeerText], PeerMessage],
        tasks: Tasks,
    ) -> None:
        """Start having heard nothing.

        :param exchange: asks the instance with an IP over a stream.
        """
        self.tracker = ReaderLeaseTracker(context)
        self._replicated = replicated
        self._metrics = metrics
        self._exchange = exchange
        self._tasks = tasks
        self._follower: TableFollower | None = None
        self._config_follower: TableFollower | None = None
        self._is_requesting = False
        self._was_delegated = False

    def start(self, config_follower: TableFollower, follower: TableFollower) -> None:
        """Take in what is heard from now on.

        :param config_follower: reads the configuration here.
        :param follower: reads the list of servers where nobody else does.
        """
        self._config_follower = config_follower
        self._follower = follower

    def on_message(self, sender: InstanceId, ip: str, text: ListTold | ListOffered) -> None:
        """Take in what a reader told."""
        if isinstance(text, ListOffered):
            self._metrics.counters['list_bytes_from_peers'] += len(text.data)
            try:
                self._apply_update(sender, decode_update(text.data))
            except UnreadableBytesError as error:
                log.warning('list.unreadable', extra={'ip': ip, 'detail': error.message})
                return
        lack = self._record_cursor(sender, text.position)
        if lack is not MissingRows.NOTHING and not self._is_requesting:
            self._is_requesting = True
            self._tasks.spawn(self.request, sender, ip)

    def request(self, reader: InstanceId, ip: str) -> bool:
        """Ask a reader for what is missing; tell whether it answered."""
        self._is_requesting = True
        self._metrics.counters['list_asks'] += 1
        try:
            message = self._exchange(ip, ListTold(self.tracker.cursor_of(reader)))
            if not isinstance(message.text, ListOffered):
                return False
            offered = message.text
            self._metrics.counters['list_bytes_from_peers'] += len(offered.data)
            offer = decode_update(offered.data)
        except (BrokenReplyError, UnreadableBytesError, OSError, ValueError) as error:
            self.tracker.record_failure(reader)
            log.info('list.reader_silent', extra={'ip': ip, 'detail': str(error)[:200]})
            return False
        finally:
            self._is_requesting = False
        self._apply_update(message.sender, offer)
        self._record_cursor(message.sender, offered.position)
        if message.config_version == self._replicated.config.table.version:
            self._adopt_config(offered.position)
        log.info(
            'list.offer_taken',
            extra={
                'reader': message.sender,
                'since': offer.since,
                'number': offer.number,
                'rows': len(offer.rows),
                'size_bytes': len(offered.data),
                'is_everything': offer.is_everything,
                'is_whole': offered.position.is_whole,
                'config': None if offer.table is None else offer.table.version,
            },
        )
        return True

    def record_delegation_change(self) -> None:
        """Log whether others read for this instance, where that has changed."""
        is_delegated = self.tracker.is_delegated
        if is_delegated == self._was_delegated:
            return
        self._was_delegated = is_delegated
        if is_delegated:
            log.info('list.covered', extra={'reader': self.tracker.source})
            return
        self._metrics.counters['list_fallbacks'] += 1
        log.info(
            'list.fallback',
            extra={'reader': self.tracker.source, 'is_heard': self.tracker.has_reader},
        )

    def _apply_update(self, reader: InstanceId, offer: ServerListUpdate) -> None:
        if offer.table is not None:
            self._replicated.apply_route_table(offer.table, f'reader {reader}')
        whole_version = offer.listing_version
        if offer.rows or whole_version is not None:
            self._replicated.merge_servers(
                offer.rows, whole_version or 0, is_whole=whole_version is not None
            )
        self.tracker.record_changes(reader, offer.life, offer.since, offer.number)

    def _adopt_config(self, told: ServerListCursor) -> None:
        """Spare the first read of the configuration: the reader's is in force here too."""
        config = self._config_follower
        if config is not None and not config.has_read_all and told.config_store_version:
            config.adopt(told.config_store_version, told.config_bytes)

    def _record_cursor(self, reader: InstanceId, told: ServerListCursor) -> MissingRows:
        lack = self.tracker.record_cursor(reader, told, self._replicated.list_digest)
        if (
            lack is MissingRows.NOTHING
            and self.tracker.is_up_to_date(reader)
            and self._follower is not None
        ):
            self._follower.adopt(told.store_version, told.size_bytes)
        return lack
