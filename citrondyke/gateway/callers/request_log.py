"""Log events and metrics of online requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from citrondyke.decisions.forwarding.send_history import SendOutcome
from citrondyke.gateway.callers.forwarded_request import RequestResult
from citrondyke.gateway.server_names import server_names

if TYPE_CHECKING:
    from collections.abc import Collection

    from citrondyke.decisions.accounts.fleet_rate_limiter import LimitVerdict
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.crashes.suspect_registry import SuspectVerdict
    from citrondyke.decisions.forwarding.admission_rule import Rejected
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.gateway.callers.forwarded_request import ForwardedRequest
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.ids import ServerIncarnation

__all__ = ('RequestLog',)

log = logbook.Logger(__name__)

#: Parts of a prompt that are named in one line.
NAMED_PARTS_LIMIT = 8


class RequestLog:
    """Logs one line for each decision about a request."""

    def __init__(self, context: Context, metrics: Metrics) -> None:
        """Use the parts handed in."""
        self._context = context
        self._metrics = metrics

    def rejected(self, forwarded: ForwardedRequest, state: ServerState, answer: Rejected) -> None:
        """Log that a request was rejected for lack of capacity."""
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
        """Log that a request was rejected by its account's limit, and which instance decided."""
        log.info(
            'request.over_limit',
            extra={
                'request_id': forwarded.metadata.request_id,
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
        """Log which server was chosen, with the state that led to the choice.

        The line is written before the send: if the instance is killed, it is the only record of the
        request.
        """
        now_ms = self._context.now_ms()
        log.info(
            'request.sent',
            extra={
                **_common_fields(forwarded),
                'server_id': state.listed.id,
                'server_zone': state.listed.zone,
                'server_version': state.listed.software_version,
                'online_count': state.online_count(now_ms),
                'batch_count': state.batch_count(now_ms),
                'expected_wait_ms': round(expected_wait_ms, 1),
                'server_standing': state.health_record.health.value,
                'slowness': round(state.expected_slowdown(now_ms), 2),
                'sends_before': forwarded.history.sends_count,
                'last_event_id': forwarded.last_event_id,
                'begun_by': forwarded.metadata.begun_by,
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
        """Log how a send to a server failed, with the content digest if the request may have run.

        Each attempt of a caller has an id of its own. Without the digest, servers that crash while
        running a retried request cannot be told from unrelated crashes.
        """
        may_have_run = outcome is SendOutcome.UNKNOWN
        first_ms = forwarded.server_first_ms
        log.info(
            'send.failed',
            extra={
                'request_id': forwarded.metadata.request_id,
                'server_id': state.listed.id,
                'server_version': state.listed.software_version,
                'address': f'{state.listed.ip}:{state.listed.port}',
                'outcome': outcome.value,
                'detail': detail,
                'took_ms': round(self._context.now_ms() - started_ms, 1),
                'last_event_id': forwarded.last_event_id,
                'failures_in_row': state.failures_count,
                'left_ms': round(forwarded.until_ms - self._context.now_ms(), 1),
                'content': forwarded.keys.content.digest if may_have_run else None,
                'prompt_parts': forwarded.metadata.prompt_parts[:NAMED_PARTS_LIMIT],
                'since_first_event_ms': (
                    None if first_ms is None else round(self._context.now_ms() - first_ms, 1)
                ),
            },
        )

    def suspected(self, forwarded: ForwardedRequest, state: ServerState, waited_ms: float) -> None:
        """Log that a server is unresponsive while its request may not be sent elsewhere."""
        log.info(
            'server.suspected',
            extra={
                'request_id': forwarded.metadata.request_id,
                'server_id': state.listed.id,
                'waited_ms': round(waited_ms, 1),
                'failures_in_row': state.failures_count,
            },
        )

    def stream_run_ended(
        self, forwarded: ForwardedRequest, state: ServerState, status: int, *, is_framed: bool
    ) -> None:
        """Log and count the orderly end of a stream's run, and by whose word the stream ends.

        The verdict on a stream that can't be resumed is always that of its only server.
        """
        verdict = forwarded.end_verdict
        name = 'own' if verdict is None else verdict.value
        self._metrics.counters[f'stream_ends_{name}'] += 1
        if not forwarded.run_events_count:
            self._metrics.counters['stream_ends_without_event'] += 1
        log.info(
            'stream.ended',
            extra={
                'request_id': forwarded.metadata.request_id,
                'server_id': state.listed.id,
                'verdict': name,
                'stated_by': server_names(forwarded.stream_end.ending_servers),
                'is_framed': is_framed,
                'status': status,
                'events_count': forwarded.run_events_count,
                'last_event_id': forwarded.last_event_id,
                'after_interruption': forwarded.was_interrupted,
            },
        )

    def stream_end_refuted(
        self,
        forwarded: ForwardedRequest,
        state: ServerState,
        stated_by: Collection[ServerIncarnation],
    ) -> None:
        """Log and count that a run brings events after an end that servers have stated."""
        self._metrics.counters['stream_ends_refuted'] += 1
        log.info(
            'stream.end_refuted',
            extra={
                'request_id': forwarded.metadata.request_id,
                'server_id': state.listed.id,
                'stated_by': server_names(stated_by),
                'events_count': forwarded.run_events_count,
                'last_event_id': forwarded.last_event_id,
            },
        )

    def stream_end_unconfirmed(self, forwarded: ForwardedRequest) -> None:
        """Log and count that nobody can confirm the stated end of a stream."""
        self._metrics.counters['stream_ends_given_up'] += 1
        log.info(
            'stream.end_unconfirmed',
            extra={
                'request_id': forwarded.metadata.request_id,
                'stated_by': server_names(forwarded.stream_end.ending_servers),
                'sends': forwarded.history.sends_count,
                'last_event_id': forwarded.last_event_id,
                'left_ms': round(forwarded.until_ms - self._context.now_ms(), 1),
                'is_passed_on': forwarded.may_end_unconfirmed,
            },
        )

    def stopped(
        self, forwarded: ForwardedRequest, verdict: SuspectVerdict, exits_count: float
    ) -> None:
        """Log that a request is stopped because its content or prompt has crashed servers."""
        log.info(
            'request.stopped',
            extra={
                'request_id': forwarded.metadata.request_id,
                'content': forwarded.keys.content.digest,
                'prompt_part': verdict.key.digest if verdict.key and verdict.key.is_part else None,
                'standing': verdict.status.value,
                'servers_ended': round(exits_count, 2),
                'sends_before': forwarded.history.sends_count,
            },
        )

    def failed(self, forwarded: ForwardedRequest) -> None:
        """Log and count an unexpected exception, with its traceback; called from its handler."""
        self._metrics.counters['requests_failed_internally'] += 1
        sends_count = forwarded.history.sends_count
        log.exception(
            'request.failed',
            extra={
                **_common_fields(forwarded),
                'phase': 'relay' if forwarded.has_begun else 'sent' if sends_count else 'admission',
                'sends': sends_count,
                'verdict': forwarded.history.verdict.value,
            },
        )

    def ended(self, forwarded: ForwardedRequest, end: RequestResult) -> None:
        """Log and count the result of a request."""
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
                'sends': forwarded.history.sends_count + _has_answered_send(forwarded, end),
                'first_ms': round(first_ms, 1),
                'took_ms': round(took_ms, 1),
                'events': forwarded.events_count,
                'prompt_parts': forwarded.metadata.prompt_parts[:NAMED_PARTS_LIMIT],
            },
        )


def _has_answered_send(forwarded: ForwardedRequest, end: RequestResult) -> bool:
    """Return whether a send is missing in the history because it was answered."""
    return end is RequestResult.DONE and not forwarded.is_passed_on_unconfirmed


def _common_fields(forwarded: ForwardedRequest) -> dict[str, object]:
    """Return the fields that identify a request and the configuration that applied to it."""
    return {
        'request_id': forwarded.metadata.request_id,
        'route': forwarded.route.name,
        'account': forwarded.account.id,
        'config_version': forwarded.config_version,
    }
