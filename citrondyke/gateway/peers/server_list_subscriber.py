"""The followers' side: hears of the list of servers from the readers of its zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from citrondyke.decisions.server_list.reader_lease_tracker import MissingRows, ReaderLeaseTracker
from citrondyke.errors.broken_reply import BrokenReplyError
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.peers.list_codec import decode_offer
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
        self.watch = ReaderLeaseTracker(context)
        self._replicated = replicated
        self._metrics = metrics
        self._exchange = exchange
        self._tasks = tasks
        self._follower: TableFollower | None = None
        self._config_follower: TableFollower | None = None
        self._is_asking = False
        self._was_covered = False

    def start(self, config_follower: TableFollower, follower: TableFollower) -> None:
        """Take in what is heard from now on.

        :param config_follower: reads the configuration here.
        :param follower: reads the list of servers where nobody else does.
        """
        self._config_follower = config_follower
        self._follower = follower

    def take(self, sender: InstanceId, ip: str, text: ListTold | ListOffered) -> None:
        """Take in what a reader told."""
        if isinstance(text, ListOffered):
            self._metrics.counters['list_bytes_from_peers'] += len(text.data)
            try:
                self._take_offer(sender, decode_offer(text.data))
            except UnreadableBytesError as error:
                log.warning('list.unreadable', extra={'ip': ip, 'detail': error.message})
                return
        lack = self._note(sender, text.position)
        if lack is not MissingRows.NOTHING and not self._is_asking:
            self._is_asking = True
            self._tasks.spawn(self.ask, sender, ip)

    def ask(self, reader: InstanceId, ip: str) -> bool:
        """Ask a reader for what is missing; tell whether it answered."""
        self._is_asking = True
        self._metrics.counters['list_asks'] += 1
        try:
            message = self._exchange(ip, ListTold(self.watch.cursor_of(reader)))
            if not isinstance(message.text, ListOffered):
                return False
            offered = message.text
            self._metrics.counters['list_bytes_from_peers'] += len(offered.data)
            offer = decode_offer(offered.data)
        except (BrokenReplyError, UnreadableBytesError, OSError, ValueError) as error:
            self.watch.record_failure(reader)
            log.info('list.reader_silent', extra={'ip': ip, 'detail': str(error)[:200]})
            return False
        finally:
            self._is_asking = False
        self._take_offer(message.sender, offer)
        self._note(message.sender, offered.position)
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

    def look(self) -> None:
        """Log whether others read for this instance, where that has changed."""
        is_delegated = self.watch.is_delegated
        if is_delegated == self._was_covered:
            return
        self._was_covered = is_delegated
        if is_delegated:
            log.info('list.covered', extra={'reader': self.watch.source})
            return
        self._metrics.counters['list_fallbacks'] += 1
        log.info(
            'list.fallback',
            extra={'reader': self.watch.source, 'is_heard': self.watch.has_reader},
        )

    def _take_offer(self, reader: InstanceId, offer: ServerListUpdate) -> None:
        if offer.table is not None:
            self._replicated.apply_route_table(offer.table, f'reader {reader}')
        whole_version = offer.listing_version
        if offer.rows or whole_version is not None:
            self._replicated.merge_servers(
                offer.rows, whole_version or 0, is_whole=whole_version is not None
            )
        self.watch.record_changes(reader, offer.life, offer.since, offer.number)

    def _adopt_config(self, told: ServerListCursor) -> None:
        """Spare the first read of the configuration: the reader's is in force here too."""
        config = self._config_follower
        if config is not None and not config.has_read_all and told.config_store_version:
            config.adopt(told.config_store_version, told.config_bytes)

    def _note(self, reader: InstanceId, told: ServerListCursor) -> MissingRows:
        lack = self.watch.record_cursor(reader, told, self._replicated.list_digest)
        if (
            lack is MissingRows.NOTHING
            and self.watch.is_up_to_date(reader)
            and self._follower is not None
        ):
            self._follower.adopt(told.store_version, told.size_bytes)
        return lack
