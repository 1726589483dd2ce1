"""Messages between instances: datagrams for counts and notices, streams for requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec
from gevent import socket
from gevent.server import StreamServer
from gevent.socket import wait_read

from citrondyke.errors.broken_reply import BrokenReplyError
from citrondyke.gateway.failure_log import FailureLog
from citrondyke.gateway.peers.peer_codec import (
    BatchNeeds,
    CrashNews,
    EvidenceNews,
    JobChanged,
    KnowledgeWanted,
    ListOffered,
    ListTold,
    LoadNotice,
    LoadTotals,
    OriginAsked,
    OriginTold,
    PeerMessage,
    PeerText,
    StoreAnswerData,
    StoreCallData,
    StreamOrigins,
    decode_message,
    encode_message,
)
from citrondyke.gateway.peers.relayed_table import StoreAnswer, StoreCall, perform
from citrondyke.gateway.peers.server_list_read_delegation import ServerListReadDelegation
from citrondyke.gateway.peers.store_state_exchange import STORE_UNRESPONSIVE_MS, StoreStateExchange
from citrondyke.gateway.sockets import connect, tune
from citrondyke.ids import InstanceId
from citrondyke.storage.failure import PlatformFailureReason
from citrondyke.util.decoding import decode_msgpack
from citrondyke.util.frames import read_frame, write_frame

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.batch.takeover import InstanceLiveness
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.crashes.suspect_registry import SuspectRegistry
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.peers.membership import Membership
    from citrondyke.gateway.peers.peer_traffic import PeerTraffic
    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.gateway.replication.replicated_state import ReplicatedState
    from citrondyke.gateway.streams.origin_exchange import OriginExchange
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import AvailabilityZone, JobId
    from citrondyke.storage.partitioned_table import PartitionedTable

__all__ = ('Peers',)

log = logbook.Logger(__name__)

STREAM_TIMEOUT_S = 1.5
#: Peers that are tried in turn to relay one call of the store.
RELAY_ATTEMPTS = 2
CONNECT_TIMEOUT_MS = 300.0
FRAME_LIMIT_BYTES = 16 * 1024 * 1024
DATAGRAM_LIMIT_BYTES = 65_535
#: Interval of noting that no datagram waits.
IDLE_CHECK_MS = 100.0
#: Datagrams that are received before other greenlets run.
DATAGRAMS_PER_TURN = 64


class Peers:
    """Sends messages to the other instances, and receives theirs."""

    def __init__(
        self,
        context: Context,
        port: int,
        seed_ips: tuple[str, ...],
        membership: Membership,
        replicated: ReplicatedState,
        store: Dependency,
        suspects: SuspectRegistry,
        on_loads: Callable[[InstanceId, LoadNotice | LoadTotals], None],
        on_job: Callable[[JobId], None],
        on_crash: Callable[[InstanceId, CrashNews], None],
        on_demand: Callable[[InstanceId, BatchNeeds], None],
        on_evidence: Callable[[InstanceId, EvidenceNews], None],
        origins: OriginExchange,
        table: PartitionedTable,
        traffic: PeerTraffic,
        liveness: InstanceLiveness,
        metrics: Metrics,
        store_interval_factor: Callable[[], float],
        batch_window_ms: Callable[[], float],
        tasks: Tasks,
    ) -> None:
        """Open no sockets; ``start`` does.

        :param on_loads: called with a peer's request counts.
        :param on_job: called when a job's head has changed.
        :param on_crash: called with a peer's updates of poison suspects.
        :param on_demand: called with a peer's batch demand.
        :param on_evidence: called with a peer's outcome counts of servers.
        :param origins: receives the origins of streams that peers publish or ask for.
        :param table: direct access to the store, for calls that are relayed for peers.
        :param traffic: counts sent messages.
        :param liveness: tells which peers count as dead.
        :param store_interval_factor: returns the factor by which the intervals between store calls
            are longer than in a small fleet.
        :param batch_window_ms: returns the time for which received datagrams may wait to be
            processed together; 0 to process each at once.
        """
        self._context = context
        self._batch_window_ms = batch_window_ms
        self._port = port
        self.seed_ips = seed_ips
        self._membership = membership
        self._replicated = replicated
        self._store = store
        self._on_loads = on_loads
        self._on_job = on_job
        self._on_crash = on_crash
        self._on_demand = on_demand
        self._on_evidence = on_evidence
        self._origins = origins
        self._table = table
        self._tasks = tasks
        #: When no datagram waited last; each one that is read now arrived after it.
        self._drained_ms = context.now_ms()
        self._failures = FailureLog(context.clock, 'peer.message')
        metrics.add_gauge('peer_messages_failed_total', lambda: float(self._failures.count))
        self._streams: StreamServer | None = None
        self._datagrams: socket.socket | None = None
        self._receiver: socket.socket | None = None
        self.store_state = StoreStateExchange(
            context,
            lambda: self.seed_ips,
            membership,
            replicated,
            store,
            suspects,
            self._exchange,
            store_interval_factor,
            lambda: self.list_read_delegation.is_first_read_delayed,
            tasks,
        )
        self._traffic = traffic
        self.list_read_delegation = ServerListReadDelegation(
            context, membership, liveness, replicated, metrics, self.send, self._exchange, tasks
        )

    def start(self, ip: str) -> None:
        """Open the sockets, and start the background tasks."""
        self._datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._datagrams.bind((ip, self._port))
        # On this duplicate socket reads never block, while sends still wait for buffer space.
        self._receiver = socket.fromfd(self._datagrams.fileno(), socket.AF_INET, socket.SOCK_DGRAM)
        self._receiver.setblocking(False)
        self._streams = StreamServer((ip, self._port), self._on_stream)
        self._streams.start()
        self.store_state.start()
        self._tasks.supervise(self._run_datagrams)
        self._tasks.supervise(self._traffic.run)

    def stop(self) -> None:
        """Close the sockets."""
        for sock in (self._datagrams, self._receiver):
            if sock is not None:
                sock.close()
        if self._streams is not None:
            self._streams.stop()

    def relay(self, call: StoreCall) -> StoreAnswer:
        """Have a peer make a call of the store, preferably one in the local zone."""
        peers = list(self._membership.peers.values())
        self._context.random.shuffle(peers)
        peers.sort(key=lambda heartbeat: heartbeat.zone != self._context.zone)
        failure = PlatformFailureReason.UNAVAILABLE
        for heartbeat in peers[:RELAY_ATTEMPTS]:
            data = StoreCallData(msgspec.msgpack.encode(call))
            try:
                message = self._exchange(heartbeat.ip, data)
                if isinstance(message.text, StoreAnswerData):
                    answer = decode_msgpack(message.text.data, StoreAnswer)
                    if answer.failure is not PlatformFailureReason.UNAVAILABLE:
                        return answer
            except BrokenReplyError as error:
                log.info('peer.silent', extra={'ip': heartbeat.ip, 'detail': error.message})
            except (OSError, ValueError) as error:
                # The peer was reached and may have made the call.
                failure = PlatformFailureReason.AMBIGUOUS
                log.info('peer.silent', extra={'ip': heartbeat.ip, 'detail': str(error)[:200]})
        return StoreAnswer(failure=failure)

    def ask_origin(self, peer: InstanceId, asked: OriginAsked) -> OriginTold | None:
        """Ask a peer for the origin of a stream; ``None`` if it does not answer."""
        heartbeat = self._membership.peers.get(peer)
        if heartbeat is None:
            return None
        try:
            text = self._exchange(heartbeat.ip, asked).text
        except (BrokenReplyError, OSError, ValueError) as error:
            log.info('peer.silent', extra={'ip': heartbeat.ip, 'detail': str(error)[:200]})
            return None
        return text if isinstance(text, OriginTold) else None

    def notify_job_changed(self, job_id: JobId, owner: InstanceId) -> None:
        """Notify a job's owner that its head has changed.

        Without the notification the owner would notice within a second.
        """
        self.send(JobChanged(job_id), [owner])

    def send(self, text: PeerText, recipients: list[InstanceId]) -> None:
        """Send a datagram to some peers; unknown ones are skipped.

        A message that cannot be encoded is dropped like one that the network loses. The publishers
        take all messages that are due from their queues before they send them, so that an exception
        would lose the others too.
        """
        try:
            data = encode_message(self._message(text))
        except Exception:
            self._failures.record_failure('send', kind=type(text).__name__)
            return
        zones: list[AvailabilityZone | None] = []
        for recipient in recipients:
            heartbeat = self._membership.peers.get(recipient)
            if heartbeat is None or self._datagrams is None:
                continue
            zones.append(heartbeat.zone)
            try:
                self._datagrams.sendto(data, (heartbeat.ip, heartbeat.peer_port))
            except OSError as error:
                log.info(
                    'peer.send_failed', extra={'peer': recipient, 'detail': type(error).__name__}
                )
        self._traffic.record_sent(text, len(data), zones)

    def _message(self, text: PeerText) -> PeerMessage:
        return PeerMessage(self._context.instance_id, self._replicated.config.table.version, text)

    def receive_pending(self) -> None:
        """Process the datagrams that have arrived, before a decision that depends on them."""
        if self._receiver is not None and self._batch_window_ms() > 0:
            # A request that is about to be sent must not fail with the socket.
            self._failures.attempt('receive', self._receive_datagrams, self._receiver)

    def _run_datagrams(self) -> None:
        """Process datagrams as they arrive, or in a large fleet several at an interval.

        gevent's ``DatagramServer`` starts a greenlet for each of the hundreds of datagrams that
        arrive per second. That costs 15.7 us of processor time per datagram instead of 3.7 us (mean
        of 10,000 datagrams within one process, without the cost of sending).
        """
        if self._receiver is None:
            return
        while True:
            batch_window_ms = self._batch_window_ms()
            if batch_window_ms > 0:
                gevent.sleep(batch_window_ms / 1e3)
            else:
                with gevent.Timeout(IDLE_CHECK_MS / 1e3, False):
                    wait_read(self._receiver.fileno())
            while self._receive_datagrams(self._receiver) == DATAGRAMS_PER_TURN:
                gevent.sleep(0)

    def _receive_datagrams(self, receiver: socket.socket) -> int:
        """Process datagrams that have arrived, at most ``DATAGRAMS_PER_TURN``; return the count."""
        for count in range(DATAGRAMS_PER_TURN):
            try:
                data, address = receiver.recvfrom(DATAGRAM_LIMIT_BYTES)
            except BlockingIOError:
                self._drained_ms = self._context.now_ms()
                return count
            try:
                self._on_datagram(data, address[0])
            except Exception:
                # One message must cost neither the others nor the request that needs them.
                self._failures.record_failure('datagram', ip=address[0], size_bytes=len(data))
            else:
                self._failures.record_success('datagram')
        return DATAGRAMS_PER_TURN

    def _on_datagram(self, data: bytes, ip: str) -> None:
        try:
            message = decode_message(data)
        except ValueError as error:
            log.info('peer.unreadable', extra={'ip': ip, 'detail': str(error)})
            return
        self.store_state.record_version(message.config_version, ip)
        text = message.text
        if isinstance(text, LoadNotice | LoadTotals):
            self._on_loads(message.sender, text)
        elif isinstance(text, BatchNeeds):
            self._on_demand(message.sender, text)
        elif isinstance(text, JobChanged):
            self._on_job(text.job_id)
        elif isinstance(text, CrashNews):
            self._on_crash(message.sender, text)
        elif isinstance(text, ListTold | ListOffered):
            queued_ms = self._context.now_ms() - self._drained_ms
            self.list_read_delegation.on_message(message.sender, ip, text, queued_ms)
        elif isinstance(text, EvidenceNews):
            self._on_evidence(message.sender, text)
        elif isinstance(text, StreamOrigins):
            self._origins.on_records(text)

    def _exchange(self, ip: str, text: PeerText) -> PeerMessage:
        """Send a request to a peer over a stream, and return its response.

        :raises BrokenReplyError: if the peer was not reached.
        :raises OSError: if the peer may have received the request.
        """
        with connect(ip, self._port, CONNECT_TIMEOUT_MS) as sock:
            sock.settimeout(STREAM_TIMEOUT_S)
            self._write_frame(sock, ip, text)
            return self._read_frame(sock)

    def _on_stream(self, sock: socket.socket, address: tuple[str, int]) -> None:
        try:
            tune(sock)
            sock.settimeout(STREAM_TIMEOUT_S)
            message = self._read_frame(sock)
            if isinstance(message.text, KnowledgeWanted):
                state = self.store_state.answer(message.text, message.config_version)
                self._write_frame(sock, address[0], state)
            elif isinstance(message.text, ListTold):
                update = self.list_read_delegation.answer(message.text, message.config_version)
                self._write_frame(sock, address[0], update)
            elif isinstance(message.text, OriginAsked):
                # Records that have arrived may wait to be processed in a large fleet.
                self.receive_pending()
                self._write_frame(sock, address[0], self._origins.answer(message.text))
            elif isinstance(message.text, StoreCallData):
                call: StoreCall = decode_msgpack(message.text.data, StoreCall)  # type: ignore[arg-type]
                answer = self._perform(call)
                data = StoreAnswerData(msgspec.msgpack.encode(answer))
                self._write_frame(sock, address[0], data)
        except (OSError, ValueError) as error:
            log.info('peer.unreadable', extra={'ip': address[0], 'detail': str(error)[:200]})
        except Exception:
            self._failures.record_failure('request', ip=address[0])
        else:
            self._failures.record_success('request')
        finally:
            sock.close()

    def _perform(self, call: StoreCall) -> StoreAnswer:
        if self._store.unanswered_ms > STORE_UNRESPONSIVE_MS * 2:
            return StoreAnswer(failure=PlatformFailureReason.UNAVAILABLE)
        return perform(self._table, call)

    def _write_frame(self, sock: socket.socket, ip: str, text: PeerText) -> None:
        data = encode_message(self._message(text))
        peers = self._membership.peers.values()
        zone = next((heartbeat.zone for heartbeat in peers if heartbeat.ip == ip), None)
        self._traffic.record_sent(text, len(data), [zone])
        write_frame(sock, data)

    @staticmethod
    def _read_frame(sock: socket.socket) -> PeerMessage:
        return decode_message(read_frame(sock, FRAME_LIMIT_BYTES))
