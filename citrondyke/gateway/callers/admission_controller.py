"""Finds an online request a place on a server that its account may take."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.accounts.fleet_rate_limiter import VerdictKind
from citrondyke.decisions.accounts.limit_messages import UseNeed
from citrondyke.decisions.crashes.suspect_registry import SuspectStatus
from citrondyke.decisions.forwarding.admission_rule import Rejected
from citrondyke.decisions.forwarding.send_history import Verdict
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.gateway.callers.forwarded_request import RequestResult

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.fleet_rate_limiter import LimitVerdict
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.admission_rule import AdmissionRule
    from citrondyke.decisions.forwarding.replicated_config import ReplicatedConfig
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.gateway.accounts.limit_exchange import LimitExchange
    from citrondyke.gateway.callers.caller_connection import CallerConnection
    from citrondyke.gateway.callers.error_responder import ErrorResponder
    from citrondyke.gateway.callers.forwarded_request import ForwardedRequest
    from citrondyke.gateway.callers.request_log import RequestLog

__all__ = ('AdmissionController', 'ChosenServer')

#: A server that was chosen so long ago is chosen anew.
CHOICE_VALID_MS = 5.0
#: Hexadecimal digits of the digest by which an account's steward finds a kept place: 32 bits name
#: a few hundred places of one account.
CONTENT_KEY_DIGITS = 8
#: Part of a route's target for which a request waits for its account's next use; the rest is for
#: its server.
LIMIT_WAIT_SHARE = 0.4


class ChosenServer(msgspec.Struct, frozen=True):
    """Where a request is to be sent."""

    state: ServerState
    expected_wait_ms: float


class AdmissionController:
    """Chooses a server, looks whether there is a place in time, and has the account counted."""

    def __init__(
        self,
        context: Context,
        book: ServerRegistry,
        rule: AdmissionRule,
        config: ReplicatedConfig,
        limits: LimitExchange,
        answers: ErrorResponder,
        log: RequestLog,
    ) -> None:
        """Use the parts handed in."""
        self._context = context
        self._book = book
        self._rule = rule
        self._config = config
        self._limits = limits
        self._answers = answers
        self._log = log

    def record_service_time(self, forwarded: ForwardedRequest, stay_ms: float) -> None:
        """Take in how long a request occupied its place."""
        self._rule.record_service_time(forwarded.route, stay_ms)

    def admit(
        self, caller: CallerConnection, forwarded: ForwardedRequest, suspect_verdict: SuspectStatus
    ) -> ChosenServer | RequestResult | None:
        """Choose a server with a place in time, and count the request; ``None`` without a server.

        The place comes first: a request that has none would use up a part of its account's limit.
        """
        while True:
            state = self._choose(forwarded, suspect_verdict)
            if state is None:
                return None
            admitted = self._rule.decide(
                forwarded.route,
                state,
                forwarded.until_ms - self._context.now_ms(),
                forwarded.account,
            )
            if isinstance(admitted, Rejected):
                end = self._reject(caller, forwarded, state, admitted)
                if end is not None:
                    return end
            if not forwarded.is_counted:
                asked_ms = self._context.now_ms()
                verdict = self._limits.use(
                    forwarded.account, self._need(forwarded, admitted.expected_wait_ms)
                )
                if verdict.kind is not VerdictKind.WITHIN:
                    return self._reject_over_limit(caller, forwarded, verdict, asked_ms)
                forwarded.is_counted = True
                if self._context.now_ms() - asked_ms > CHOICE_VALID_MS:
                    # Others may have taken the place meanwhile.
                    continue
            return ChosenServer(state, admitted.expected_wait_ms)

    def _need(self, forwarded: ForwardedRequest, expected_wait_ms: float) -> UseNeed:
        """Tell what a request needs of its account's limit; its place is found by its content.

        :param expected_wait_ms: at its server, from which the time that it may wait is taken off.
        """
        if not forwarded.account.has_limit:
            return UseNeed()
        now_ms = self._context.now_ms()
        waited_ms = now_ms - forwarded.request.arrived_ms
        return UseNeed(
            int(forwarded.content.digest[:CONTENT_KEY_DIGITS], 16),
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
        """Turn a request away that has certainly not run; ``None`` for any other."""
        if forwarded.course.sends_count == 0:
            self._log.rejected(forwarded, state, admitted)
            end = RequestResult.TURNED_AWAY
        elif forwarded.course.verdict is Verdict.NOT_RUN:
            end = RequestResult.NOT_RUN
        else:
            return None
        return self._answers.reject(caller, forwarded, end, admitted.retry_in_ms)

    def _reject_over_limit(
        self,
        caller: CallerConnection,
        forwarded: ForwardedRequest,
        verdict: LimitVerdict,
        asked_ms: float,
    ) -> RequestResult:
        self._log.over_limit(forwarded, verdict, asked_ms)
        if verdict.kind is VerdictKind.OVER:
            return self._answers.reject_over_limit(caller, forwarded, verdict.retry_in_ms)
        return self._answers.reject(
            caller, forwarded, RequestResult.LIMIT_UNKNOWN, verdict.retry_in_ms
        )

    def is_key_valid(self, forwarded: ForwardedRequest) -> bool:
        """Tell whether a request may be sent once more: its key may have gone while it waited.

        A stream that has begun goes on: its caller was allowed when it asked.
        """
        if forwarded.has_begun:
            return True
        is_public = forwarded.route.is_public
        digest = forwarded.facts.key_digest
        return bool(self._config.table.authenticate(digest, is_public=is_public))

    def _choose(
        self, forwarded: ForwardedRequest, suspect_verdict: SuspectStatus
    ) -> ServerState | None:
        service = forwarded.route.pick_service(self._context.random)
        if suspect_verdict is not SuspectStatus.FREE:
            digest = forwarded.content.digest
            return self._book.choose_for_suspect(service, forwarded.course.excluded, digest)
        return self._book.choose_server(
            service,
            forwarded.course.excluded,
            forwarded.facts.prefix,
            is_once=not forwarded.route.may_run_again,
        )
