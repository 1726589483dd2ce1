"""Detects requests that crash the servers that run them, and stops their retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook

from citrondyke.decisions.crashes.server_exit_detector import InterruptedRequest, ServerExitDetector
from citrondyke.decisions.crashes.suspect_registry import SuspectRegistry, SuspectStatus
from citrondyke.decisions.crashes.suspect_update_queue import SuspectUpdateKind
from citrondyke.decisions.forwarding.server_registry import server_digest
from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.peers.suspect_publisher import SuspectPublisher
from citrondyke.gateway.sockets import connect

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.crashes.request_fingerprint import (
        LazyRequestFingerprint,
        RequestFingerprint,
    )
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.peers.peer_codec import CrashNews, PeerText
    from citrondyke.gateway.servers.suspect_store import SuspectStore
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import InstanceId

__all__ = ('PoisonRequestGuard',)

log = logbook.Logger(__name__)

#: Connect timeout of the exit check. A live server accepts a connection within some ms; a
#: partitioned one delays the request that waits for the check by no more than this.
EXIT_CHECK_MS = 100.0
#: A request whose response has been arriving for longer than this, the time of some ten events,
#: has passed the phase in which a poison request crashes its server.
FRESH_EVENTS_MS = 300.0
#: Request digests named in one line.
NAMED_LIMIT = 8


class PoisonRequestGuard:
    """Tracks the requests under which servers exit, and gives verdicts on whether to send them.

    Exits are counted by request content across all instances: through peers and through the store.
    """

    def __init__(
        self,
        context: Context,
        book: ServerRegistry,
        suspects: SuspectRegistry,
        store: SuspectStore,
        metrics: Metrics,
        tasks: Tasks,
    ) -> None:
        """Use the parts handed in."""
        self._context = context
        self._book = book
        self._suspects = suspects
        self._store = store
        self._metrics = metrics
        self._tasks = tasks
        self._exit_detector = ServerExitDetector(context)
        self.publisher = SuspectPublisher(context, book.topology, suspects)
        self._exit_checks: dict[int, gevent.Greenlet] = {}

    def start(self, send: Callable[[PeerText, list[InstanceId]], None]) -> None:
        """Start publishing to peers and following the stored suspects.

        :param send: sends a datagram to the given peers.
        """
        self._store.start(self._tasks)
        self.publisher.start(self._tasks, send)

    def status_of(
        self, lazy_fingerprint: LazyRequestFingerprint, *, is_item: bool = False
    ) -> SuspectStatus:
        """Return whether a request may be sent; its body is hashed only if it may be a suspect."""
        if not self._may_be_suspect(lazy_fingerprint):
            return SuspectStatus.FREE
        return self._suspects.status_of(lazy_fingerprint.fingerprint, is_item=is_item)

    def _may_be_suspect(self, lazy_fingerprint: LazyRequestFingerprint) -> bool:
        return len(self._suspects) > 0 and self._suspects.has_suspects_for(lazy_fingerprint.target)

    def exits_count(self, fingerprint: RequestFingerprint) -> float:
        """Return the weighted number of servers that exited while running a request."""
        return self._suspects.score(fingerprint)

    def claim_probe(
        self, fingerprint: RequestFingerprint, who: str, *, is_item: bool = False
    ) -> bool:
        """Claim the probe of a suspect; return whether this instance got it.

        :param who: id of the request or item.
        """
        is_granted = self._store.claim_probe(fingerprint, is_item=is_item)
        log.info(
            'suspect.trial',
            extra={
                'item_id' if is_item else 'request_id': who,
                'content': fingerprint.digest,
                'servers': round(self._suspects.score(fingerprint), 2),
                'granted': is_granted,
            },
        )
        return is_granted

    def record_probe_refused(self, fingerprint: RequestFingerprint) -> None:
        """Record that no server ran a probe."""
        self._suspects.record_probe_refused(fingerprint)
        self._store.save(fingerprint)

    def record_survived(self, lazy_fingerprint: LazyRequestFingerprint) -> None:
        """Record a whole and successful response to a request; it clears a suspect.

        Error responses don't count: a server may fail requests before it begins to run them. If
        such a probe cleared a suspect, the request would go on to crash three more servers.
        """
        if not self._may_be_suspect(lazy_fingerprint):
            return
        survivor = lazy_fingerprint.fingerprint
        was_known = self.publisher.is_published_to_all(survivor)
        if self._suspects.record_survived(survivor):
            self._log_cleared(survivor, 'own')
            self.publisher.notify_survived(survivor, is_broadcast=was_known)
            self._store.save(survivor)

    def record_interrupted(
        self,
        state: ServerState,
        fingerprint: RequestFingerprint,
        kind: ReplyFailureKind,
        first_event_ms: float | None,
        *,
        may_wait: bool = True,
    ) -> None:
        """Record that a request was interrupted at a server, and check whether the server exited.

        The request waits some ms for the check. If it were sent on before, the exit would not be
        counted yet when it reaches the next server; and all interrupted requests would be sent by
        load alone, which selects the same server for all of them.

        :param kind: how the response broke off.
        :param first_event_ms: when the server's first event arrived; ``None`` before that.
        :param may_wait: whether the calling greenlet may block here, and so be killed here.
        """
        server = server_digest(state.listed)
        if state.listed.is_leaving or (
            state.is_delisted and not self._exit_detector.has_exited(server)
        ):
            # The server exits as planned.
            return
        since_ms = 0.0 if first_event_ms is None else self._context.now_ms() - first_event_ms
        is_fresh = since_ms <= FRESH_EVENTS_MS
        if self._exit_detector.record_interrupted(server, fingerprint, is_fresh=is_fresh):
            self._count_exits(
                server, [InterruptedRequest(fingerprint, is_fresh, self._context.now_ms())]
            )
            return
        if kind is not ReplyFailureKind.CUT:
            return
        probe = self._exit_checks.get(server)
        if probe is None:
            probe = self._exit_checks[server] = self._tasks.spawn(self._check_exit, server, state)
        if may_wait:
            probe.join(EXIT_CHECK_MS / 1e3)

    def record_connect_failure(self, state: ServerState, error: BrokenReplyError) -> None:
        """Record that a server did not accept a connection."""
        server = server_digest(state.listed)
        if _is_connection_refused(error) and not state.listed.is_leaving:
            self._record_server_exit(server, 'refused')

    def record_removed(self, state: ServerState) -> None:
        """Record that a server was removed from the list; unless it was draining, it has exited."""
        server = server_digest(state.listed)
        broken = self._exit_detector.record_removed(server)
        if broken and not state.listed.is_leaving:
            self._log_ended(server, 'list', broken)
            self._count_exits(server, broken)

    def record_incarnation_ended(self, state: ServerState) -> None:
        """Record that a server was replaced by another incarnation."""
        if not state.listed.is_leaving:
            self._record_server_exit(server_digest(state.listed), 'next_life')

    def on_message(self, news: CrashNews) -> None:
        """Apply a message of a peer about exits and survived requests."""
        for each in news.news:
            if each.kind is SuspectUpdateKind.SURVIVED:
                if self._suspects.record_survived(each.content):
                    self._log_cleared(each.content, 'peer')
                continue
            is_fresh = each.kind is SuspectUpdateKind.FRESH
            was_known = self.publisher.is_published_to_all(each.content)
            if self._suspects.record_server_exit(each.content, news.server, is_fresh=is_fresh):
                self._log_counted(each.content, news.server, 'peer', is_fresh=is_fresh)
                self._publish_suspect(each.content, was_known=was_known)
        if news.server:
            self._record_server_exit(news.server, 'peer')

    def _check_exit(self, server: int, state: ServerState) -> None:
        try:
            is_settled = False
            while not is_settled:
                asked_ms = self._context.now_ms()
                connect(state.listed.ip, state.listed.port, EXIT_CHECK_MS).close()
                is_settled = not self._exit_detector.record_server_alive(server, asked_ms)
        except BrokenReplyError as error:
            if _is_connection_refused(error):
                self._record_server_exit(server, 'refused')
            else:
                log.info(
                    'server.unsure', extra={'server_id': state.listed.id, 'detail': error.message}
                )
        finally:
            del self._exit_checks[server]

    def _record_server_exit(self, server: int, how: str) -> None:
        is_news = not self._exit_detector.has_exited(server)
        broken = self._exit_detector.record_server_exited(server)
        if is_news:
            self._log_ended(server, how, broken)
        self._count_exits(server, broken)

    def _count_exits(self, server: int, broken: Iterable[InterruptedRequest]) -> None:
        for each in broken:
            was_known = self.publisher.is_published_to_all(each.content)
            if not self._suspects.record_server_exit(each.content, server, is_fresh=each.is_fresh):
                continue
            self._log_counted(each.content, server, 'own', is_fresh=each.is_fresh)
            self.publisher.notify_end(server, each.content, is_fresh=each.is_fresh)
            self._publish_suspect(each.content, was_known=was_known)
            self._store.save(each.content)

    def _publish_suspect(self, fingerprint: RequestFingerprint, *, was_known: bool) -> None:
        """Publish a suspect to all peers if so far only its collecting instances knew of it."""
        if not was_known and self.publisher.is_published_to_all(fingerprint):
            self.publisher.notify_all_ends(fingerprint)
            self._store.save(fingerprint)

    def _log_ended(self, server: int, how: str, broken: list[InterruptedRequest]) -> None:
        state = self._book.by_digest(server)
        self._metrics.counters['servers_ended'] += 1
        log.info(
            'server.ended',
            extra={
                'server_id': state.listed.id if state is not None else f'{server:08x}',
                'how': how,
                'own_requests': len(broken),
                'contents': [each.content.digest for each in broken[:NAMED_LIMIT]],
            },
        )

    def _log_counted(
        self, fingerprint: RequestFingerprint, server: int, source: str, *, is_fresh: bool
    ) -> None:
        log.info(
            'suspect.counted',
            extra={
                'content': fingerprint.digest,
                'server': f'{server:08x}',
                'is_fresh': is_fresh,
                'servers': round(self._suspects.score(fingerprint), 2),
                'standing': self._suspects.status_of(fingerprint).value,
                'source': source,
            },
        )

    def _log_cleared(self, fingerprint: RequestFingerprint, source: str) -> None:
        log.info('suspect.cleared', extra={'content': fingerprint.digest, 'source': source})


def _is_connection_refused(error: BrokenReplyError) -> bool:
    """Whether the connection was refused: no process listens there. A timeout proves less."""
    return isinstance(error.__cause__, ConnectionRefusedError)
