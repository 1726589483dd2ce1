"""Exchange of rate limit messages with the stewards of accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec
from gevent import socket
from gevent.event import AsyncResult

from citrondyke.decisions.accounts.fleet_rate_limiter import (
    LimitVerdict,
    QuotaQuery,
    VerdictKind,
)
from citrondyke.decisions.accounts.limit_messages import UseAnswered
from citrondyke.decisions.accounts.overshoot_budget import GRANT_MS
from citrondyke.decisions.accounts.slot_lease import RENEW_MS
from citrondyke.decisions.reservations.reservations import ReservationCounts
from citrondyke.gateway.accounts.advance_grant_store import AdvanceGrantStore
from citrondyke.gateway.failure_log import FailureLog
from citrondyke.gateway.peers.peer_codec import (
    LimitText,
    PeerMessage,
    decode_message,
    encode_message,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.accounts.advance_grant_records import AdvanceGrantStoreCall
    from citrondyke.decisions.accounts.limit_messages import Addressed, LimitMessage, UseNeed
    from citrondyke.decisions.accounts.steward_rate_limiter import StewardRateLimiter
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.replicated_config import ReplicatedConfig
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.peers.membership import Membership
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import InstanceId
    from citrondyke.storage.partitioned_table import PartitionedTable

__all__ = ('LimitExchange',)

log = logbook.Logger(__name__)

#: A replica that hasn't answered within this time counts as unresponsive. That is some tens of
#: round trips between availability zones, and a tenth of the time in which a caller expects an
#: answer.
QUERY_TIMEOUT_MS = 40.0
#: Datagrams may be lost, so unresponsive replicas are queried once more before the verdict is
#: "unknown".
QUERY_ROUNDS = 2
DATAGRAM_LIMIT_BYTES = 65_535
#: Interval between checks whether an account has a limit.
IDLE_POLL_MS = 1_000.0
#: Interval between lease requests of a newly started incarnation. Requests are rejected until there
#: is a steward.
STARTUP_RENEW_MS = 50.0
#: Requests of one instance that wait for their start: each holds its body and a connection.
WAITING_REQUESTS_LIMIT = 100
RESERVATIONS_LOG_MS = 1_000.0
#: Offset from the port for other messages between instances. In a large fleet those may stay unread
#: for a while, but a caller is waiting for the messages on this port.
LIMIT_PORT_OFFSET = 1


class LimitExchange:
    """Exchanges use queries, leases and floors with peers over a separate UDP port."""

    def __init__(
        self,
        context: Context,
        limits: StewardRateLimiter,
        config: ReplicatedConfig,
        membership: Membership,
        metrics: Metrics,
        peer_port: int,
        tasks: Tasks,
        table: PartitionedTable,
    ) -> None:
        """Initialize the exchange; nothing is sent before :meth:`start`."""
        self._context = context
        self._limits = limits
        self._config = config
        self._membership = membership
        self._metrics = metrics
        self._limit_port = peer_port + LIMIT_PORT_OFFSET
        self._tasks = tasks
        self._socket: socket.socket | None = None
        self._pending_queries: dict[int, AsyncResult] = {}
        self._held_slots: tuple[int, ...] = ()
        self._advance_grant_store = AdvanceGrantStore(table)
        self._waiting_requests_count = 0
        self._logged_reservations = ReservationCounts()
        self._reservations_logged_ms = float('-inf')
        self._failures = FailureLog(context.clock, 'limit.message')
        metrics.add_gauge('limit_messages_failed_total', lambda: float(self._failures.count))
        for name in ('kept', 'taken', 'lapsed'):
            metrics.add_gauge(f'limit_places_{name}', self._count_of(name))

    def _count_of(self, name: str) -> Callable[[], float]:
        return lambda: float(getattr(self._limits.reservation_counts(), name))

    def start(self, ip: str) -> None:
        """Bind the socket, and start to receive messages and request leases."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, self._limit_port))
        self._tasks.supervise(self._run_receive)
        self._tasks.supervise(self._run_leases)

    def stop(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    def acquire_use(self, account: Account, need: UseNeed) -> LimitVerdict:
        """Return whether an account may send one more request; wait until it may begin.

        A grant that wasn't used in time is requested again, because the window in which it was
        counted may have ended.
        """
        if not account.has_limit:
            return self._limits.next_step(account, need, set())  # type: ignore[return-value]
        clock = self._context.clock
        if self._waiting_requests_count >= WAITING_REQUESTS_LIMIT:
            need = msgspec.structs.replace(need, may_wait_ms=0.0)
        while True:
            asked_ms = clock.fence_ms()
            verdict = self._resolve_verdict(account, need)
            if verdict.start_in_ms > 0.0:
                self._wait_for_start(verdict.start_in_ms - (clock.fence_ms() - asked_ms))
            late_ms = clock.fence_ms() - asked_ms - verdict.start_in_ms
            if verdict.kind is not VerdictKind.WITHIN or late_ms <= GRANT_MS:
                return self._record_verdict(account, verdict)
            log.info('limit.grant_lapsed', extra={'account': account.id, 'late_ms': late_ms})
            need = msgspec.structs.replace(need, left_ms=need.left_ms - late_ms, may_wait_ms=0.0)

    def _wait_for_start(self, for_ms: float) -> None:
        self._waiting_requests_count += 1
        try:
            gevent.sleep(max(0.0, for_ms) / 1e3)
        finally:
            self._waiting_requests_count -= 1

    def _resolve_verdict(self, account: Account, need: UseNeed) -> LimitVerdict:
        tried: set[InstanceId] = set()
        rounds = 1
        while True:
            step = self._limits.next_step(account, need, tried)
            self._send_all(self._limits.pending_messages())
            self._spawn_store_calls()
            if isinstance(step, QuotaQuery):
                tried.add(step.receiver)
                answer = self._send_query(step)
                if answer is None:
                    self._limits.record_no_reply(account, step.receiver)
                    log.info('limit.keeper_silent', extra={'peer': step.receiver})
                    continue
                verdict = self._limits.apply_answer(account, step.receiver, answer)
                if verdict is not None:
                    return verdict
            elif step.kind is VerdictKind.UNKNOWN and rounds < QUERY_ROUNDS:
                rounds += 1
                tried.clear()
            else:
                return step

    def _spawn_store_calls(self) -> None:
        for call in self._limits.advance_grant_calls():
            self._tasks.spawn(self._run_store_call, call)

    def _run_store_call(self, call: AdvanceGrantStoreCall) -> None:
        row = None
        try:
            row = self._advance_grant_store.run(call)
        finally:
            self._send_all(self._limits.apply_advance_grant_row(call, row))

    def held_slots(self) -> tuple[int, ...]:
        """Return the slots whose lease this instance holds."""
        return self._limits.held_slots()

    def _record_verdict(self, account: Account, verdict: LimitVerdict) -> LimitVerdict:
        if account.has_limit:
            self._metrics.record_account_verdict(account.id, verdict.kind.value)
            if verdict.is_kept:
                self._metrics.counters['limit_places_told'] += 1
            if verdict.start_in_ms > 0.0:
                self._metrics.counters['limit_places_waited_for'] += 1
        return verdict

    def _send_query(self, query: QuotaQuery) -> UseAnswered | None:
        result = self._pending_queries[query.number] = AsyncResult()
        try:
            if not self._send(query.receiver, query.message):
                return None
            answer = result.get(timeout=QUERY_TIMEOUT_MS / 1e3)
        except gevent.Timeout:
            return None
        finally:
            self._pending_queries.pop(query.number, None)
        return answer if isinstance(answer, UseAnswered) else None

    def _run_receive(self) -> None:
        while self._socket is not None:
            data, address = self._socket.recvfrom(DATAGRAM_LIMIT_BYTES)
            try:
                self._on_datagram(data, address[0])
            except Exception:
                # Callers wait for the answers that come after this message.
                self._failures.record_failure('datagram', ip=address[0], size_bytes=len(data))
            else:
                self._failures.record_success('datagram')

    def _on_datagram(self, data: bytes, ip: str) -> None:
        try:
            message = decode_message(data)
        except ValueError as error:
            log.info('peer.unreadable', extra={'ip': ip, 'detail': str(error)})
            return
        if isinstance(message.text, LimitText):
            self._on_message(message.sender, message.text)

    def _on_message(self, sender: InstanceId, text: LimitText) -> None:
        message = text.message
        if not isinstance(message, UseAnswered):
            self._send_all(self._limits.on_message(sender, message))
            self._spawn_store_calls()
            return
        pending = self._pending_queries.get(message.number)
        if pending is not None:
            pending.set(message)

    def _run_leases(self) -> None:
        while True:
            has_limits = self._config.table.has_limits
            pause_ms = self._pause_ms() if has_limits else IDLE_POLL_MS
            gevent.sleep(self._context.jittered_ms(pause_ms, share=0.1) / 1e3)
            if has_limits:
                self._send_all(self._limits.tick())
                self._spawn_store_calls()
            held = self._limits.held_slots()
            if held != self._held_slots:
                self._held_slots = held
                log.info('limit.slots', extra={'held': held, 'known': self._membership.count})
            self._log_reservations()

    def _log_reservations(self) -> None:
        """Log changed reservation counts, at most once per second."""
        now_ms = self._context.now_ms()
        if now_ms < self._reservations_logged_ms + RESERVATIONS_LOG_MS:
            return
        self._reservations_logged_ms = now_ms
        counts = self._limits.reservation_counts()
        if counts != self._logged_reservations:
            self._logged_reservations = counts
            extra = {'kept': counts.kept, 'taken': counts.taken, 'lapsed': counts.lapsed}
            log.info('limit.places', extra=extra)

    def _pause_ms(self) -> float:
        """Return the interval between lease requests, which is short after a start."""
        return STARTUP_RENEW_MS if self._limits.is_newly_started else RENEW_MS

    def _send_all(self, addressed: list[Addressed]) -> None:
        for each in addressed:
            self._send(each.receiver, each.message)

    def _send(self, receiver: InstanceId, message: LimitMessage) -> bool:
        peer = self._membership.peers.get(receiver)
        if peer is None or self._socket is None:
            return False
        version = self._config.table.version
        text = PeerMessage(self._context.instance_id, version, LimitText(message))
        try:
            self._socket.sendto(encode_message(text), (peer.ip, peer.peer_port + LIMIT_PORT_OFFSET))
        except OSError as error:
            log.info('peer.send_failed', extra={'peer': receiver, 'detail': type(error).__name__})
            return False
        return True
