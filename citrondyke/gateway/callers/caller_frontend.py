"""Frontend for callers: reads requests, finds their route and dispatches them."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec

from citrondyke.decisions.accounts.account import NoAccount
from citrondyke.decisions.forwarding.overload_detector import OverloadDetector
from citrondyke.decisions.forwarding.route import RouteKind
from citrondyke.decisions.forwarding.route_table import NoRoute
from citrondyke.errors.bad_request_head import BadRequestHeadError
from citrondyke.errors.caller_gone import CallerGoneError
from citrondyke.errors.instance_stopping import InstanceStoppingError
from citrondyke.errors.memory_full import MemoryFullError
from citrondyke.gateway.callers.caller_connection import CallerConnection
from citrondyke.gateway.sockets import reset, tune
from citrondyke.ids import RequestId

if TYPE_CHECKING:
    from gevent import socket

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.decisions.memory.byte_budget import ByteBudget
    from citrondyke.gateway.callers.caller_request import CallerRequest
    from citrondyke.gateway.callers.forwarder import Forwarder
    from citrondyke.gateway.callers.startup_gate import StartupGate
    from citrondyke.gateway.dialect import Dialect, RequestMetadata
    from citrondyke.gateway.jobs.job_acceptor import JobAcceptor
    from citrondyke.gateway.jobs.job_endpoint import JobEndpoint
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.replication.replica_refresher import ReplicaRefresher
    from citrondyke.gateway.replication.replicated_state import ReplicatedState

__all__ = ('CallerFrontend',)

log = logbook.Logger(__name__)

#: Retry time while the instance's configuration is not confirmed.
UNCONFIRMED_RETRY_MS = 200.0
NO_MEMORY_RETRY_MS = 300.0
#: Retry time of a stopping instance: the next attempt reaches another one.
STOPPING_RETRY_MS = 50.0


class CallerFrontend:
    """Serves the connections of callers."""

    def __init__(
        self,
        context: Context,
        replicated: ReplicatedState,
        dialect: Dialect,
        forwarder: Forwarder,
        acceptor: JobAcceptor,
        jobs: JobEndpoint,
        metrics: Metrics,
        gate: StartupGate,
        connections_limit: int,
        budget: ByteBudget,
        refresher: ReplicaRefresher,
    ) -> None:
        """Use the parts handed in.

        :param connections_limit: limit on open connections; further ones are closed unread.
        """
        self._context = context
        self._replicated = replicated
        self._dialect = dialect
        self._forwarder = forwarder
        self._intake = acceptor
        self._jobs = jobs
        self._metrics = metrics
        self._gate = gate
        self._limit = connections_limit
        self._budget = budget
        self._refresher = refresher
        self._overload = OverloadDetector()
        #: The open connections, each with the greenlet that serves it.
        self._open: dict[CallerConnection, gevent.Greenlet] = {}
        self.busy_count = 0
        self.is_stopping = False
        #: Requests that may not be repeated are rejected if their deadline is later.
        self._answers_until_ms = float('inf')

    @property
    def open_count(self) -> int:
        """Count the open connections."""
        return len(self._open)

    def on_connection(self, sock: socket.socket, _: object) -> None:
        """Serve one connection until it ends.

        One that this instance can't take is closed with its request unread, so that the caller
        knows that the request has not run, and tries another instance at once.
        """
        if len(self._open) >= self._limit or self._overload.is_overloaded:
            self._metrics.counters['connections_closed_unread'] += 1
            reset(sock)
            return
        connection = CallerConnection(
            self._context.clock,
            sock,
            lambda: self._replicated.config.table.limits,
            self._budget,
        )
        self._open[connection] = gevent.getcurrent()
        self._metrics.counters['caller_connections'] += 1
        try:
            tune(sock)
            self._serve(connection)
        except CallerGoneError:
            # The caller disconnected between two requests or while a response was sent.
            connection.abort()
        except (Exception, gevent.Timeout):
            self._metrics.counters['requests_failed_internally'] += 1
            log.exception('connection.failed')
            connection.abort()
        finally:
            connection.release_request()
            self._open.pop(connection, None)

    def record_lateness(self, late_ms: float) -> None:
        """Record how late a timer of the event loop fired."""
        if self._overload.record_sample(late_ms, self.busy_count):
            log.info(
                'connections.refused' if self._overload.is_overloaded else 'connections.taken',
                extra={
                    'late_ms': round(late_ms, 1),
                    'busy': self.busy_count,
                    'open': len(self._open),
                    'closed_unread': self._metrics.counters['connections_closed_unread'],
                },
            )

    def reject_after(self, answers_until_ms: float) -> None:
        """Reject further requests that this process may have to cut off at its end."""
        self._answers_until_ms = answers_until_ms

    def close_idle(self) -> None:
        """Close the connections on which no part of a request was received.

        A request that has arrived and was not read yet is still served.
        """
        for connection in list(self._open):
            if connection.is_idle and not connection.is_readable:
                connection.close_idle_connection()

    def end_requests(self) -> None:
        """Answer the requests in progress with errors, without waiting for their servers.

        Whoever gets a response knows whether the request may be repeated; a connection that the
        exit of the process closes says nothing.
        """
        for connection, greenlet in list(self._open.items()):
            if not connection.is_closed:
                greenlet.kill(InstanceStoppingError, block=False)

    def abort_all(self) -> None:
        """Reset all connections."""
        for connection in list(self._open):
            connection.abort()

    def _serve(self, connection: CallerConnection) -> None:
        while True:
            try:
                request = connection.read_request()
            except BadRequestHeadError as error:
                self._reject_bad_request(connection, error)
                return
            except MemoryFullError as error:
                self._reject_body(connection, error.request)
                return
            except InstanceStoppingError:
                connection.reject_unread(503)
                connection.close()
                return
            if request is None:
                connection.close()
                return
            self.busy_count += 1
            try:
                self._answer_or_fail(connection, request)
            finally:
                self.busy_count -= 1
                connection.release_request()
            if not connection.is_reusable:
                connection.close()
                return

    def _answer_or_fail(self, connection: CallerConnection, request: CallerRequest) -> None:
        """Answer a request, with an error if its handling raises an unexpected exception.

        A connection that is closed without a response leaves its caller to guess whether the
        request has run. The error promises nothing either, but it comes at once and is counted.
        """
        request_id = RequestId('')
        try:
            metadata = self._metadata(request)
            request_id = metadata.request_id
            self._answer(connection, request, metadata)
        except CallerGoneError:
            raise
        except InstanceStoppingError:
            headers = self._dialect.own_response_headers(request_id, None) if request_id else []
            connection.send_error(HTTPStatus.BAD_GATEWAY, headers)
        except (Exception, gevent.Timeout):
            self._metrics.counters['requests_failed_internally'] += 1
            detail = {'request_id': request_id, 'host': request.host, 'path': request.path}
            log.exception('request.failed', extra={**detail, 'phase': 'dispatch'})
            headers = self._dialect.own_response_headers(request_id, None) if request_id else []
            connection.send_error(HTTPStatus.INTERNAL_SERVER_ERROR, headers)

    def _metadata(self, request: CallerRequest) -> RequestMetadata:
        metadata = self._dialect.request_metadata(request)
        if metadata.request_id:
            return metadata
        request_id = RequestId(f'{self._context.random.getrandbits(64):016x}')
        return msgspec.structs.replace(metadata, request_id=request_id)

    def _answer(
        self, connection: CallerConnection, request: CallerRequest, metadata: RequestMetadata
    ) -> None:
        if self.is_stopping:
            connection.close_after_answer()
        if not self._replicated.is_complete:
            self._gate.wait(metadata.within_ms)
            if not self._replicated.config.table.version:
                self._answer_not_started(connection, request, metadata.request_id)
                return
        self._refresher.wait_until_current(metadata.within_ms)
        call = self._dialect.job_call(request)
        table = self._replicated.config.table
        if call is not None:
            is_public = table.has_public_batch(request.host)
            account = table.authenticate(metadata.key_digest, is_public=is_public)
            if isinstance(account, NoAccount):
                self._answer_no_account(connection, request, metadata, account)
            else:
                self._jobs.handle(connection, call, metadata, account)
            return
        route = table.find(request.host, request.path)
        if isinstance(route, NoRoute):
            self._answer_no_route(connection, request, metadata.request_id)
            return
        account = table.authenticate(metadata.key_digest, is_public=route.is_public)
        if isinstance(account, NoAccount):
            self._answer_no_account(connection, request, metadata, account)
        elif self._ends_too_late(request, metadata, route):
            self._answer_stopping(connection, request, metadata.request_id)
        elif route.kind is RouteKind.BATCH and request.method == b'POST':
            self._intake.submit(connection, request, metadata, route, account)
        else:
            self._forwarder.handle(connection, request, metadata, account, route)

    def _ends_too_late(
        self, request: CallerRequest, metadata: RequestMetadata, route: Route
    ) -> bool:
        if route.kind is RouteKind.IDEMPOTENT:
            # The error that ends it at the end of the process lets its caller repeat it.
            return False
        within_ms = min(route.timeout_ms, metadata.within_ms or route.timeout_ms)
        return request.arrived_ms + within_ms > self._answers_until_ms

    def _answer_stopping(
        self, connection: CallerConnection, request: CallerRequest, request_id: RequestId
    ) -> None:
        detail = {'host': request.host, 'path': request.path}
        self._log_rejected('request.stopping', request_id, 503, detail)
        self._send_own(connection, request_id, 503, STOPPING_RETRY_MS)

    def _answer_not_started(
        self, connection: CallerConnection, request: CallerRequest, request_id: RequestId
    ) -> None:
        detail = {'host': request.host, 'path': request.path}
        self._log_rejected('request.not_started', request_id, 503, detail)
        self._send_own(connection, request_id, 503, self._gate.retry_in_ms())

    def _answer_no_route(
        self, connection: CallerConnection, request: CallerRequest, request_id: RequestId
    ) -> None:
        status = self._status_if_certain(404)
        detail = {'host': request.host, 'path': request.path}
        self._log_rejected('request.no_route', request_id, status, detail)
        self._send_rejection(connection, request_id, status)

    def _answer_no_account(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        metadata: RequestMetadata,
        missing: NoAccount,
    ) -> None:
        self._metrics.counters['requests_no_account'] += 1
        status = self._status_if_certain(401)
        detail = {'host': request.host, 'path': request.path, 'reason': missing.reason.value}
        self._log_rejected('request.no_account', metadata.request_id, status, detail)
        self._send_rejection(connection, metadata.request_id, status)

    def _status_if_certain(self, status: int) -> int:
        """Return a status that is final for callers, or 503 if the configuration may be stale.

        An instance that has not read the store for a while may miss a route or a key that was added
        meanwhile. It responds 503 instead: the request has not run and may be retried.
        """
        is_confirmed = self._replicated.config.is_confirmed(self._context.now_ms())
        return status if self._replicated.is_complete and is_confirmed else 503

    def _log_rejected(
        self, kind: str, request_id: RequestId, status: int, detail: dict[str, str]
    ) -> None:
        config = self._replicated.config
        log.info(
            kind,
            extra={
                'request_id': request_id,
                **detail,
                'config_version': config.table.version,
                'confirmed_age_ms': round(min(config.age_ms(self._context.now_ms()), 1e9)),
                'status': status,
            },
        )

    def _send_rejection(
        self, connection: CallerConnection, request_id: RequestId, status: int
    ) -> None:
        retry_in_ms = UNCONFIRMED_RETRY_MS if status == HTTPStatus.SERVICE_UNAVAILABLE else None
        self._send_own(connection, request_id, status, retry_in_ms)

    def _send_own(
        self,
        connection: CallerConnection,
        request_id: RequestId,
        status: int,
        retry_in_ms: float | None,
    ) -> None:
        connection.send_whole(
            status, self._dialect.own_response_headers(request_id, retry_in_ms), b''
        )

    def _reject_body(self, connection: CallerConnection, request: CallerRequest) -> None:
        metadata = self._dialect.request_metadata(request)
        self._metrics.counters['requests_no_memory'] += 1
        log.info('request.no_memory', extra={'request_id': metadata.request_id})
        headers = self._dialect.own_response_headers(metadata.request_id, NO_MEMORY_RETRY_MS)
        connection.reject_unread(503, headers)
        connection.close()

    def _reject_bad_request(self, connection: CallerConnection, error: BadRequestHeadError) -> None:
        log.info('request.improper', extra={'status': error.status, 'detail': error.message})
        connection.reject_unread(error.status)
        connection.close()
