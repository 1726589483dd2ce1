"""Forwards an online request to servers until it has one response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import msgspec

from citrondyke.decisions.crashes.response_phase import is_past_start
from citrondyke.decisions.crashes.suspect_key import RequestKeys
from citrondyke.decisions.crashes.suspect_registry import SuspectStatus
from citrondyke.decisions.forwarding.failover_timeouts import EVENT_TIMEOUT_MS, FailoverTimeouts
from citrondyke.decisions.forwarding.route import RouteKind
from citrondyke.decisions.forwarding.send_history import SendHistory, SendOutcome
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.decisions.memory.byte_budget import HeldKind
from citrondyke.decisions.servers.baseline_latencies import BaselineLatencies
from citrondyke.decisions.streams.stream_origin import OriginUnknownReason, UnknownOrigin
from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.errors.caller_gone import CallerGoneError
from citrondyke.errors.instance_stopping import InstanceStoppingError
from citrondyke.gateway.callers.error_responder import DeferredFailure
from citrondyke.gateway.callers.forwarded_request import ForwardedRequest, RequestResult
from citrondyke.gateway.callers.held_answer import read_held_answer
from citrondyke.gateway.callers.stream_continuation import StreamContinuation
from citrondyke.gateway.servers.server_sends import SERVER_FAILURE
from citrondyke.util.http_status import is_successful

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.crashes.suspect_registry import SuspectVerdict
    from citrondyke.decisions.forwarding.replicated_config import ReplicatedConfig
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.decisions.memory.byte_budget import ByteBudget, HeldBytes
    from citrondyke.gateway.callers.admission_controller import AdmissionController, ChosenServer
    from citrondyke.gateway.callers.caller_connection import CallerConnection
    from citrondyke.gateway.callers.caller_request import CallerRequest
    from citrondyke.gateway.callers.error_responder import ErrorResponder
    from citrondyke.gateway.callers.request_log import RequestLog
    from citrondyke.gateway.dialect import Dialect, RequestMetadata
    from citrondyke.gateway.http_head import Headers
    from citrondyke.gateway.replication.replica_refresher import ReplicaRefresher
    from citrondyke.gateway.servers.poison_request_guard import PoisonRequestGuard
    from citrondyke.gateway.servers.server_connection import ServerConnection
    from citrondyke.gateway.servers.server_sends import OpenReply, ServerSends
    from citrondyke.gateway.streams.origin_exchange import OriginExchange

__all__ = ('Forwarder',)

#: Servers that may run one request with a suspected prompt part. If all evidence came from one
#: request, the sound parts of its prompt would be blocked with the harmful one, since no other
#: request is answered in between.
SUSPECT_RUNS_LIMIT = 2
#: Retry time for a stream whose origin an instance that is out of step doesn't know.
ORIGIN_RETRY_MS = 500.0
#: A list that was read within this time tells whether a version has servers. Callers whose version
#: is gone ask again and again; each of their requests must not cost a read.
LIST_RECENT_MS = 250.0


class Forwarder:
    """Sends requests to servers, retries those that may be repeated, and responds."""

    def __init__(
        self,
        context: Context,
        admission: AdmissionController,
        sends: ServerSends,
        guard: PoisonRequestGuard,
        dialect: Dialect,
        responder: ErrorResponder,
        log: RequestLog,
        config: ReplicatedConfig,
        budget: ByteBudget,
        origins: OriginExchange,
        refresher: ReplicaRefresher,
    ) -> None:
        """Use the parts handed in."""
        self._refresher = refresher
        self._origins = origins
        self._budget = budget
        self._context = context
        self._config = config
        self._admission = admission
        self._sends = sends
        self._guard = guard
        self._dialect = dialect
        self._responder = responder
        self._log = log
        self._timeouts = FailoverTimeouts()
        self._baselines = BaselineLatencies()
        self._streams = StreamContinuation(context, dialect, guard, log)

    def handle(
        self,
        caller: CallerConnection,
        request: CallerRequest,
        metadata: RequestMetadata,
        account: Account,
        route: Route,
    ) -> None:
        """Forward a request of an account and respond to it."""
        within_ms = min(route.timeout_ms, metadata.within_ms or route.timeout_ms)
        forwarded = ForwardedRequest(
            request=request,
            keys=RequestKeys(
                request.method,
                request.host,
                request.target,
                request.body,
                metadata.prompt_parts,
            ),
            metadata=metadata,
            account=account,
            route=route,
            config_version=self._config.table.version,
            history=SendHistory(route),
            until_ms=request.arrived_ms + within_ms,
            last_event_id=metadata.last_event_id,
        )
        caller.watch()
        try:
            end = self._answer(caller, forwarded)
        except CallerGoneError:
            caller.abort()
            end = RequestResult.CALLER_GONE
        finally:
            caller.stop_watching_disconnect()
        self._log.ended(forwarded, end)

    def _answer(self, caller: CallerConnection, forwarded: ForwardedRequest) -> RequestResult:
        try:
            return (
                self._reject_if_invalid(caller, forwarded)
                or self._stop_if_blocked(caller, forwarded)
                or self._find_origin(caller, forwarded)
                or self._serve(caller, forwarded)
            )
        except CallerGoneError:
            raise
        except InstanceStoppingError:
            if caller.has_whole_answer:
                return RequestResult.DONE
            return self._responder.answer_failed(caller, forwarded, None, is_out_of_time=False)
        except (Exception, gevent.Timeout):
            self._log.failed(forwarded)
            return self._responder.answer_internal_error(caller, forwarded)

    def _reject_if_invalid(
        self, caller: CallerConnection, forwarded: ForwardedRequest
    ) -> RequestResult | None:
        is_stream = forwarded.route.kind is RouteKind.STREAM
        if not (is_stream and forwarded.metadata.has_invalid_event_id):
            return None
        return self._responder.reject_invalid_event_id(caller, forwarded)

    def _find_origin(
        self, caller: CallerConnection, forwarded: ForwardedRequest
    ) -> RequestResult | None:
        """Find the origin of a stream that the caller resumes, or reject the request."""
        if not forwarded.resumes_stream:
            return None
        origin = self._origins.resolve(forwarded)
        if isinstance(origin, UnknownOrigin):
            # Another instance, or this one once it reaches the others, may know.
            is_unconfirmed = origin.reason is OriginUnknownReason.NOT_CONFIRMED
            retry_in_ms = ORIGIN_RETRY_MS if is_unconfirmed else None
            return self._responder.reject(
                caller, forwarded, RequestResult.ORIGIN_UNKNOWN, retry_in_ms
            )
        forwarded.origin = origin
        if self._admission.can_continue(forwarded):
            return None
        # The version may be newer than the list.
        since_ms = self._context.clock.fence_ms() - LIST_RECENT_MS
        is_gone = self._refresher.confirm_list_since(since_ms)
        if self._admission.can_continue(forwarded):
            return None
        retry_in_ms = None if is_gone else ORIGIN_RETRY_MS
        return self._responder.reject(caller, forwarded, RequestResult.ORIGIN_GONE, retry_in_ms)

    def _serve(self, caller: CallerConnection, forwarded: ForwardedRequest) -> RequestResult:
        history = forwarded.history
        failure: DeferredFailure | None = None
        while forwarded.may_send and self._left_ms(forwarded) > 0:
            self._refresher.wait_until_current(self._left_ms(forwarded))
            chosen_ms = self._context.clock.fence_ms()
            if history.sends_count and not self._admission.is_key_valid(forwarded):
                return self._responder.reject_revoked_key(caller, forwarded)
            verdict = self._guard.verdict_on(forwarded.keys)
            if verdict.is_blocked:
                if failure is not None:
                    break
                return self._stop(caller, forwarded, verdict)
            if verdict.has_suspected_part and history.runs_count >= SUSPECT_RUNS_LIMIT:
                break
            admitted = self._admission.admit(caller, forwarded, verdict)
            if isinstance(admitted, RequestResult):
                return admitted
            if admitted is None:
                break
            # Servers may have exited while the request waited for its account's limit.
            verdict = self._guard.verdict_on(forwarded.keys)
            is_probe = verdict.status is SuspectStatus.PROBE_DUE
            if verdict.is_blocked or (is_probe and not self._claim_probe(forwarded, verdict)):
                return self._stop(caller, forwarded, self._guard.verdict_on(forwarded.keys))
            state = admitted.state
            self._log.sent(forwarded, state, admitted.expected_wait_ms)
            result = self._send(caller, forwarded, admitted, chosen_ms)
            if isinstance(result, RequestResult):
                return result
            if isinstance(result, DeferredFailure):
                failure = result
            if is_probe and verdict.key and not history.may_have_run_at(state.incarnation):
                self._guard.record_probe_refused(verdict.key)
        if forwarded.is_end_in_doubt:
            self._log.stream_end_unconfirmed(forwarded)
        return self._responder.answer_failed(
            caller,
            forwarded,
            failure,
            is_out_of_time=self._is_out_of_time(forwarded),
            may_come_back=self._admission.can_continue(forwarded),
        )

    def _claim_probe(self, forwarded: ForwardedRequest, verdict: SuspectVerdict) -> bool:
        return verdict.key is not None and self._guard.claim_probe(
            verdict.key, forwarded.metadata.request_id
        )

    def _stop_if_blocked(
        self, caller: CallerConnection, forwarded: ForwardedRequest
    ) -> RequestResult | None:
        """Reject a request whose content or prompt crashes servers, before it waits for others."""
        self._guard.wait_until_known()
        verdict = self._guard.verdict_on(forwarded.keys)
        return self._stop(caller, forwarded, verdict) if verdict.is_blocked else None

    def _stop(
        self, caller: CallerConnection, forwarded: ForwardedRequest, verdict: SuspectVerdict
    ) -> RequestResult:
        exits_count = self._guard.exits_count(verdict.key) if verdict.key else 0.0
        self._log.stopped(forwarded, verdict, exits_count)
        # A probe that could not be claimed because the store did not answer leaves the verdict open
        # too.
        is_open = verdict.status is not SuspectStatus.STOPPED
        return self._responder.stop(caller, forwarded, is_probe_running=is_open)

    def _send(
        self,
        caller: CallerConnection,
        forwarded: ForwardedRequest,
        chosen: ChosenServer,
        chosen_ms: float,
    ) -> RequestResult | DeferredFailure | None:
        """Send the request to one server; ``None`` if another server may be tried.

        :param chosen_ms: when the server was chosen, by the fence clock.
        """
        send = _Send(
            chosen.state, self._context.now_ms(), forwarded.last_event_id, forwarded.goes_on
        )
        forwarded.start_run(
            has_others_to_ask_again=self._admission.has_others_to_ask_again(forwarded, send.state),
            has_others_to_confirm=self._admission.has_others_to_confirm(forwarded, send.state),
        )
        try:
            with self._sends.counted(send.state):
                return self._exchange(caller, forwarded, chosen, chosen_ms, send)
        except BrokenReplyError as error:
            send.detail = error.message
            self._record_interrupted(forwarded, send.state, error)
            if send.outcome is SendOutcome.UNKNOWN and not self._is_out_of_time(forwarded):
                send.state.record_failure(self._context.now_ms())
            return None
        except CallerGoneError:
            self._record_caller_gone(send)
            raise
        finally:
            self._record_send(forwarded, send)

    def _exchange(
        self,
        caller: CallerConnection,
        forwarded: ForwardedRequest,
        chosen: ChosenServer,
        chosen_ms: float,
        send: _Send,
    ) -> RequestResult | DeferredFailure | None:
        """Send the request and relay the answer; ``send`` records how far that came.

        :raises BrokenReplyError: if there is no whole answer.
        """
        state = send.state
        send.connection = connection = self._sends.connect(
            state,
            forwarded.metadata.request_id,
            only_new=not forwarded.route.may_repeat,
            until_ms=forwarded.until_ms,
        )
        if self._refresher.has_left(state, chosen_ms):
            return None
        send.outcome = SendOutcome.UNKNOWN
        self._write_request(connection, forwarded, state)
        reply = self._first_answer(forwarded, state, connection, chosen.expected_wait_ms)
        if reply.metadata.was_not_run:
            send.outcome = SendOutcome.REFUSED
            send.detail = str(reply.head.status)
            return None
        result = self._relay_answer(caller, forwarded, state, reply, send.started_ms)
        if isinstance(result, DeferredFailure):
            send.outcome = SendOutcome.FAILED
            send.detail = str(reply.head.status)
            return result
        # Where a stream goes on without an event, the server has run nothing.
        send.has_run = not send.goes_on or bool(forwarded.run_events_count)
        send.survived = send.has_run and is_successful(reply.head.status)
        send.is_good = result is not None
        if result is None:
            send.outcome = SendOutcome.UNCONFIRMED
            send.detail = 'end of the stream'
        return result

    def _record_caller_gone(self, send: _Send) -> None:
        send.detail = 'caller disconnected'
        now_ms, connection = self._context.now_ms(), send.connection
        if connection is not None and now_ms - connection.last_activity_ms > EVENT_TIMEOUT_MS:
            # Callers disconnect from a stream that stalls. If that did not count as a failure,
            # an unresponsive server would go on getting as many requests as the others.
            send.detail = 'caller disconnected, server unresponsive'
            send.state.record_failure(now_ms)

    def _record_send(self, forwarded: ForwardedRequest, send: _Send) -> None:
        state = send.state
        if send.connection is not None:
            self._sends.release(state, send.connection, is_answered=send.is_answered)
            if send.survived:
                self._record_survived(forwarded, state, send.connection)
        if send.is_good or send.outcome is SendOutcome.UNCONFIRMED:
            state.record_success()
        if send.is_good and send.has_run:
            stay_ms = self._context.now_ms() - send.started_ms
            self._admission.record_service_time(forwarded, stay_ms)
        if not send.is_good:
            forwarded.history.record_send(
                state.incarnation, send.outcome, asked_after=send.asked_after
            )
            self._log.send_failed(forwarded, state, send.outcome, send.detail, send.started_ms)

    def _record_interrupted(
        self, forwarded: ForwardedRequest, state: ServerState, error: BrokenReplyError
    ) -> None:
        if error.failure_kind is ReplyFailureKind.NO_CONNECTION:
            self._guard.record_connect_failure(state, error)
            return
        self._guard.record_interrupted(
            state, forwarded.keys, error.failure_kind, forwarded.server_first_ms
        )

    def _record_survived(
        self, forwarded: ForwardedRequest, state: ServerState, connection: ServerConnection
    ) -> None:
        if connection.is_framed or is_past_start(forwarded.server_first_ms, self._context.now_ms()):
            self._guard.record_survived(forwarded.keys)
        else:
            self._guard.record_closed(state, forwarded.keys)

    def _write_request(
        self, connection: ServerConnection, forwarded: ForwardedRequest, state: ServerState
    ) -> None:
        request = forwarded.request
        headers: Headers = self._dialect.server_headers(
            request.headers,
            state.listed.id,
            self._left_ms(forwarded),
            forwarded.last_event_id,
            forwarded.account.id,
        )
        if request.body or request.method not in (b'GET', b'HEAD', b'DELETE'):
            headers.append((b'content-length', str(len(request.body)).encode()))
        connection.send(request.method, request.target, headers, request.body)

    def _relay_answer(
        self,
        caller: CallerConnection,
        forwarded: ForwardedRequest,
        state: ServerState,
        reply: OpenReply,
        started_ms: float,
    ) -> RequestResult | DeferredFailure | None:
        """Relay an answer; ``None`` if another server has to confirm the end of a stream."""
        if self._streams.is_run(forwarded, reply.head):
            is_ended = self._streams.relay_run(
                caller,
                forwarded,
                state,
                reply,
                lambda: self._record_first_event(forwarded, state, started_ms),
                lambda: self._guard.record_survived(forwarded.keys),
            )
            return RequestResult.DONE if is_ended else None
        held = self._budget.open(HeldKind.ANSWER)
        try:
            return self._relay_whole_answer(caller, forwarded, state, reply, started_ms, held)
        finally:
            held.release()

    def _relay_whole_answer(
        self,
        caller: CallerConnection,
        forwarded: ForwardedRequest,
        state: ServerState,
        reply: OpenReply,
        started_ms: float,
        held: HeldBytes,
    ) -> RequestResult | DeferredFailure:
        clock, until_ms = self._context.clock, forwarded.until_ms
        body = read_held_answer(reply.connection, held, clock, until_ms)
        headers = self._dialect.response_headers(reply.head)
        is_framed = reply.connection.is_framed
        if reply.head.status >= SERVER_FAILURE:
            return DeferredFailure(reply.head.status, headers, body, is_framed)
        self._record_first_answer(forwarded, state, started_ms)
        forwarded.first_answer_ms = self._context.now_ms()
        caller.stop_watching_disconnect()
        caller.send_whole(reply.head.status, headers, body, is_framed=is_framed)
        return RequestResult.DONE

    def _first_answer(
        self,
        forwarded: ForwardedRequest,
        state: ServerState,
        connection: ServerConnection,
        expected_wait_ms: float,
    ) -> OpenReply:
        """Wait for the head of a response.

        If no other server may run the request, wait until its deadline. A failure is still recorded
        for the server once the failover timeout has passed, so that later requests avoid it.

        :raises BrokenReplyError: if no response arrives, or one to another request.
        """
        request_id = forwarded.metadata.request_id
        timeout_ms = self._timeouts.first_answer_timeout_ms(
            forwarded.route, state, expected_wait_ms
        )
        failover_at_ms = self._context.now_ms() + timeout_ms
        if failover_at_ms < forwarded.until_ms:
            try:
                return self._sends.read_reply(state, connection, request_id, failover_at_ms)
            except BrokenReplyError as error:
                is_silent = error.failure_kind is ReplyFailureKind.SILENT
                if not is_silent or not forwarded.is_last_attempt:
                    raise
                state.record_failure(self._context.now_ms())
                self._log.suspected(forwarded, state, timeout_ms)
        return self._sends.read_reply(state, connection, request_id, forwarded.until_ms)

    def _record_first_answer(
        self, forwarded: ForwardedRequest, state: ServerState, started_ms: float
    ) -> None:
        now_ms = self._context.now_ms()
        forwarded.server_first_ms = now_ms
        took_ms = now_ms - started_ms
        state.record_latency(took_ms)
        self._timeouts.record_first_answer(forwarded.route, took_ms)
        usual_ms = self._baselines.record(forwarded.route.name, state.listed.service, took_ms)
        state.record_latency_ratio(took_ms, usual_ms, now_ms)

    def _record_first_event(
        self, forwarded: ForwardedRequest, state: ServerState, started_ms: float
    ) -> None:
        self._record_first_answer(forwarded, state, started_ms)
        if forwarded.has_begun:
            return
        if forwarded.origin is None:
            forwarded.origin = state.listed.origin
        if forwarded.route.is_resumable:
            self._origins.record(forwarded, forwarded.origin)

    def _left_ms(self, forwarded: ForwardedRequest) -> float:
        return forwarded.until_ms - self._context.now_ms()

    def _is_out_of_time(self, forwarded: ForwardedRequest) -> bool:
        return self._left_ms(forwarded) <= 1.0


class _Send(msgspec.Struct):
    """One send of a request to a server, with what has come of it so far."""

    state: ServerState
    started_ms: float
    #: Id of the event after which the server was to resume a stream.
    asked_after: int | None
    #: Whether the caller had a part of the stream before.
    goes_on: bool
    connection: ServerConnection | None = None
    outcome: SendOutcome = SendOutcome.NOT_SENT
    detail: str = ''
    is_good: bool = False
    has_run: bool = False
    survived: bool = False

    @property
    def is_answered(self) -> bool:
        """Whether the exchange has ended with an answer."""
        return self.is_good or self.outcome in (SendOutcome.REFUSED, SendOutcome.FAILED)
