"""Runs batch items on backend servers and evaluates the replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.core.ops import call_server, sleep_until
from citrondyke.decisions.core.server_call import ReplyKind, ServerCall
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.crashes.engine_crash_guard import EngineCrashGuard
from citrondyke.decisions.crashes.probe_policy import ITEM_PROBES
from citrondyke.decisions.jobs.frames import assemble_answer
from citrondyke.decisions.jobs.item_event import ItemAttemptFailed, ItemBegunAnew
from citrondyke.decisions.jobs.outcome import (
    FailureCode,
    ItemOutcome,
    failed_outcome,
    success_outcome,
)

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.core.server_call import ServerReply
    from citrondyke.decisions.jobs.batch_item import BatchItem
    from citrondyke.decisions.jobs.held_segment import HeldSegment
    from citrondyke.decisions.jobs.pending_items import PendingItems
    from citrondyke.decisions.sharing.server_share import ServerShare
    from citrondyke.ids import RequestId, ServerId, SoftwareVersion

__all__ = ('ItemRunner', 'must_run_isolated')

#: Failed attempts of one item, over all holders, after which it fails.
ATTEMPTS_LIMIT = 3
ATTEMPT_TIMEOUT_MS = 600_000.0
#: Statuses that are not caused by the request itself.
TRANSIENT_STATUSES = frozenset({408, 425, 429})
#: Pause of an item after a server rejected it without running it.
REJECTED_PAUSE_MS = 50.0


class ItemRunner:
    """Batch items of this instance that run on backend servers."""

    def __init__(self, context: Context, crashes: EngineCrashGuard | None = None) -> None:
        """Start without running items.

        :param crashes: evidence of what crashes engines; by default not shared with anybody.
        """
        self._crashes = EngineCrashGuard(context) if crashes is None else crashes
        self._context = context
        self._items: dict[RequestId, BatchItem] = {}
        #: Servers that run one item in isolation.
        self._isolating: set[ServerId] = set()
        #: When each server last interrupted an item.
        self._interrupted_ms: dict[ServerId, float] = {}

    @property
    def has_suspects(self) -> bool:
        """Whether any item may be blocked by a part of its prompt."""
        return self._crashes.has_suspects

    def may_send(self, item: BatchItem) -> bool:
        """Return whether an item may run, as far as the parts of its prompt are concerned."""
        return (
            not self.has_suspects or not self._crashes.verdict_on(item.keys, ITEM_PROBES).is_blocked
        )

    def is_hopeless(self, item: BatchItem) -> bool:
        """Return whether an item has a part under which engines crash, also in a probe."""
        return self._crashes.is_confirmed(item.keys)

    def fail_blocked(self, held: HeldSegment, item: BatchItem) -> None:
        """Fail an item that will not be sent again; it would stay open until its job expires."""
        verdict = self._crashes.verdict_on(item.keys, ITEM_PROBES)
        self._crashes.report_blocked(item.request_id, verdict)
        run = 'unknown' if item.may_have_run or item.attempts else 'not_run'
        outcome = failed_outcome(item.request_id, item.custom_id, FailureCode.BLOCKED, run)
        held.record_outcome(item.position, outcome)

    def preempt(self, request_ids: list[RequestId]) -> None:
        """Preempt items whose capacity online requests need; they resume later."""
        for request_id in request_ids:
            item = self._items.get(request_id)
            if item is not None:
                item.cancel.fire(None)

    def reserve_isolation_server(
        self, pending: PendingItems, shares: list[tuple[ServerId, ServerShare]]
    ) -> ServerId | None:
        """Reserve one server for items that must run in isolation, while there are any.

        An item that crashes its server also aborts the items that run beside it. After a few
        crashes these would have exhausted their attempts as well, although they are not the cause.
        An item that runs in isolation can only be aborted by a crash that it caused itself.
        """
        running = [server_id for server_id, _ in shares if server_id in self._isolating]
        if running:
            return running[0]
        if not pending.has_suspects or not shares:
            return None
        return min(server_id for server_id, _ in shares)

    def may_run_isolated(self, server_id: ServerId, share: ServerShare) -> bool:
        """Return whether an interruption of the next item would be caused by that item.

        The server must run nothing else of this instance. After an interruption it must also have
        answered a later request: an exiting process closes its sockets one after the other, and
        until then it still accepts connections. A server that never reports its load is used
        without that.
        """
        if share.batch_count:
            return False
        interrupted_ms = self._interrupted_ms.get(server_id)
        if interrupted_ms is None or share.alive_at_ms is None:
            return True
        return share.alive_at_ms > interrupted_ms

    def begin(
        self,
        held: HeldSegment,
        item: BatchItem,
        server_id: ServerId,
        share: ServerShare,
        pending: PendingItems,
        software_version: SoftwareVersion | None = None,
    ) -> Workflow[None]:
        """Register an item as running on a server and return the workflow that runs it.

        An item whose events another software version has sent begins anew.

        :param software_version: version of the server; ``None`` if it is not stated.
        """
        if item.frames and item.software_version != software_version:
            self._context.report(
                ItemBegunAnew(
                    request_id=item.request_id,
                    server_id=server_id,
                    frames_count=len(item.frames),
                    version_before=item.software_version,
                    software_version=software_version,
                )
            )
            item.frames.clear()
        item.software_version = software_version
        item.cancel = Signal()
        item.is_running = True
        if must_run_isolated(item):
            self._isolating.add(server_id)
        self._items[item.request_id] = item
        share.on_batch_start(item.request_id, self._context.now_ms())
        return self._run_item(held, item, server_id, share, pending)

    def _run_item(
        self,
        held: HeldSegment,
        item: BatchItem,
        server_id: ServerId,
        share: ServerShare,
        pending: PendingItems,
    ) -> Workflow[None]:
        began_ms = self._context.now_ms()
        beside_at_start = share.batch_count - 1
        call = self._call_of(held, item, server_id, share, began_ms)
        reply = yield from call_server(call)
        now_ms = self._context.now_ms()
        item.is_running = False
        if item.is_model:
            took_ms = now_ms - began_ms
            self._crashes.record_reply(item.keys, server_id, reply, took_ms, is_item=True)
            yield from self._crashes.publish()
        self._isolating.discard(server_id)
        self._items.pop(item.request_id, None)
        share.on_batch_end(item.request_id, now_ms)
        beside_at_end = share.batch_count
        if reply.kind is ReplyKind.CUT:
            self._interrupted_ms[server_id] = now_ms
        if reply.kind is ReplyKind.COMPLETE:
            share.on_call_end(now_ms - began_ms)
        item.frames.extend(reply.frames)
        pending.wake.fire(None)
        if held.is_lost:
            return
        if reply.was_not_run and not held.is_releasing:
            yield from sleep_until(now_ms + REJECTED_PAUSE_MS)
        attempts_before = item.attempts
        was_isolated = must_run_isolated(item)
        self._apply_reply(held, item, reply, pending)
        if item.attempts > attempts_before:
            self._context.report(
                ItemAttemptFailed(
                    request_id=item.request_id,
                    server_id=server_id,
                    kind=reply.kind,
                    status=reply.status,
                    attempts=item.attempts,
                    was_isolated=was_isolated,
                    beside_at_start=beside_at_start,
                    beside_at_end=beside_at_end,
                    elapsed_ms=now_ms - began_ms,
                )
            )
        if held.is_releasing:
            held.wake_up()

    def _call_of(
        self,
        held: HeldSegment,
        item: BatchItem,
        server_id: ServerId,
        share: ServerShare,
        now_ms: float,
    ) -> ServerCall:
        def on_frame(at_ms: float) -> None:
            share.on_frame(item.request_id, at_ms)

        return ServerCall(
            server_id=server_id,
            request_id=item.request_id,
            method=item.method,
            path=item.url,
            headers=(('Idempotency-Key', item.request_id),),
            body=item.body,
            is_streamed=item.is_model,
            refuses_by_status=item.is_model,
            needs_new_connection=must_run_isolated(item) or not held.is_repeatable,
            resume_from_frame=len(item.frames),
            deadline_ms=now_ms + ATTEMPT_TIMEOUT_MS,
            cancel=item.cancel,
            on_frame=on_frame,
        )

    def _apply_reply(
        self, held: HeldSegment, item: BatchItem, reply: ServerReply, pending: PendingItems
    ) -> None:
        """Apply the reply of an attempt: record an outcome or requeue the item."""
        if reply.was_not_run:
            _requeue(held, item, pending)
            return
        item.may_have_run = True
        if reply.kind is ReplyKind.COMPLETE and self._apply_answer(held, item, reply):
            return
        if not held.is_repeatable:
            outcome = failed_outcome(
                item.request_id, item.custom_id, FailureCode.OUTCOME_UNKNOWN, 'unknown'
            )
            held.record_outcome(item.position, outcome)
            return
        if reply.kind is ReplyKind.CANCELLED:
            _requeue(held, item, pending)
            return
        held.record_attempt(item)
        if item.attempts < ATTEMPTS_LIMIT:
            _requeue(held, item, pending)
            return
        outcome = failed_outcome(
            item.request_id,
            item.custom_id,
            FailureCode.ATTEMPTS_EXHAUSTED,
            'unknown',
            status=reply.status,
            body=reply.body,
        )
        held.record_outcome(item.position, outcome)

    def _apply_answer(self, held: HeldSegment, item: BatchItem, reply: ServerReply) -> bool:
        """Apply a complete answer; return whether it determines the item's outcome."""
        if reply.status in TRANSIENT_STATUSES or reply.status >= 500:  # noqa: PLR2004
            if held.is_repeatable:
                return False
            held.record_outcome(item.position, _rejected(item, reply, 'unknown'))
            return True
        if reply.status >= 400:  # noqa: PLR2004
            run = 'not_run' if item.is_model else 'ran'
            held.record_outcome(item.position, _rejected(item, reply, run))
            return True
        body = reply.body
        if item.is_model:
            answer = assemble_answer(item.frames)
            if answer is None:
                # The stream ended cleanly without a complete answer, so it starts over.
                item.frames.clear()
                return False
            body = answer
        outcome = success_outcome(
            item.request_id,
            item.custom_id,
            reply.status,
            body,
            ended_with_connection=reply.ends_with_connection,
        )
        held.record_outcome(item.position, outcome)
        return True


def _requeue(held: HeldSegment, item: BatchItem, pending: PendingItems) -> None:
    if must_run_isolated(item):
        pending.push_suspect(held, item)
    else:
        pending.requeue(held, item)


def must_run_isolated(item: BatchItem) -> bool:
    """Return whether an item has one attempt left and must run in isolation."""
    return item.attempts == ATTEMPTS_LIMIT - 1


def _rejected(item: BatchItem, reply: ServerReply, run: str) -> ItemOutcome:
    return failed_outcome(
        item.request_id,
        item.custom_id,
        FailureCode.REJECTED,
        run,
        status=reply.status,
        body=reply.body,
    )
