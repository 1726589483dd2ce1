"""Finds an online request a place on a server that its account may take."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.accounts.fleet_rate_limiter import VerdictKind
from citrondyke.decisions.accounts.limit_messages import UseNeed
from citrondyke.decisions.crashes.suspect_registry import SuspectVerdict
from citrondyke.decisions.forwarding.admission_rule import Rejected
from citrondyke.decisions.forwarding.send_history import Verdict
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.gateway.callers.forwarding import RequestResult

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.fleet_rate_limiter import LimitVerdict
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.admission_rule import AdmissionRule
    from citrondyke.decisions.forwarding.replicated_config import ReplicatedConfig
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.gateway.accounts.limit_exchange import LimitMessenger
    from citrondyke.gateway.callers.caller_connection import CallerConnection
    from citrondyke.gateway.callers.error_responder import ErrorResponder
    from citrondyke.gateway.callers.forwarding import Forwarding
    from citrondyke.gateway.callers.request_log import RequestLog

__all__ = ('AdmissionController', 'Place')

#: A server that was chosen so long ago is chosen anew.
FRESH_CHOICE_MS = 5.0
#: Hexadecimal digits of the digest by which an account's steward finds a kept place: 32 bits name
#: a few hundred places of one account.
WORK_DIGITS = 8
#: Part of a route's target for which a request waits for its account's next use; the rest is for
#: its server.
WAIT_SHARE = 0.4


class Place(msgspec.Struct, frozen=True):
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
        limits: LimitMessenger,
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

    def record_service_time(self, forwarding: Forwarding, stay_ms: float) -> None:
        """Take in how long a request occupied its place."""
        self._rule.record_service_time(forwarding.route, stay_ms)

    def admit(
        self, caller: CallerConnection, forwarding: Forwarding, standing: SuspectVerdict
    ) -> Place | RequestResult | None:
        """Choose a server with a place in time, and count the request; ``None`` without a server.

        The place comes first: a request that has none would use up a part of its account's limit.
        """
        while True:
            state = self._choose(forwarding, standing)
            if state is None:
                return None
            admitted = self._rule.decide(
                forwarding.route,
                state,
                forwarding.until_ms - self._context.now_ms(),
                forwarding.account,
            )
            if isinstance(admitted, Rejected):
                end = self._turn_away(caller, forwarding, state, admitted)
                if end is not None:
                    return end
            if not forwarding.is_counted:
                asked_ms = self._context.now_ms()
                verdict = self._limits.use(
                    forwarding.account, self._need(forwarding, admitted.expected_wait_ms)
                )
                if verdict.kind is not VerdictKind.WITHIN:
                    return self._refuse_over_limit(caller, forwarding, verdict, asked_ms)
                forwarding.is_counted = True
                if self._context.now_ms() - asked_ms > FRESH_CHOICE_MS:
                    # Others may have taken the place meanwhile.
                    continue
            return Place(state, admitted.expected_wait_ms)

    def _need(self, forwarding: Forwarding, expected_wait_ms: float) -> UseNeed:
        """Tell what a request needs of its account's limit; its place is found by its content.

        :param expected_wait_ms: at its server, from which the time that it may wait is taken off.
        """
        if not forwarding.account.has_limit:
            return UseNeed()
        now_ms = self._context.now_ms()
        waited_ms = now_ms - forwarding.request.arrived_ms
        return UseNeed(
            int(forwarding.content.digest[:WORK_DIGITS], 16),
            max(0.0, forwarding.until_ms - now_ms),
            max(0.0, WAIT_SHARE * forwarding.route.target_ms - waited_ms - expected_wait_ms),
        )

    def _turn_away(
        self,
        caller: CallerConnection,
        forwarding: Forwarding,
        state: ServerState,
        admitted: Rejected,
    ) -> RequestResult | None:
        """Turn a request away that has certainly not run; ``None`` for any other."""
        if forwarding.course.sends_count == 0:
            self._log.turned_away(forwarding, state, admitted)
            end = RequestResult.TURNED_AWAY
        elif forwarding.course.verdict is Verdict.NOT_RUN:
            end = RequestResult.NOT_RUN
        else:
            return None
        return self._answers.refuse(caller, forwarding, end, admitted.retry_in_ms)

    def _refuse_over_limit(
        self,
        caller: CallerConnection,
        forwarding: Forwarding,
        verdict: LimitVerdict,
        asked_ms: float,
    ) -> RequestResult:
        self._log.over_limit(forwarding, verdict, asked_ms)
        if verdict.kind is VerdictKind.OVER:
            return self._answers.refuse_over_limit(caller, forwarding, verdict.retry_in_ms)
        return self._answers.refuse(
            caller, forwarding, RequestResult.LIMIT_UNKNOWN, verdict.retry_in_ms
        )

    def is_key_in_force(self, forwarding: Forwarding) -> bool:
        """Tell whether a request may be sent once more: its key may have gone while it waited.

        A stream that has begun goes on: its caller was allowed when it asked.
        """
        if forwarding.has_begun:
            return True
        is_public = forwarding.route.is_public
        digest = forwarding.facts.key_digest
        return bool(self._config.table.authenticate(digest, is_public=is_public))

    def _choose(self, forwarding: Forwarding, standing: SuspectVerdict) -> ServerState | None:
        service = forwarding.route.pick_service(self._context.random)
        if standing is not SuspectVerdict.FREE:
            digest = forwarding.content.digest
            return self._book.choose_for_suspect(service, forwarding.course.excluded, digest)
        return self._book.choose_server(
            service,
            forwarding.course.excluded,
            forwarding.facts.prefix,
            is_once=not forwarding.route.may_run_again,
        )
