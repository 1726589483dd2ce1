"""Brings one online request to its one answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.crashes.content import LazyRequestContent
from citrondyke.decisions.crashes.suspect_registry import SuspectVerdict
from citrondyke.decisions.forwarding.failover_timeouts import EVENT_TIMEOUT_MS, FailoverTimeouts
from citrondyke.decisions.forwarding.route import RouteKind
from citrondyke.decisions.forwarding.send_history import SendHistory, SendOutcome
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.decisions.memory.byte_budget import HeldKind
from citrondyke.decisions.servers.baseline_latencies import BaselineLatencies
from citrondyke.errors.broken_reply import BreakKind, BrokenReplyError
from citrondyke.errors.caller_gone import CallerGoneError
from citrondyke.gateway.callers.error_responder import DeferredFailure
from citrondyke.gateway.callers.event_relay import EventRelay
from citrondyke.gateway.callers.forwarding import Forwarding, RequestResult
from citrondyke.gateway.callers.held_answer import read_held_answer
from citrondyke.gateway.servers.server_sends import SERVER_FAILURE

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.replicated_config import ReplicatedConfig
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.decisions.memory.byte_budget import ByteBudget, HeldBytes
    from citrondyke.gateway.callers.admission_controller import AdmissionController
    from citrondyke.gateway.callers.caller_connection import CallerConnection
    from citrondyke.gateway.callers.caller_request import CallerRequest
    from citrondyke.gateway.callers.error_responder import ErrorResponder
    from citrondyke.gateway.callers.request_log import RequestLog
    from citrondyke.gateway.dialect import CallFacts, Dialect
    from citrondyke.gateway.http_head import Headers
    from citrondyke.gateway.servers.poison_request_guard import PoisonRequestGuard
    from citrondyke.gateway.servers.server_connection import ServerConnection
    from citrondyke.gateway.servers.server_sends import OpenReply, ServerSends

__all__ = ('Forwarder',)

EVENT_STREAM = b'text/event-stream'


class Forwarder:
    """Sends, repeats what may be repeated, and answers."""

    def __init__(
        self,
        context: Context,
        admitter: AdmissionController,
        sends: ServerSends,
        guard: PoisonRequestGuard,
        dialect: Dialect,
        answers: ErrorResponder,
        log: RequestLog,
        config: ReplicatedConfig,
        budget: ByteBudget,
    ) -> None:
        """Use the parts handed in."""
        self._budget = budget
        self._context = context
        self._config = config
        self._admitter = admitter
        self._sends = sends
        self._guard = guard
        self._dialect = dialect
        self._answers = answers
        self._log = log
        self._patience = FailoverTimeouts()
        self._usual = BaselineLatencies()
        self._relay = EventRelay(context, dialect)

    def handle(
        self,
        caller: CallerConnection,
        request: CallerRequest,
        facts: CallFacts,
        account: Account,
        route: Route,
    ) -> None:
        """Answer one request of an account."""
        within_ms = min(route.timeout_ms, facts.within_ms or route.timeout_ms)
        forwarding = Forwarding(
            request=request,
            work=LazyRequestContent(request.method, request.host, request.target, request.body),
            facts=facts,
            account=account,
            route=route,
            config_version=self._config.table.version,
            course=SendHistory(route),
            until_ms=request.arrived_ms + within_ms,
            last_event_id=facts.last_event_id,
        )
        caller.watch()
        try:
            end = self._serve(caller, forwarding)
        except CallerGoneError:
            caller.abort()
            end = RequestResult.CALLER_GONE
        finally:
            caller.unwatch()
        self._log.ended(forwarding, end)

    def _serve(self, caller: CallerConnection, forwarding: Forwarding) -> RequestResult:
        course = forwarding.course
        failure: DeferredFailure | None = None
        while course.may_send and self._left_ms(forwarding) > 0:
            if course.sends_count and not self._admitter.is_key_in_force(forwarding):
                return self._answers.refuse_key(caller, forwarding)
            standing = self._guard.standing(forwarding.work)
            if standing in (SuspectVerdict.STOPPED, SuspectVerdict.ON_TRIAL):
                if failure is not None:
                    break
                return self._stop(caller, forwarding, standing)
            admitted = self._admitter.admit(caller, forwarding, standing)
            if isinstance(admitted, RequestResult):
                return admitted
            if admitted is None:
                break
            if standing is SuspectVerdict.TRIAL_DUE and not self._claim_trial(forwarding):
                return self._stop(caller, forwarding, self._guard.standing(forwarding.work))
            state = admitted.state
            self._log.sent(forwarding, state, admitted.expected_wait_ms)
            result = self._send(caller, forwarding, state, admitted.expected_wait_ms)
            if isinstance(result, RequestResult):
                return result
            if isinstance(result, DeferredFailure):
                failure = result
            if standing is SuspectVerdict.TRIAL_DUE and not course.may_have_run_at(
                state.incarnation
            ):
                self._guard.record_probe_refused(forwarding.content)
        return self._answers.give_up(
            caller, forwarding, failure, is_out_of_time=self._is_out_of_time(forwarding)
        )

    def _claim_trial(self, forwarding: Forwarding) -> bool:
        return self._guard.claim_probe(forwarding.content, forwarding.facts.request_id)

    def _stop(
        self, caller: CallerConnection, forwarding: Forwarding, standing: SuspectVerdict
    ) -> RequestResult:
        self._log.stopped(forwarding, standing, self._guard.ends_count(forwarding.content))
        # A trial that could not be had, as the store did not answer, leaves the verdict open too.
        is_open = standing is not SuspectVerdict.STOPPED
        return self._answers.stop(caller, forwarding, is_on_trial=is_open)

    def _send(
        self,
        caller: CallerConnection,
        forwarding: Forwarding,
        state: ServerState,
        expected_wait_ms: float,
    ) -> RequestResult | DeferredFailure | None:
        """Send to one server; ``None`` when another may be tried."""
        started_ms = self._context.now_ms()
        forwarding.server_first_ms = None
        outcome = SendOutcome.NOT_SENT
        connection = None
        is_good = False
        detail = ''
        try:
            with self._sends.place(state):
                connection = self._sends.connect(
                    state,
                    only_new=not forwarding.route.may_repeat,
                    until_ms=forwarding.until_ms,
                )
                outcome = SendOutcome.UNKNOWN
                self._write_request(connection, forwarding, state)
                reply = self._first_answer(forwarding, state, connection, expected_wait_ms)
                if reply.facts.was_not_run:
                    outcome = SendOutcome.REFUSED
                    detail = str(reply.head.status)
                    return None
                result = self._pass_on(caller, forwarding, state, reply, started_ms)
                if isinstance(result, DeferredFailure):
                    outcome = SendOutcome.FAILED
                    detail = str(reply.head.status)
                    return result
                is_good = True
                return result
        except BrokenReplyError as error:
            detail = error.message
            self._note_broken(forwarding, state, error)
            if outcome is SendOutcome.UNKNOWN and not self._is_out_of_time(forwarding):
                state.record_failure(self._context.now_ms())
            return None
        except CallerGoneError:
            detail = 'caller gone'
            now_ms = self._context.now_ms()
            if connection is not None and now_ms - connection.heard_ms > EVENT_TIMEOUT_MS:
                # Callers leave a silent stream; without this the server that is silent would get
                # as many requests as the others for as long as it is.
                detail = 'caller gone, server silent'
                state.record_failure(now_ms)
            raise
        finally:
            if connection is not None:
                self._sends.release(state, connection)
            if is_good:
                self._guard.record_survived(forwarding.work)
                self._admitter.record_service_time(forwarding, self._context.now_ms() - started_ms)
                state.record_success()
            else:
                forwarding.course.record_send(state.incarnation, outcome)
                self._log.send_failed(forwarding, state, outcome, detail, started_ms)

    def _note_broken(
        self, forwarding: Forwarding, state: ServerState, error: BrokenReplyError
    ) -> None:
        if error.break_kind is BreakKind.NO_CONNECTION:
            self._guard.record_connect_failure(state, error)
            return
        self._guard.note_broken(
            state, forwarding.content, error.break_kind, forwarding.server_first_ms
        )

    def _write_request(
        self, connection: ServerConnection, forwarding: Forwarding, state: ServerState
    ) -> None:
        request = forwarding.request
        headers: Headers = self._dialect.server_headers(
            request.headers,
            state.listed.id,
            self._left_ms(forwarding),
            forwarding.last_event_id,
            forwarding.account.id,
        )
        if request.body or request.method not in (b'GET', b'HEAD', b'DELETE'):
            headers.append((b'content-length', str(len(request.body)).encode()))
        connection.send(request.method, request.target, headers, request.body)

    def _pass_on(
        self,
        caller: CallerConnection,
        forwarding: Forwarding,
        state: ServerState,
        reply: OpenReply,
        started_ms: float,
    ) -> RequestResult | DeferredFailure:
        kind = reply.head.header(b'content-type') or b''
        is_stream = forwarding.route.kind is RouteKind.STREAM and kind.startswith(EVENT_STREAM)
        if is_stream and reply.head.status < 300:  # noqa: PLR2004
            self._relay.relay(
                caller, forwarding, reply, lambda: self._note_time(forwarding, state, started_ms)
            )
            return RequestResult.DONE
        held = self._budget.open(HeldKind.ANSWER)
        try:
            return self._pass_on_whole(caller, forwarding, state, reply, started_ms, held)
        finally:
            held.release()

    def _pass_on_whole(
        self,
        caller: CallerConnection,
        forwarding: Forwarding,
        state: ServerState,
        reply: OpenReply,
        started_ms: float,
        held: HeldBytes,
    ) -> RequestResult | DeferredFailure:
        clock, until_ms = self._context.clock, forwarding.until_ms
        body = read_held_answer(reply.connection, held, clock, until_ms)
        headers = self._dialect.answer_headers(reply.head)
        if reply.head.status >= SERVER_FAILURE:
            return DeferredFailure(reply.head.status, headers, body)
        self._note_time(forwarding, state, started_ms)
        forwarding.first_answer_ms = self._context.now_ms()
        caller.unwatch()
        caller.send_whole(reply.head.status, headers, body)
        return RequestResult.DONE

    def _first_answer(
        self,
        forwarding: Forwarding,
        state: ServerState,
        connection: ServerConnection,
        expected_wait_ms: float,
    ) -> OpenReply:
        """Wait for the head of an answer.

        Where no other server may run the request it is waited for to the end; but its server is
        suspected as soon as another would have been tried, so that later requests avoid it.

        :raises BrokenReplyError: when none comes, or one that is not the request's.
        """
        request_id = forwarding.facts.request_id
        patience_ms = self._patience.first_answer_timeout_ms(
            forwarding.route, state, expected_wait_ms
        )
        patient_until_ms = self._context.now_ms() + patience_ms
        if patient_until_ms < forwarding.until_ms:
            try:
                return self._sends.read_reply(state, connection, request_id, patient_until_ms)
            except BrokenReplyError as error:
                is_silent = error.break_kind is BreakKind.SILENT
                if not is_silent or not forwarding.course.is_last_attempt:
                    raise
                state.record_failure(self._context.now_ms())
                self._log.suspected(forwarding, state, patience_ms)
        return self._sends.read_reply(state, connection, request_id, forwarding.until_ms)

    def _note_time(self, forwarding: Forwarding, state: ServerState, started_ms: float) -> None:
        now_ms = self._context.now_ms()
        forwarding.server_first_ms = now_ms
        took_ms = now_ms - started_ms
        state.record_latency(took_ms)
        self._patience.record_first_answer(forwarding.route, took_ms)
        usual_ms = self._usual.record(forwarding.route.name, state.listed.service, took_ms)
        state.record_work(took_ms, usual_ms, now_ms)

    def _left_ms(self, forwarding: Forwarding) -> float:
        return forwarding.until_ms - self._context.now_ms()

    def _is_out_of_time(self, forwarding: Forwarding) -> bool:
        return self._left_ms(forwarding) <= 1.0
