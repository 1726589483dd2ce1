"""Finds out which servers ended under which requests, and who may still be sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook

from citrondyke.decisions.crashes.server_exit_detector import InterruptedRequest, ServerExitDetector
from citrondyke.decisions.crashes.suspect_registry import SuspectRegistry, SuspectStatus
from citrondyke.decisions.crashes.suspect_update_queue import SuspectUpdateKind
from citrondyke.decisions.forwarding.server_registry import server_digest
from citrondyke.errors.broken_reply import BreakKind, BrokenReplyError
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

#: A server that lives takes a connection within some ms; one that is dark would hold the request
#: that waits for the answer up for no more than this.
EXIT_CHECK_MS = 100.0
#: An answer that has been coming for so long has outlived what its request could do at the
#: beginning: it is the time of some ten events.
FRESH_EVENTS_MS = 300.0
#: Names of requests in one line.
NAMED_LIMIT = 8


class PoisonRequestGuard:
    """One instance's part in stopping requests that end their servers."""

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
        """Begin to tell and to follow.

        :param send: sends a datagram to some peers.
        """
        self._store.start(self._tasks)
        self.publisher.start(self._tasks, send)

    def verdict(self, work: LazyRequestFingerprint, *, is_item: bool = False) -> SuspectStatus:
        """Tell what may be done with a request; its body is looked at for suspects only."""
        if not self._may_be_suspect(work):
            return SuspectStatus.FREE
        return self._suspects.status_of(work.fingerprint, is_item=is_item)

    def _may_be_suspect(self, work: LazyRequestFingerprint) -> bool:
        return len(self._suspects) > 0 and self._suspects.has_suspects_for(work.target)

    def exits_count(self, content: RequestFingerprint) -> float:
        """Give the servers that have ended under a request, weighed."""
        return self._suspects.score(content)

    def claim_probe(self, content: RequestFingerprint, who: str, *, is_item: bool = False) -> bool:
        """Get the trial of a request; tell whether it is this instance's.

        :param who: id of the request or item.
        """
        is_granted = self._store.claim_probe(content, is_item=is_item)
        log.info(
            'suspect.trial',
            extra={
                'item_id' if is_item else 'request_id': who,
                'content': content.digest,
                'servers': round(self._suspects.score(content), 2),
                'granted': is_granted,
            },
        )
        return is_granted

    def record_probe_refused(self, content: RequestFingerprint) -> None:
        """Take note that no server ran a trial."""
        self._suspects.record_probe_refused(content)
        self._store.save(content)

    def record_survived(self, work: LazyRequestFingerprint) -> None:
        """Take in that a server answered a request whole and well; it clears a suspect.

        A server may fail requests that it has not begun to run: a trial that met such a one would
        set a request free that goes on to end three servers more.
        """
        if not self._may_be_suspect(work):
            return
        survivor = work.fingerprint
        was_known = self.publisher.is_known_to_all(survivor)
        if self._suspects.record_survived(survivor):
            self._log_cleared(survivor, 'own')
            self.publisher.notify_survived(survivor, is_wide=was_known)
            self._store.save(survivor)

    def record_interrupted(
        self,
        state: ServerState,
        content: RequestFingerprint,
        kind: BreakKind,
        first_event_ms: float | None,
        *,
        may_wait: bool = True,
    ) -> None:
        """Take in that a request broke off at a server, and find out whether that has ended.

        The request waits for the answer, some ms: sent on before, it would meet the next server
        while the last one's end is not counted yet, and all who were there would choose by load
        alone, which is the same server for all of them.

        :param first_event_ms: when the server's first event came; ``None`` before that.
        :param waits: whether the caller's greenlet may be held up, and so be ended here.
        """
        server = server_digest(state.listed)
        if state.listed.is_leaving or (
            state.is_delisted and not self._exit_detector.has_exited(server)
        ):
            # It ends as it was told to.
            return
        since_ms = 0.0 if first_event_ms is None else self._context.now_ms() - first_event_ms
        is_fresh = since_ms <= FRESH_EVENTS_MS
        if self._exit_detector.record_interrupted(server, content, is_fresh=is_fresh):
            self._count_exits(
                server, [InterruptedRequest(content, is_fresh, self._context.now_ms())]
            )
            return
        if kind is not BreakKind.CUT:
            return
        probe = self._exit_checks.get(server)
        if probe is None:
            probe = self._exit_checks[server] = self._tasks.spawn(self._check_exit, server, state)
        if may_wait:
            probe.join(EXIT_CHECK_MS / 1e3)

    def record_connect_failure(self, state: ServerState, error: BrokenReplyError) -> None:
        """Take in that a server took no connection."""
        server = server_digest(state.listed)
        if _is_connection_refused(error) and not state.listed.is_leaving:
            self._record_server_exit(server, 'refused')

    def record_removed(self, state: ServerState) -> None:
        """Take in that a server is off the list; without a word it has ended, mostly."""
        server = server_digest(state.listed)
        broken = self._exit_detector.record_removed(server)
        if broken and not state.listed.is_leaving:
            self._log_ended(server, 'list', broken)
            self._count_exits(server, broken)

    def record_incarnation_ended(self, state: ServerState) -> None:
        """Take in that a server has begun another life."""
        if not state.listed.is_leaving:
            self._record_server_exit(server_digest(state.listed), 'next_life')

    def on_message(self, news: CrashNews) -> None:
        """Take in what a peer tells."""
        for each in news.news:
            if each.kind is SuspectUpdateKind.SURVIVED:
                if self._suspects.record_survived(each.content):
                    self._log_cleared(each.content, 'peer')
                continue
            is_fresh = each.kind is SuspectUpdateKind.FRESH
            was_known = self.publisher.is_known_to_all(each.content)
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
            was_known = self.publisher.is_known_to_all(each.content)
            if not self._suspects.record_server_exit(each.content, server, is_fresh=each.is_fresh):
                continue
            self._log_counted(each.content, server, 'own', is_fresh=each.is_fresh)
            self.publisher.notify_end(server, each.content, is_fresh=each.is_fresh)
            self._publish_suspect(each.content, was_known=was_known)
            self._store.save(each.content)

    def _publish_suspect(self, content: RequestFingerprint, *, was_known: bool) -> None:
        """Tell everybody of what only those who collect have known."""
        if not was_known and self.publisher.is_known_to_all(content):
            self.publisher.notify_all_ends(content)
            self._store.save(content)

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
        self, content: RequestFingerprint, server: int, source: str, *, is_fresh: bool
    ) -> None:
        log.info(
            'suspect.counted',
            extra={
                'content': content.digest,
                'server': f'{server:08x}',
                'is_fresh': is_fresh,
                'servers': round(self._suspects.score(content), 2),
                'standing': self._suspects.status_of(content).value,
                'source': source,
            },
        )

    def _log_cleared(self, content: RequestFingerprint, source: str) -> None:
        log.info('suspect.cleared', extra={'content': content.digest, 'source': source})


def _is_connection_refused(error: BrokenReplyError) -> bool:
    """Tell whether nobody listens there any more; a timeout says less."""
    return isinstance(error.__cause__, ConnectionRefusedError)
