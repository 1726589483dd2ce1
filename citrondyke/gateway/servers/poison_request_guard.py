"""Detects requests and prompt parts that crash servers, and stops further requests with them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook

from citrondyke.decisions.crashes.probe_policy import ONLINE_PROBES
from citrondyke.decisions.crashes.response_phase import is_past_start
from citrondyke.decisions.crashes.server_exit_detector import InterruptedRequest, ServerExitDetector
from citrondyke.decisions.crashes.suspect_registry import (
    SuspectRegistry,
    SuspectStatus,
    SuspectVerdict,
)
from citrondyke.decisions.crashes.suspect_update_queue import SuspectNews, SuspectUpdateKind
from citrondyke.decisions.forwarding.server_registry import server_digest
from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.peers.suspect_publisher import SuspectPublisher
from citrondyke.gateway.sockets import connect

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.crashes.probe_policy import ProbePolicy
    from citrondyke.decisions.crashes.suspect_key import RequestKeys, SuspectKey
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.peers.peer_codec import CrashNews, PeerText
    from citrondyke.gateway.servers.suspect_store import SuspectStore
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import InstanceId, RequestId

__all__ = ('PoisonRequestGuard',)

log = logbook.Logger(__name__)

#: Connect timeout of the exit check. A live server accepts a connection within some ms; a
#: partitioned one delays the request that waits for the check by no more than this.
EXIT_CHECK_MS = 100.0
#: Digests of one kind named in one line.
NAMED_LIMIT = 8


class PoisonRequestGuard:
    """Tracks what servers exit under, and gives verdicts on whether to send a request.

    Exits are counted by request content and by prompt part across all instances: through peers and
    through the store.
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

    def verdict_on(self, keys: RequestKeys, policy: ProbePolicy = ONLINE_PROBES) -> SuspectVerdict:
        """Return whether a request may be sent; its body is hashed only if it may be a suspect."""
        return self._suspects.verdict_on(keys, policy)

    def wait_until_known(self) -> None:
        """Wait until an instance that has just started knows the stored suspects.

        Otherwise it would send requests that are stopped everywhere else.
        """
        self._store.wait_until_read()

    def exits_count(self, key: SuspectKey) -> float:
        """Return the weighted number of servers that exited under a key."""
        return self._suspects.score(key)

    def claim_probe(self, key: SuspectKey, request_id: RequestId) -> bool:
        """Claim the probe of a suspect for a request; return whether this instance got it."""
        is_granted = self._store.claim_probe(key, ONLINE_PROBES) or (
            key.is_part and self._claim_alone(key, ONLINE_PROBES)
        )
        self._log_claim(key, {'request_id': request_id}, is_granted=is_granted)
        return is_granted

    def claim_item_probe(self, key: SuspectKey, item_id: str, policy: ProbePolicy) -> bool:
        """Claim the probe of a suspect for an item that this instance owns."""
        is_granted = self._store.claim_probe(key, policy) or self._claim_alone(key, policy)
        self._log_claim(key, {'item_id': item_id}, is_granted=is_granted)
        return is_granted

    def _log_claim(self, key: SuspectKey, who: dict[str, str], *, is_granted: bool) -> None:
        log.info(
            'suspect.trial',
            extra={
                **who,
                **_key_fields(key),
                'servers': round(self._suspects.score(key), 2),
                'granted': is_granted,
            },
        )

    def _claim_alone(self, key: SuspectKey, policy: ProbePolicy) -> bool:
        """Claim a probe while the store is away; one instance may do so.

        For a prompt part that is one of all instances: without it a sound part that was blocked
        with a harmful one would stay blocked until the store is back. An item has one owner.
        """
        is_due = self._suspects.status_of(key, policy) is SuspectStatus.PROBE_DUE
        if not (is_due and self._store.is_unresponsive):
            return False
        if key.is_part and not self._book.topology.is_first_registrar(key.digest):
            return False
        self._suspects.merge(self._suspects.probe_row(key, policy))
        self._store.save(key)
        return True

    def record_probe_refused(self, key: SuspectKey) -> None:
        """Record that no server ran a probe."""
        self._suspects.record_probe_refused(key)
        self._store.save(key)

    def record_survived(self, keys: RequestKeys) -> None:
        """Record a whole and successful response to a request; it clears the keys it has.

        Error responses don't count: a server may fail requests before it begins to run them. If
        such a probe cleared a suspect, the request would go on to crash three more servers.
        """
        self._suspects.record_answered(keys)
        for key in self._suspects.suspected_keys(keys):
            self._clear(key, 'own')

    def record_closed(self, state: ServerState, keys: RequestKeys) -> None:
        """Record a response that ended with its connection, as it also does at a server's exit."""
        if self._suspects.suspected_keys(keys):
            self._tasks.spawn(self._confirm_survived, state, keys)

    def _confirm_survived(self, state: ServerState, keys: RequestKeys) -> None:
        try:
            connect(state.listed.ip, state.listed.port, EXIT_CHECK_MS).close()
        except BrokenReplyError as error:
            log.info('server.unsure', extra={'server_id': state.listed.id, 'detail': error.message})
            return
        self.record_survived(keys)

    def _clear(self, key: SuspectKey, source: str) -> None:
        was_known = self.publisher.is_published_to_all(key)
        if self._suspects.record_survived(key):
            self._log_cleared(key, source)
            self.publisher.notify_survived(key, is_broadcast=was_known)
            self._store.save(key)

    def record_interrupted(
        self,
        state: ServerState,
        keys: RequestKeys,
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
        is_fresh = not is_past_start(first_event_ms, self._context.now_ms())
        if self._exit_detector.record_interrupted(
            server, keys.content, *keys.parts, is_fresh=is_fresh
        ):
            now_ms = self._context.now_ms()
            self._count_exits(
                server, [InterruptedRequest(keys.content, keys.parts, is_fresh, now_ms)]
            )
            return
        if kind is not ReplyFailureKind.CUT:
            return
        probe = self._exit_checks.get(server)
        if probe is None:
            probe = self._exit_checks[server] = self._tasks.spawn(self._check_exit, server, state)
        if may_wait:
            probe.join(EXIT_CHECK_MS / 1e3)

    def has_exited(self, state: ServerState) -> bool:
        """Return whether a server is known to have exited."""
        return self._exit_detector.has_exited(server_digest(state.listed))

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

    def on_message(self, sender: InstanceId, news: CrashNews) -> None:
        """Apply a message of a peer about exits and survived requests."""
        for each in news.news:
            if each.kind is SuspectUpdateKind.PROVEN:
                self._clear(each.key, 'proven')
            elif each.kind is SuspectUpdateKind.SURVIVED:
                if self._suspects.record_survived(each.key):
                    self._log_cleared(each.key, 'peer')
            else:
                self._count_reported(sender, each, news.server)
        if news.server:
            self._record_server_exit(news.server, 'peer')

    def _count_reported(self, sender: InstanceId, each: SuspectNews, server: int) -> None:
        if self._suspects.is_answered_now(each.key):
            self.publisher.notify_proven(each.key, sender)
        is_fresh = each.kind is SuspectUpdateKind.FRESH
        was_known = self.publisher.is_published_to_all(each.key)
        if self._suspects.record_server_exit(each.key, server, is_fresh=is_fresh, is_reported=True):
            self._log_counted(each.key, server, 'peer', is_fresh=is_fresh)
            self._publish_suspect(each.key, was_known=was_known)

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
            for key in each.keys:
                self._count_exit(server, key, is_fresh=each.is_fresh)

    def _count_exit(self, server: int, key: SuspectKey, *, is_fresh: bool) -> None:
        was_known = self.publisher.is_published_to_all(key)
        exits_before = self._suspects.exits(key)
        if not self._suspects.record_server_exit(key, server, is_fresh=is_fresh):
            return
        self._log_counted(key, server, 'own', is_fresh=is_fresh)
        self.publisher.notify_end(server, key, is_fresh=is_fresh)
        self._publish_unexcused(key, exits_before)
        self._publish_suspect(key, was_known=was_known)

    def _publish_unexcused(self, key: SuspectKey, exits_before: int) -> None:
        """Publish earlier exits that are no longer excused, so that no peer knows them."""
        if self._suspects.exits(key) > exits_before + 1:
            self.publisher.notify_all_ends(key)
        self._store.save(key)

    def _publish_suspect(self, key: SuspectKey, *, was_known: bool) -> None:
        """Publish a suspect to all peers if so far only its collecting instances knew of it."""
        if not was_known and self.publisher.is_published_to_all(key):
            self.publisher.notify_all_ends(key)
            self._store.save(key)

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
                'part_digests': [
                    key.digest for key in {key: None for each in broken for key in each.parts}
                ][:NAMED_LIMIT],
            },
        )

    def _log_counted(self, key: SuspectKey, server: int, source: str, *, is_fresh: bool) -> None:
        log.info(
            'suspect.counted',
            extra={
                **_key_fields(key),
                'server': f'{server:08x}',
                'is_fresh': is_fresh,
                'servers': round(self._suspects.score(key), 2),
                'standing': self._suspects.status_of(key).value,
                'source': source,
            },
        )

    def _log_cleared(self, key: SuspectKey, source: str) -> None:
        log.info('suspect.cleared', extra={**_key_fields(key), 'source': source})


def _key_fields(key: SuspectKey) -> dict[str, str]:
    return {'prompt_part' if key.is_part else 'content': key.digest}


def _is_connection_refused(error: BrokenReplyError) -> bool:
    """Whether the connection was refused: no process listens there. A timeout proves less."""
    return isinstance(error.__cause__, ConnectionRefusedError)
