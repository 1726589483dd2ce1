"""What is logged and counted of online requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from citrondyke.decisions.forwarding.send_history import SendOutcome
from citrondyke.gateway.callers.forwarded_request import RequestResult

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.fleet_rate_limiter import LimitVerdict
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.crashes.suspect_registry import SuspectStatus
    from citrondyke.decisions.forwarding.admission_rule import Rejected
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.gateway.callers.forwarded_request import ForwardedRequest
    from citrondyke.gateway.metrics import Metrics

__all__ = ('RequestLog',)

log = logbook.Logger(__name__)


class RequestLog:
    """One line for each decision that touches a request."""

    def __init__(self, context: Context, metrics: Metrics) -> None:
        """Use the parts handed in."""
        self._context = context
        self._metrics = metrics

    def rejected(self, forwarded: ForwardedRequest, state: ServerState, answer: Rejected) -> None:
        """Tell why a request got no place."""
        now_ms = self._context.now_ms()
        log.info(
            'request.turned_away',
            extra={
                **_common_fields(forwarded),
                'best_server': state.listed.id,
                'online_count': state.online_count(now_ms),
                'batch_count': state.batch_count(now_ms),
                'slots': state.listed.slots_count,
                'expected_wait_ms': round(answer.expected_wait_ms, 1),
                'retry_in_ms': round(answer.retry_in_ms, 1),
            },
        )

    def over_limit(
        self, forwarded: ForwardedRequest, verdict: LimitVerdict, asked_ms: float
    ) -> None:
        """Tell that a request is not sent because of its account's limit, and who said so."""
        log.info(
            'request.over_limit',
            extra={
                'request_id': forwarded.facts.request_id,
                'account': forwarded.account.id,
                'verdict': verdict.kind.value,
                'by': verdict.by,
                'asked_ms': round(self._context.now_ms() - asked_ms, 1),
                'rate_per_s': forwarded.account.rate_per_s,
                'burst': forwarded.account.burst,
                'config_version': forwarded.config_version,
                'retry_in_ms': round(verdict.retry_in_ms, 1),
                'is_kept': verdict.is_kept,
            },
        )

    def sent(
        self, forwarded: ForwardedRequest, state: ServerState, expected_wait_ms: float
    ) -> None:
        """Tell which server was chosen, and by what.

        It is written before the send: of a request whose instance is killed it is all there is.
        """
        now_ms = self._context.now_ms()
        log.info(
            'request.sent',
            extra={
                **_common_fields(forwarded),
                'server_id': state.listed.id,
                'server_zone': state.listed.zone,
                'online_count': state.online_count(now_ms),
                'batch_count': state.batch_count(now_ms),
                'expected_wait_ms': round(expected_wait_ms, 1),
                'server_standing': state.health_record.health.value,
                'slowness': round(state.expected_slowdown(now_ms), 2),
                'sends_before': forwarded.course.sends_count,
                'last_event_id': forwarded.last_event_id,
            },
        )

    def send_failed(
        self,
        forwarded: ForwardedRequest,
        state: ServerState,
        outcome: SendOutcome,
        detail: str,
        started_ms: float,
    ) -> None:
        """Tell how a send to a server failed, and of what may have run what it was.

        Attempts at the same work have ids of their own: without their content a server that ends
        under a request that comes again looks like any other that ends.
        """
        may_have_run = outcome is SendOutcome.UNKNOWN
        first_ms = forwarded.server_first_ms
        log.info(
            'send.failed',
            extra={
                'request_id': forwarded.facts.request_id,
                'server_id': state.listed.id,
                'address': f'{state.listed.ip}:{state.listed.port}',
                'outcome': outcome.value,
                'detail': detail,
                'took_ms': round(self._context.now_ms() - started_ms, 1),
                'last_event_id': forwarded.last_event_id,
                'failures_in_row': state.failures_count,
                'left_ms': round(forwarded.until_ms - self._context.now_ms(), 1),
                'content': forwarded.content.digest if may_have_run else None,
                'since_first_event_ms': (
                    None if first_ms is None else round(self._context.now_ms() - first_ms, 1)
                ),
            },
        )

    def suspected(self, forwarded: ForwardedRequest, state: ServerState, waited_ms: float) -> None:
        """Tell that a server is silent though its request can go nowhere else."""
        log.info(
            'server.suspected',
            extra={
                'request_id': forwarded.facts.request_id,
                'server_id': state.listed.id,
                'waited_ms': round(waited_ms, 1),
                'failures_in_row': state.failures_count,
            },
        )

    def stopped(
        self, forwarded: ForwardedRequest, standing: SuspectStatus, exits_count: float
    ) -> None:
        """Tell that a request is not sent on, as servers have ended under the same work."""
        log.info(
            'request.stopped',
            extra={
                'request_id': forwarded.facts.request_id,
                'content': forwarded.content.digest,
                'standing': standing.value,
                'servers_ended': round(exits_count, 2),
                'sends_before': forwarded.course.sends_count,
            },
        )

    def ended(self, forwarded: ForwardedRequest, end: RequestResult) -> None:
        """Tell how a request ended."""
        now_ms = self._context.now_ms()
        took_ms = now_ms - forwarded.request.arrived_ms
        first_ms = (forwarded.first_answer_ms or now_ms) - forwarded.request.arrived_ms
        self._metrics.record_request(forwarded.route.name, end.value, first_ms, took_ms)
        if forwarded.account.id and end is RequestResult.DONE:
            self._metrics.record_account_first_answer(forwarded.account.id, first_ms)
        log.info(
            'request.end',
            extra={
                **_common_fields(forwarded),
                'end': end.value,
                'sends': forwarded.course.sends_count + (end is RequestResult.DONE),
                'first_ms': round(first_ms, 1),
                'took_ms': round(took_ms, 1),
                'events': forwarded.events_count,
            },
        )


def _common_fields(forwarded: ForwardedRequest) -> dict[str, object]:
    """Name a request, and what it was judged by."""
    return {
        'request_id': forwarded.facts.request_id,
        'route': forwarded.route.name,
        'account': forwarded.account.id,
        'config_version': forwarded.config_version,
    }
