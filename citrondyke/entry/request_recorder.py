"""Records the outcome and timings of an online request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from citrondyke.decisions.audit.record import OutcomeRecord, RecordKind
from citrondyke.decisions.online.request import OnlineRequest, OnlineResult, OnlineResultKind
from citrondyke.entry.online_errors import error_for_result
from citrondyke.operator.request_metrics import RequestSample

if TYPE_CHECKING:
    from citrondyke.decisions.configuration.entries import ClassEntry
    from citrondyke.entry.entry_context import EntryContext

__all__ = ('RequestRecorder',)

log = logbook.Logger(__name__)


class RequestRecorder:
    """Measures a request and records its outcome in metrics, audit records and the log."""

    def __init__(self, context: EntryContext, request: OnlineRequest) -> None:
        """Start the measurement."""
        self._context = context
        self._request = request
        self._started_ms = context.clock.now_ms()
        self._is_open = True
        context.open_calls += 1

    def close(self, result: OnlineResult | None) -> None:
        """Record the result; ``None`` if the caller disconnected or an internal error occurred."""
        if result is None:
            self.close_with_outcome('caller_gone')
            return
        if result.kind is OnlineResultKind.ANSWERED and result.reply is not None:
            outcome = 'ok' if result.reply.status < 400 else f'status_{result.reply.status}'  # noqa: PLR2004
            self.close_with_outcome(outcome, result)
            return
        self.close_with_outcome(
            error_for_result(result, has_begun=result.frames_count > 0).code, result
        )

    def close_with_outcome(self, outcome: str, result: OnlineResult | None = None) -> None:
        """Record an outcome; later calls are ignored."""
        if not self._is_open:
            return
        self._is_open = False
        context, request = self._context, self._request
        context.open_calls -= 1
        total_ms = context.clock.now_ms() - self._started_ms
        first_ms = result.first_frame_ms if result is not None else None
        entry = context.instance.config_replica.current.class_entry(request.class_name)
        sample = RequestSample(
            tenant_id=request.tenant_id,
            class_name=request.class_name,
            outcome=outcome,
            total_ms=total_ms,
            first_token_ms=first_ms if request.is_streamed else None,
            tokens_count=result.frames_count if result is not None else 0,
            is_kept=_met_target(entry, request, outcome, result, total_ms),
        )
        context.metrics.add(sample)
        self._add_audit_record(sample)
        if context.settings.logs.requests:
            log.info(
                'request ended',
                extra={
                    'tenant': request.tenant_id,
                    'class': request.class_name,
                    'request_id': request.request_id,
                    'target': request.target,
                    'outcome': outcome,
                    'total_ms': round(total_ms, 2),
                    'attempts': result.attempts if result is not None else 0,
                },
            )

    def _add_audit_record(self, sample: RequestSample) -> None:
        """Add an audit record of the outcome."""
        context, request = self._context, self._request
        now_ms = context.clock.now_ms()
        context.instance.journal.add(
            OutcomeRecord(
                at_epoch_ms=context.clock.epoch_ms(),
                kind=RecordKind.ONLINE if request.is_repeatable else RecordKind.ONCE,
                tenant_id=request.tenant_id,
                class_name=request.class_name,
                target=request.target,
                request_id=request.request_id,
                outcome=sample.outcome,
                is_kept=sample.is_kept,
                first_token_ms=sample.first_token_ms,
                total_ms=sample.total_ms,
                prompt_bytes=len(request.body),
                tokens_count=sample.tokens_count,
                within_ms=request.deadline_ms - now_ms + sample.total_ms,
            )
        )


def _met_target(
    entry: ClassEntry | None,
    request: OnlineRequest,
    outcome: str,
    result: OnlineResult | None,
    total_ms: float,
) -> bool | None:
    """Return whether a request met the latency targets of its class.

    A failed request has missed them. The result is ``None`` if the targets do not apply.
    """
    if entry is None or not request.is_model:
        return None
    if outcome != 'ok' or result is None:
        return False if outcome != 'caller_gone' else None
    if not request.is_streamed or result.first_frame_ms is None:
        return None
    if result.first_frame_ms > entry.first_token_target_ms:
        return False
    gaps = max(1, result.frames_count - 1)
    return (total_ms - result.first_frame_ms) / gaps <= entry.token_gap_target_ms
