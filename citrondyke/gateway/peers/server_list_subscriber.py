"""Subscription of a follower to the server list that the readers of its zone publish."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

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
    """Applies the updates of readers, and requests missing rows from them."""

    def __init__(
        self,
        context: Context,
        replicated: ReplicatedState,
        metrics: Metrics,
        exchange: Callable[[str, PeerText], PeerMessage],
        tasks: Tasks,
    ) -> None:
        """Start without known readers.

        :param exchange: sends a request to the instance with an IP over a stream.
        """
        self._context = context
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
        """Set the followers that received updates are reported to.

        :param config_follower: follows the configuration on this instance.
        :param follower: follows the server list on this instance, unless reads are delegated.
        """
        self._config_follower = config_follower
        self._follower = follower

    def on_message(
        self, sender: InstanceId, ip: str, text: ListTold | ListOffered, queued_ms: float
    ) -> None:
        """Apply a reader's message, and request missing rows.

        :param queued_ms: upper bound of the time for which the message has waited here. An instance
            that was frozen reads messages from before; without it their lists would be fresh.
        """
        if isinstance(text, ListOffered):
            self._metrics.counters['list_bytes_from_peers'] += len(text.data)
            try:
                self._apply_update(sender, decode_update(text.data))
            except UnreadableBytesError as error:
                log.warning('list.unreadable', extra={'ip': ip, 'detail': error.message})
                return
        missing = self._record_cursor(sender, _aged(text.position, queued_ms))
        if missing is not MissingRows.NOTHING and not self._is_requesting:
            self._is_requesting = True
            self._tasks.spawn(self.request, sender, ip)

    def request(self, reader: InstanceId, ip: str) -> bool:
        """Request missing rows from a reader; return whether it answered."""
        self._is_requesting = True
        self._metrics.counters['list_asks'] += 1
        asked_ms = self._context.now_ms()
        try:
            message = self._exchange(ip, ListTold(self.tracker.cursor_of(reader)))
            if not isinstance(message.text, ListOffered):
                return False
            answer = message.text
            self._metrics.counters['list_bytes_from_peers'] += len(answer.data)
            update = decode_update(answer.data)
        except (BrokenReplyError, UnreadableBytesError, OSError, ValueError) as error:
            self.tracker.record_failure(reader)
            log.info('list.reader_silent', extra={'ip': ip, 'detail': str(error)[:200]})
            return False
        finally:
            self._is_requesting = False
        self._apply_update(message.sender, update)
        took_ms = self._context.now_ms() - asked_ms
        self._record_cursor(message.sender, _aged(answer.position, took_ms))
        if message.config_version == self._replicated.config.table.version:
            self._adopt_config(answer.position)
        log.info(
            'list.offer_taken',
            extra={
                'reader': message.sender,
                'since': update.since,
                'number': update.number,
                'rows': len(update.rows),
                'size_bytes': len(answer.data),
                'is_everything': update.is_everything,
                'is_whole': answer.position.is_whole,
                'config': None if update.table is None else update.table.version,
            },
        )
        return True

    def record_delegation_change(self) -> None:
        """Log and count a change of whether reads of the list are delegated."""
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

    def _apply_update(self, reader: InstanceId, update: ServerListUpdate) -> None:
        if update.table is not None:
            self._replicated.apply_route_table(update.table, f'reader {reader}')
        listing_version = update.listing_version
        if update.rows or listing_version is not None:
            self._replicated.merge_servers(
                update.rows, listing_version or 0, is_whole=listing_version is not None
            )
        self.tracker.record_changes(reader, update.life, update.since, update.number)

    def _adopt_config(self, cursor: ServerListCursor) -> None:
        """Mark the configuration as read, since the reader's version is in force here too."""
        config = self._config_follower
        if config is not None and not config.has_read_all and cursor.config_store_version:
            config.adopt(cursor.config_store_version, cursor.config_bytes)

    def _record_cursor(self, reader: InstanceId, cursor: ServerListCursor) -> MissingRows:
        missing = self.tracker.record_cursor(reader, cursor, self._replicated.list_digest)
        if (
            missing is MissingRows.NOTHING
            and self.tracker.is_up_to_date(reader)
            and self._follower is not None
        ):
            self._follower.adopt(cursor.store_version, cursor.size_bytes)
            self._replicated.record_list_current(cursor.age_ms)
        return missing


def _aged(cursor: ServerListCursor, waited_ms: float) -> ServerListCursor:
    return msgspec.structs.replace(cursor, age_ms=cursor.age_ms + waited_ms)
