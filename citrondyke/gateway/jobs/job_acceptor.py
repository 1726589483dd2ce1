"""Acceptance of batch jobs: idempotent, and within the backlog limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec

from citrondyke.decisions.batch.acceptance_deadline import begin_acceptance
from citrondyke.decisions.batch.backlog_limit import BacklogFull
from citrondyke.decisions.batch.job import JobHead
from citrondyke.decisions.batch.owned_job import OwnedJob
from citrondyke.errors import InvalidFieldError
from citrondyke.gateway.jobs.job_rows import CommitVerdict, NoJobReason, StoredHead
from citrondyke.ids import InstanceId, JobId
from citrondyke.storage.failure import PlatformFailure

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.batch.acceptance_deadline import AcceptanceDeadline
    from citrondyke.decisions.batch.job import JobItem
    from citrondyke.decisions.batch.job_clock import JobClock
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.gateway.callers.caller_connection import CallerConnection
    from citrondyke.gateway.callers.caller_request import CallerRequest
    from citrondyke.gateway.dialect import Dialect, RequestMetadata
    from citrondyke.gateway.jobs.backlog_limiter import BacklogLimiter
    from citrondyke.gateway.jobs.job_reader import JobReader
    from citrondyke.gateway.jobs.job_runner import JobRunner
    from citrondyke.gateway.jobs.job_store import JobStore
    from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
    from citrondyke.gateway.jobs.route_backlog_limiter import BacklogReservation

__all__ = ('JobAcceptor',)

log = logbook.Logger(__name__)

RETRY_PAUSE_MS = 60.0
#: An attempt is not started with less time left: aborting it would turn a known outcome into an
#: uncertain one. An attempt through a peer takes 150 ms or more.
MIN_ATTEMPT_MS = 300.0
RETRY_IN_MS = 250.0
#: Fraction of the items' memory for jobs whose callers are held until the store answers.
HELD_MEMORY_SHARE = 0.25


class _Response(msgspec.Struct, frozen=True):
    """Response to the caller."""

    status: int
    reason: str = ''
    retry_in_ms: float | None = None


#: The job may still become durable, so the caller must not get "not run".
OUTCOME_UNCERTAIN = _Response(504, CommitVerdict.UNCERTAIN.value)


#: The id belongs to a job of another account; nothing else about that job may be disclosed.
FOREIGN = _Response(404, 'id of another account')


class JobAcceptor:
    """Accepts each submitted job at most once and stores it durably."""

    def __init__(
        self,
        context: Context,
        job_clock: JobClock,
        incarnation: str,
        dialect: Dialect,
        store: JobStore,
        owned: OwnedJobs,
        runner: JobRunner,
        reader: JobReader,
        backlog: BacklogLimiter,
        items_limit_bytes: float,
    ) -> None:
        """Initialize the acceptor.

        :param incarnation: identifies the current incarnation of this instance.
        :param items_limit_bytes: size of the owned items from which further jobs are rejected.
        """
        self._context = context
        self._job_clock = job_clock
        self._incarnation = incarnation
        self._dialect = dialect
        self._store = store
        self._owned = owned
        self._runner = runner
        self._reader = reader
        self._backlog = backlog
        self._items_limit_bytes = items_limit_bytes
        #: Bytes of the jobs that are being written to the store.
        self._held_bytes = 0

    def submit(
        self,
        caller: CallerConnection,
        request: CallerRequest,
        metadata: RequestMetadata,
        route: Route,
        account: Account,
    ) -> None:
        """Accept an account's job; repeated submissions of the same job are idempotent."""
        answer = self._accept_request(request, metadata, route, account)
        if answer.reason:
            log.info(
                'job.refused',
                extra={
                    'job_id': metadata.request_id,
                    'reason': answer.reason,
                    'status': answer.status,
                    'retry_in_ms': answer.retry_in_ms,
                    'took_ms': self._took_ms(request),
                },
            )
        headers = self._dialect.own_response_headers(metadata.request_id, answer.retry_in_ms)
        caller.send_whole(answer.status, headers, b'')

    def _accept_request(
        self, request: CallerRequest, metadata: RequestMetadata, route: Route, account: Account
    ) -> _Response:
        try:
            items = self._dialect.job_items(request.body)
        except InvalidFieldError as error:
            return _Response(400, error.message)
        if self._owned.is_stopping or self._owned.held_bytes() > self._items_limit_bytes:
            return _Response(503, 'stopping or full', RETRY_IN_MS)
        head = self._new_head(JobId(metadata.request_id), request, route, account, items)
        deadline = self._begin_deadline(request, metadata, route)
        self._held_bytes += len(request.body)
        try:
            return self._make_durable(head, items, request, deadline, route)
        finally:
            self._held_bytes -= len(request.body)

    def _begin_deadline(
        self, request: CallerRequest, metadata: RequestMetadata, route: Route
    ) -> AcceptanceDeadline:
        """Start the deadline for the store.

        A caller that states no deadline may disconnect at any time and is not held.
        """
        within_ms = min(route.timeout_ms, metadata.within_ms or 0.0)
        has_free_memory = self._held_bytes <= self._items_limit_bytes * HELD_MEMORY_SHARE
        may_hold = metadata.within_ms is not None and has_free_memory
        return begin_acceptance(
            self._context.now_ms(), request.arrived_ms + within_ms, may_hold=may_hold
        )

    def _make_durable(
        self,
        head: JobHead,
        items: list[JobItem],
        request: CallerRequest,
        deadline: AcceptanceDeadline,
        route: Route,
    ) -> _Response:
        reserved = self._reserve(head, route, deadline)
        if isinstance(reserved, BacklogFull):
            return self._reject(head, reserved, request)
        if isinstance(reserved, PlatformFailure):
            return _Response(503, f'backlog headroom unknown: {reserved.reason.value}', RETRY_IN_MS)
        accepted: StoredHead | CommitVerdict = CommitVerdict.UNCERTAIN
        try:
            accepted = self._accept(head, items, deadline)
            is_foreign = isinstance(accepted, StoredHead) and accepted.head.account != head.account
            if isinstance(accepted, StoredHead) and not is_foreign:
                self._record_accepted(accepted, items, request)
        finally:
            is_uncertain = accepted is CommitVerdict.UNCERTAIN
            self._backlog.settle(head.backlog_name, head.job_id, is_uncertain=is_uncertain)
        if is_foreign:
            return FOREIGN
        if isinstance(accepted, StoredHead):
            return _Response(202)
        if is_uncertain:
            return OUTCOME_UNCERTAIN
        return _Response(503, accepted.value, RETRY_IN_MS)

    def _reject(
        self, head: JobHead, backlog_full: BacklogFull, request: CallerRequest
    ) -> _Response:
        """Reject a job that exceeds the backlog limit, unless it was accepted before."""
        stored = self._store.current_head(head.job_id)
        if isinstance(stored, StoredHead):
            if stored.head.account != head.account:
                return FOREIGN
            self._record_accepted(stored, [], request)
            return _Response(202)
        if stored.reason is NoJobReason.UNKNOWN:
            return _Response(429, 'backlog full', backlog_full.retry_in_ms)
        return OUTCOME_UNCERTAIN

    def _reserve(
        self, head: JobHead, route: Route, deadline: AcceptanceDeadline
    ) -> BacklogReservation | BacklogFull | PlatformFailure:
        while True:
            reserved = self._backlog.reserve(
                route, head.job_id, head.tokens, deadline.latest_answer_ms, head.account
            )
            if not isinstance(reserved, PlatformFailure):
                return reserved
            if not self._pause_before_retry(head, deadline):
                return reserved

    def _accept(
        self, head: JobHead, items: list[JobItem], deadline: AcceptanceDeadline
    ) -> StoredHead | CommitVerdict:
        verdict = CommitVerdict.NOT_WRITTEN
        while True:
            # An attempt that times out here may still take effect, so its outcome is uncertain.
            answer: StoredHead | CommitVerdict = CommitVerdict.UNCERTAIN
            with gevent.Timeout(
                max(0.0, deadline.answer_at_ms - self._context.now_ms()) / 1e3, False
            ):
                answer = self._store.accept(head, items)
            if isinstance(answer, StoredHead):
                return answer
            if answer is CommitVerdict.UNCERTAIN:
                verdict = answer
            if not self._pause_before_retry(head, deadline):
                return verdict

    def _pause_before_retry(self, head: JobHead, deadline: AcceptanceDeadline) -> bool:
        """Record a failed attempt and pause; return whether there is time for another attempt.

        A stopping instance does not hold callers.
        """
        if (
            not deadline.is_store_unreachable
            and deadline.latest_answer_ms > deadline.redirect_at_ms
        ):
            until_ms = deadline.latest_answer_ms - self._context.now_ms()
            log.info('job.held', extra={'job_id': head.job_id, 'longest_ms': round(until_ms)})
        deadline.record_failed()
        is_time_left = (
            self._context.now_ms() + RETRY_PAUSE_MS + MIN_ATTEMPT_MS <= deadline.answer_at_ms
        )
        if not is_time_left or self._owned.is_stopping:
            return False
        gevent.sleep(self._context.jittered_ms(RETRY_PAUSE_MS) / 1e3)
        return True

    def _record_accepted(
        self, accepted: StoredHead, items: list[JobItem], request: CallerRequest
    ) -> None:
        head = accepted.head
        self._reader.cache_head(head)
        is_own = (head.owner, head.owner_life) == (self._context.instance_id, self._incarnation)
        is_known = head.job_id in self._owned.by_id
        log.info(
            'job.accepted',
            extra={
                'job_id': head.job_id,
                'route': head.route,
                'account': head.account,
                'items': head.items_count,
                'tokens': head.tokens,
                'owner': head.owner,
                'version': accepted.version,
                'is_repeat': not is_own or is_known,
                'took_ms': self._took_ms(request),
            },
        )
        if is_own and items and not is_known and not head.is_ended and not head.is_done:
            self._runner.add(OwnedJob(head, accepted.version, items))

    def _new_head(
        self,
        job_id: JobId,
        request: CallerRequest,
        route: Route,
        account: Account,
        items: list[JobItem],
    ) -> JobHead:
        now_ms = self._context.epoch_ms()
        return JobHead(
            job_id=job_id,
            route=route.name,
            host=request.host,
            items_count=len(items),
            chunks_count=0,
            in_objects=False,
            owner=InstanceId(self._context.instance_id),
            owner_life=self._incarnation,
            accepted_epoch_ms=now_ms,
            due_epoch_ms=now_ms + route.completion_target_ms,
            abandon_epoch_ms=now_ms + (route.item_wait_ms or route.completion_target_ms * 4),
            attempts_limit=route.attempts_limit,
            tokens=sum(item.tokens for item in items),
            account=account.id,
            accepted_store_ms=self._job_clock.stamp_ms,
        )

    def _took_ms(self, request: CallerRequest) -> float:
        return round(self._context.now_ms() - request.arrived_ms, 1)
