"""Admission of online requests: server choice, capacity check and account rate limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.accounts.fleet_rate_limiter import VerdictKind
from citrondyke.decisions.accounts.limit_messages import UseNeed
from citrondyke.decisions.forwarding.admission_rule import Rejected
from citrondyke.decisions.forwarding.send_history import Verdict
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.decisions.streams.stream_origin import StreamOrigin
from citrondyke.gateway.callers.forwarded_request import RequestResult

if TYPE_CHECKING:
    from collections.abc import Collection

    from citrondyke.decisions.accounts.fleet_rate_limiter import LimitVerdict
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.crashes.suspect_registry import SuspectVerdict
    from citrondyke.decisions.forwarding.admission_rule import AdmissionRule
    from citrondyke.decisions.forwarding.replicated_config import ReplicatedConfig
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.gateway.accounts.limit_exchange import LimitExchange
    from citrondyke.gateway.callers.caller_connection import CallerConnection
    from citrondyke.gateway.callers.error_responder import ErrorResponder
    from citrondyke.gateway.callers.forwarded_request import ForwardedRequest
    from citrondyke.gateway.callers.request_log import RequestLog
    from citrondyke.gateway.streams.origin_exchange import OriginExchange
    from citrondyke.ids import ServerIncarnation, ServiceName

__all__ = ('AdmissionController', 'ChosenServer')

#: A server choice older than this is repeated, since other requests may have used the capacity.
CHOICE_VALID_MS = 5.0
#: Hexadecimal digits of the content digest that identify a reservation at the account's steward:
#: 32 bits are enough for the few hundred reservations of one account.
CONTENT_KEY_DIGITS = 8
#: Share of a route's latency target that a request may spend waiting for its account's next use;
#: the rest is left for the server.
LIMIT_WAIT_SHARE = 0.4


class ChosenServer(msgspec.Struct, frozen=True):
    """Server chosen for a request, with its expected wait."""

    state: ServerState
    expected_wait_ms: float


class AdmissionController:
    """Chooses a server, checks that it has capacity in time, and counts the request."""

    def __init__(
        self,
        context: Context,
        book: ServerRegistry,
        rule: AdmissionRule,
        config: ReplicatedConfig,
        limits: LimitExchange,
        responder: ErrorResponder,
        log: RequestLog,
        origins: OriginExchange,
    ) -> None:
        """Use the parts handed in."""
        self._context = context
        self._book = book
        self._rule = rule
        self._config = config
        self._limits = limits
        self._responder = responder
        self._log = log
        self._origins = origins

    def record_service_time(self, forwarded: ForwardedRequest, stay_ms: float) -> None:
        """Record for how long a request occupied its capacity."""
        self._rule.record_service_time(forwarded.route, stay_ms)

    def admit(
        self, caller: CallerConnection, forwarded: ForwardedRequest, verdict: SuspectVerdict
    ) -> ChosenServer | RequestResult | None:
        """Choose a server with capacity in time and count the request against its account.

        Capacity is checked before the limit: a request without capacity must not use up a part of
        its account's limit.

        :param verdict: whether the request or its prompt is suspected of crashing servers.
        :returns: the server, the result of a request that was rejected, or ``None`` when no server
            is eligible.
        """
        while True:
            state = self._choose(forwarded, verdict)
            if state is None:
                return None
            admitted = self._rule.decide(
                forwarded.route,
                state,
                forwarded.until_ms - self._context.now_ms(),
                forwarded.account,
                forwarded.origin,
            )
            if isinstance(admitted, Rejected):
                end = self._reject(caller, forwarded, state, admitted)
                if end is not None:
                    return end
            if not forwarded.is_counted:
                asked_ms = self._context.now_ms()
                limit_verdict = self._limits.acquire_use(
                    forwarded.account, self._need(forwarded, admitted.expected_wait_ms)
                )
                if limit_verdict.kind is not VerdictKind.WITHIN:
                    return self._reject_over_limit(caller, forwarded, limit_verdict, asked_ms)
                forwarded.is_counted = True
                if self._context.now_ms() - asked_ms > CHOICE_VALID_MS:
                    # Other requests may have taken the capacity meanwhile.
                    continue
            return ChosenServer(state, admitted.expected_wait_ms)

    def _need(self, forwarded: ForwardedRequest, expected_wait_ms: float) -> UseNeed:
        """Return what a request needs of its account's limit.

        Its reservation is identified by its content, so that a retry finds it again.

        :param expected_wait_ms: expected wait at the server; it shortens the time that the request
            may wait for its account's next use.
        """
        if not forwarded.account.has_limit:
            return UseNeed()
        now_ms = self._context.now_ms()
        waited_ms = now_ms - forwarded.request.arrived_ms
        return UseNeed(
            int(forwarded.keys.content.digest[:CONTENT_KEY_DIGITS], 16),
            max(0.0, forwarded.until_ms - now_ms),
            max(0.0, LIMIT_WAIT_SHARE * forwarded.route.target_ms - waited_ms - expected_wait_ms),
        )

    def _reject(
        self,
        caller: CallerConnection,
        forwarded: ForwardedRequest,
        state: ServerState,
        admitted: Rejected,
    ) -> RequestResult | None:
        """Reject a request that has certainly not run; ``None`` if it may have run."""
        if forwarded.history.sends_count == 0:
            self._log.rejected(forwarded, state, admitted)
            end = RequestResult.TURNED_AWAY
        elif forwarded.history.verdict is Verdict.NOT_RUN:
            end = RequestResult.NOT_RUN
        else:
            return None
        return self._responder.reject(caller, forwarded, end, admitted.retry_in_ms)

    def _reject_over_limit(
        self,
        caller: CallerConnection,
        forwarded: ForwardedRequest,
        verdict: LimitVerdict,
        asked_ms: float,
    ) -> RequestResult:
        self._log.over_limit(forwarded, verdict, asked_ms)
        if verdict.kind is VerdictKind.OVER:
            return self._responder.reject_over_limit(caller, forwarded, verdict.retry_in_ms)
        return self._responder.reject(
            caller, forwarded, RequestResult.LIMIT_UNKNOWN, verdict.retry_in_ms
        )

    def has_others_to_ask_again(self, forwarded: ForwardedRequest, state: ServerState) -> bool:
        """Return whether a server beside one may be asked again for the end of a stream."""
        origin, again = forwarded.origin, forwarded.servers_to_ask_again - {state.incarnation}
        if origin is None or not again:
            return False
        others = {each.incarnation for each in self._book.states()} - again
        return self._book.has_servers(origin.service, others, origin)

    def has_others_to_confirm(self, forwarded: ForwardedRequest, state: ServerState) -> bool:
        """Return whether a server beside one, which has not stated a stream's end, could do so.

        Where an attempt of the caller may reach one server only, none ever asks a second one.
        """
        origin = forwarded.origin
        if origin is None:
            return True
        heard = forwarded.stream_end.stating_servers | {state.incarnation}
        is_allowed = forwarded.route.may_run_again
        return is_allowed and self._book.has_servers(origin.service, heard, origin)

    def can_continue(self, forwarded: ForwardedRequest) -> bool:
        """Return whether any server may serve a request, now or when it comes back.

        A stream that has begun needs a server of its origin, and a service that its route names.
        """
        origin = forwarded.origin
        if origin is None:
            return True
        if not any(share.service == origin.service for share in forwarded.route.shares):
            return False
        return self._book.can_continue(origin)

    def is_key_valid(self, forwarded: ForwardedRequest) -> bool:
        """Return whether a request may be sent again: its key may have been revoked meanwhile.

        A stream that has begun continues, since its key was valid when the request arrived.
        """
        if forwarded.has_begun:
            return True
        is_public = forwarded.route.is_public
        digest = forwarded.metadata.key_digest
        return bool(self._config.table.authenticate(digest, is_public=is_public))

    def _choose(self, forwarded: ForwardedRequest, verdict: SuspectVerdict) -> ServerState | None:
        origin = forwarded.origin
        if origin is not None:
            return self._choose_to_continue(forwarded, verdict, origin)
        service = forwarded.route.pick_service(self._context.random)
        if not forwarded.route.is_resumable:
            return self._choose_of(forwarded, verdict, service, None)
        assigned = self._origins.assigned_origin(forwarded, service)
        if isinstance(assigned, StreamOrigin):
            state = self._choose_of(forwarded, verdict, service, assigned)
            if state is not None:
                return state
        state = self._choose_of(forwarded, verdict, service, None)
        if state is None or self._origins.may_begin(forwarded, state.listed.origin):
            return state
        return None

    def _choose_to_continue(
        self, forwarded: ForwardedRequest, verdict: SuspectVerdict, origin: StreamOrigin
    ) -> ServerState | None:
        """Choose a server of the stream's origin, one that has not had the request if possible."""
        if forwarded.history.may_send:
            state = self._choose_of(forwarded, verdict, origin.service, origin)
            if state is not None:
                return state
        known = {state.incarnation for state in self._book.states()}
        for again in (forwarded.servers_to_ask_again, forwarded.servers_to_repeat):
            state = self._choose_of(forwarded, verdict, origin.service, origin, known - again)
            if state is not None:
                return state
        return None

    def _choose_of(
        self,
        forwarded: ForwardedRequest,
        verdict: SuspectVerdict,
        service: ServiceName,
        origin: StreamOrigin | None,
        excluded: Collection[ServerIncarnation] | None = None,
    ) -> ServerState | None:
        excluded = forwarded.history.excluded if excluded is None else excluded
        if verdict.key is not None:
            return self._book.choose_for_suspect(service, excluded, verdict.key.digest, origin)
        return self._book.choose_server(
            service,
            excluded,
            forwarded.metadata.prefix,
            is_once=not forwarded.route.may_run_again,
            origin=origin,
        )
