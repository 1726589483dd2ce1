"""Records the origins of streams at peers, and finds the origin of a stream that is resumed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec
from gevent.queue import Empty, Queue

from citrondyke.decisions.streams.origin_evidence import OriginEvidence
from citrondyke.decisions.streams.origin_history import OriginHistory
from citrondyke.decisions.streams.origin_records import OriginRecord, OriginRecords
from citrondyke.decisions.streams.stream_origin import (
    OriginUnknownReason,
    OriginView,
    StreamOrigin,
    UnknownOrigin,
    infer_origin,
    stream_key,
)
from citrondyke.decisions.streams.version_split import Assignment
from citrondyke.gateway.peers.peer_codec import OriginAsked, OriginTold, StreamOrigins
from citrondyke.gateway.streams.origin_store import OriginStore
from citrondyke.gateway.streams.stream_exceptions import BegunStream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.replicated_config import ReplicatedConfig
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.decisions.streams.stored_origins import StoredOrigins
    from citrondyke.gateway.callers.forwarded_request import ForwardedRequest
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.peers.peer_codec import PeerText
    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.gateway.replication.list_evidence import ListEvidence
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import InstanceId, RequestId, ServiceName
    from citrondyke.storage.partitioned_table import PartitionedTable

__all__ = ('OriginExchange',)

log = logbook.Logger(__name__)

#: Peers that keep the record of a stream. If its instance is lost together with three of nine
#: others, one stream in 84 loses all of its records.
HOLDERS_COUNT = 3
#: Peers that are asked if the likely holders have no record: instances that know different peers
#: choose different holders.
ASKED_COUNT = 9
#: Time for the answers of peers; an answer takes a few ms.
ANSWERS_WITHIN_MS = 150.0
#: Time for which a caller may resume a stream after the end of its time.
RESUME_MARGIN_MS = 1_000.0
#: Interval of storing the streams that splits leave open; it grows beyond so many instances.
SAVE_EVERY_MS = 250.0
SAVING_INSTANCES_COUNT = 10
#: Records in one datagram of at most 1,400 bytes.
RECORDS_PER_DATAGRAM = 16
#: Share of the asked peers that must answer to prove that no version is missing, while the store
#: doesn't respond. A zone or a few instances that are cut off together reach fewer.
VOUCHING_SHARE = 2 / 3
#: Calls of the store without an answer for this long: a caller would wait for a read until its
#: timeout, only to be refused.
STORE_UNRESPONSIVE_MS = 300.0


class _OwnStream(msgspec.Struct):
    """Stream that this instance has relayed events of."""

    origin: StreamOrigin
    host: str
    path: str
    is_published: bool = False


class OriginExchange:
    """Keeps the origins of streams for callers that resume them at any instance.

    While a route can have only one origin, streams are remembered locally and nothing is sent. Once
    a second version is listed, the streams so far and each new one are published to a few peers
    before the caller receives the first event.
    """

    def __init__(
        self,
        context: Context,
        book: ServerRegistry,
        config: ReplicatedConfig,
        store: Dependency,
        table: PartitionedTable,
        is_fleet_known: Callable[[], bool],
        evidence: ListEvidence,
        metrics: Metrics,
        tasks: Tasks,
    ) -> None:
        """Start without records.

        :param store: tracks whether the store answers.
        :param is_fleet_known: returns whether the list of instances was received.
        :param evidence: tells how current the server list is.
        """
        self._evidence = evidence
        self._context = context
        self._book = book
        self._config = config
        self._store = store
        self._metrics = metrics
        self._tasks = tasks
        self._history = OriginHistory(context)
        #: Versions of each service, in the store.
        self.versions = OriginStore(context, table, book, self._history, is_fleet_known, store)
        self._records = OriginRecords(context)
        self._own: dict[int, _OwnStream] = {}
        self._send: Callable[[PeerText, list[InstanceId]], None] = _send_nothing
        self._ask: Callable[[InstanceId, OriginAsked], OriginTold | None] = _ask_nobody

    def start(
        self,
        send: Callable[[PeerText, list[InstanceId]], None],
        ask: Callable[[InstanceId, OriginAsked], OriginTold | None],
    ) -> None:
        """Follow the server list, and exchange origins with peers.

        :param send: sends a datagram to some peers.
        :param ask: asks one peer, and returns its answer or ``None``.
        """
        self._send, self._ask = send, ask
        self._book.on_replaced(self.update)
        self.versions.start(self._tasks)
        self._tasks.supervise(self._run_saves)

    def update(self) -> None:
        """Apply the current server list and configuration, and publish what became ambiguous."""
        self._update_history()
        for key in [key for key in self._own if not self._records.left_ms(key)]:
            del self._own[key]
        self._publish(
            {
                key: stream
                for key, stream in self._own.items()
                if not stream.is_published and self._is_ambiguous(stream)
            }
        )

    def _run_saves(self) -> None:
        while True:
            factor = max(1.0, self._book.topology.instances_count / SAVING_INSTANCES_COUNT)
            gevent.sleep(self._context.jittered_ms(SAVE_EVERY_MS * factor) / 1e3)
            self.save_uncertain()

    def save_uncertain(self) -> None:
        """Store where own streams began if the splits leave that open."""
        if not self._history.has_several_versions:
            return
        self.versions.save_uncertain(
            [
                BegunStream(key, stream.origin, self._records.left_ms(key))
                for key, stream in self._own.items()
                if stream.origin.version and self._records.left_ms(key)
            ]
        )

    def record(self, forwarded: ForwardedRequest, origin: StreamOrigin) -> None:
        """Record the origin of a stream; call it before the caller receives the first event."""
        request, life_ms = forwarded.request, self._life_ms(forwarded)
        key = stream_key(forwarded.stream_id)
        self._records.add(key, origin, life_ms)
        stream = self._own[key] = _OwnStream(origin, request.host, request.path)
        if not self._is_ambiguous(stream):
            return
        self._publish({key: stream})
        if not self._is_covered(key, origin):
            self.versions.save_exception(key, origin, life_ms)

    def assigned_origin(
        self, forwarded: ForwardedRequest, service: ServiceName
    ) -> StreamOrigin | Assignment:
        """Return the origin that must begin a new stream."""
        version = self.versions.assigned_version(service, stream_key(forwarded.stream_id))
        return version if isinstance(version, Assignment) else StreamOrigin(service, version)

    def may_begin(self, forwarded: ForwardedRequest, origin: StreamOrigin) -> bool:
        """Return whether a stream may begin at an origin that is not the assigned one.

        After a loss of all instances it would be continued at the assigned one, unless it is stored
        before that it is an exception.
        """
        key = stream_key(forwarded.stream_id)
        return self._is_covered(key, origin) or self.versions.save_exception(
            key, origin, self._life_ms(forwarded)
        )

    def _is_covered(self, key: int, origin: StreamOrigin) -> bool:
        """Return whether the store tells the origin of a stream."""
        assigned = self.versions.assigned_version(origin.service, key)
        return assigned in (Assignment.ANY, origin.version)

    @staticmethod
    def _life_ms(forwarded: ForwardedRequest) -> float:
        within_ms = forwarded.metadata.within_ms or 0.0
        return max(forwarded.route.timeout_ms, within_ms) + RESUME_MARGIN_MS

    def resolve(self, forwarded: ForwardedRequest) -> StreamOrigin | UnknownOrigin:
        """Find the origin of a stream that a caller resumes."""
        started_ms = self._context.now_ms()
        since_ms = self._context.clock.fence_ms()
        self.update()
        services = self._history.services(forwarded.request.host, forwarded.request.path)
        view = self._history.view(services)
        begun_by = forwarded.metadata.begun_by
        found: StreamOrigin | UnknownOrigin | None = None
        evidence = OriginEvidence(view, self._history.covered_ms, self._store.unanswered_ms)
        source = 'own record'
        if begun_by is not None:
            found = self._records.find(stream_key(begun_by))
        if found is None and (begun_by is not None or not _is_certain(view)):
            source = 'peer'
            found, answers = self._ask_peers(begun_by, services)
            evidence.peer_views = [answer.view for answer in answers]
        if found is None:
            source = 'inferred'
            found = self._infer(evidence, services, begun_by, since_ms)
        self._log_resolved(forwarded, found, source, evidence, started_ms)
        return found

    def on_records(self, text: StreamOrigins) -> None:
        """Keep the records of a peer."""
        for record in text.records:
            self._records.add(record.key, record.origin, record.left_ms)
            self._history.observe(record.origin)

    def answer(self, asked: OriginAsked) -> OriginTold:
        """Answer a peer that looks for the origin of a stream."""
        self._update_history()
        return OriginTold(
            self._records.find(asked.key),
            self._records.left_ms(asked.key),
            self._history.view(asked.services),
        )

    def _update_history(self) -> None:
        confirmed_ms = self._evidence.list_confirmed_ms
        self._history.update(self._book.origins, self._config.table, confirmed_ms)

    def _is_ambiguous(self, stream: _OwnStream) -> bool:
        services = self._history.services(stream.host, stream.path) | {stream.origin.service}
        return len(self._history.origins(services)) > 1

    def _publish(self, streams: dict[int, _OwnStream]) -> None:
        by_recipient: dict[InstanceId, list[OriginRecord]] = {}
        for key, stream in streams.items():
            if not stream.origin.version:
                continue
            record = OriginRecord(
                key, stream.origin.service, stream.origin.version, self._records.left_ms(key)
            )
            # An instance that has just started knows no peers yet and publishes later.
            for recipient in self._book.topology.record_holders(str(key), HOLDERS_COUNT):
                stream.is_published = True
                by_recipient.setdefault(recipient, []).append(record)
        for recipient, records in by_recipient.items():
            self._metrics.counters['stream_origins_published'] += len(records)
            for start in range(0, len(records), RECORDS_PER_DATAGRAM):
                self._send(
                    StreamOrigins(records[start : start + RECORDS_PER_DATAGRAM]), [recipient]
                )

    def _ask_peers(
        self, begun_by: RequestId | None, services: Iterable[ServiceName]
    ) -> tuple[StreamOrigin | None, list[OriginTold]]:
        """Ask the likely holders of a record, then more peers; the first record ends the search."""
        key = 0 if begun_by is None else stream_key(begun_by)
        asked = OriginAsked(key, sorted(services))
        peers = self._book.topology.record_holders(str(key), ASKED_COUNT)
        answers: list[OriginTold] = []
        for group in (peers[:HOLDERS_COUNT], peers[HOLDERS_COUNT:]):
            for answer in self._answers_of(group, asked):
                answers.append(answer)
                if begun_by is not None and answer.origin is not None:
                    self._records.add(key, answer.origin, answer.left_ms)
                    return self._records.find(key), answers
        return None, answers

    def _answers_of(self, peers: Sequence[InstanceId], asked: OriginAsked) -> Iterable[OriginTold]:
        until_ms = self._context.now_ms() + ANSWERS_WITHIN_MS
        answers: Queue[OriginTold | None] = Queue()
        for peer in peers:
            self._tasks.spawn(lambda peer=peer: answers.put(self._ask(peer, asked)))
        for _ in peers:
            try:
                answer = answers.get(timeout=max(0.0, (until_ms - self._context.now_ms()) / 1e3))
            except Empty:
                return
            if answer is not None:
                yield answer

    def _infer(
        self,
        evidence: OriginEvidence,
        services: frozenset[ServiceName],
        begun_by: RequestId | None,
        since_ms: float,
    ) -> StreamOrigin | UnknownOrigin:
        """Infer the origin of a stream without a record.

        :param since_ms: when its caller asked for the rest, by the fence clock. Where it began, its
            server was listed before.
        """
        views = [evidence.view, *evidence.peer_views]
        inferred = infer_origin(views, is_confirmed=True)
        if inferred == UnknownOrigin(OriginUnknownReason.NOT_COVERED):
            stored = self._load_stored(evidence, services)
            if stored is not None and stored.view is not None:
                views.append(stored.view)
                inferred = infer_origin(views, is_confirmed=True)
        if isinstance(inferred, StreamOrigin):
            is_confirmed = self._is_confirmed(len(evidence.peer_views), since_ms)
            self.update()
            # The read may have brought another version.
            views.append(self._history.view(services))
            inferred = infer_origin(views, is_confirmed=is_confirmed)
        if isinstance(inferred, StreamOrigin) or begun_by is None:
            return inferred
        stored = self._load_stored(evidence, services)
        found = None if stored is None else stored.find(stream_key(begun_by))
        # Rows without any listed version are stale.
        is_listed = any(found in each.origins for each in views)
        if found is not None and is_listed:
            return found
        is_vouched = self._is_vouched(len(evidence.peer_views))
        if inferred.reason is OriginUnknownReason.SEVERAL and not is_vouched:
            # Those that have the record were not reached.
            return UnknownOrigin(OriginUnknownReason.NOT_CONFIRMED)
        return inferred

    def _load_stored(
        self, evidence: OriginEvidence, services: frozenset[ServiceName]
    ) -> StoredOrigins | None:
        """Read what is stored on the origins of streams, once; ``None`` without an answer."""
        if evidence.stored is None and self._store.unanswered_ms < STORE_UNRESPONSIVE_MS:
            evidence.stored = self.versions.load(services)
        return evidence.stored

    def _is_confirmed(self, answers_count: int, since_ms: float) -> bool:
        """Return whether no version can be missing.

        An instance that is cut off from its peers, or has stood still, may lack the newest one. A
        read that began after the caller asked shows it. While the store is away from the whole
        fleet, nobody knows a newer one.
        """
        return self._evidence.confirm_list_since(since_ms) or self._is_vouched(answers_count)

    def _is_vouched(self, answers_count: int) -> bool:
        """Return whether enough peers answered to prove that something is unknown to all."""
        asked_count = min(ASKED_COUNT, len(self._book.topology.all_peers()))
        return not asked_count or answers_count > VOUCHING_SHARE * asked_count

    def _log_resolved(
        self,
        forwarded: ForwardedRequest,
        found: StreamOrigin | UnknownOrigin,
        source: str,
        evidence: OriginEvidence,
        started_ms: float,
    ) -> None:
        is_known = isinstance(found, StreamOrigin)
        self._metrics.counters['streams_resumed' if is_known else 'streams_origin_unknown'] += 1
        log.info(
            'stream.origin',
            extra={
                'request_id': forwarded.metadata.request_id,
                'begun_by': forwarded.metadata.begun_by,
                'last_event_id': forwarded.metadata.last_event_id,
                'version': found.version if isinstance(found, StreamOrigin) else None,
                'service': found.service if isinstance(found, StreamOrigin) else None,
                'source': source,
                'reason': found.reason.value if isinstance(found, UnknownOrigin) else None,
                **evidence.log_fields(),
                'within_ms': forwarded.metadata.within_ms,
                'took_ms': round(self._context.now_ms() - started_ms, 1),
            },
        )


def _is_certain(view: OriginView) -> bool:
    return view.is_complete and len(view.origins) == 1


def _send_nothing(_: PeerText, __: list[InstanceId]) -> None:
    """Do nothing; the default until peers are set."""


def _ask_nobody(_: InstanceId, __: OriginAsked) -> OriginTold | None:
    """Return no answer; the default until peers are set."""
    return None
