"""The door for batch jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec

from citrondyke.decisions.batch.job import JobHead, cut_page
from citrondyke.decisions.batch.owned_job import OwnedJob
from citrondyke.errors import InvalidFieldError
from citrondyke.errors.caller_gone import CallerGoneError
from citrondyke.gateway.dialect import JobCallKind, JobPage
from citrondyke.gateway.job_rows import CommitVerdict, NoJob, NoJobReason, StoredHead
from citrondyke.ids import InstanceId, JobId

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.batch.job import ItemResult, JobItem
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.gateway.caller_connection import CallerConnection, CallerRequest
    from citrondyke.gateway.dialect import CallFacts, Dialect, JobCall
    from citrondyke.gateway.job_reader import JobReader
    from citrondyke.gateway.job_runner import JobRunner
    from citrondyke.gateway.job_store import JobStore
    from citrondyke.gateway.owned_jobs import OwnedJobs

__all__ = ('JobDoor',)

log = logbook.Logger(__name__)

#: A job that cannot be made durable within this time is answered, so that its caller can try
#: another instance; of the routes' 4,000 ms that leaves room for two more tries.
ACCEPT_WITHIN_MS = 1_500.0
#: Other changes and reads of the store are tried for so long.
CHANGE_WITHIN_MS = 2_500.0
PAUSE_MS = 60.0
#: A try that has less time is not begun: cut off, it would leave in doubt what was certain. By way
#: of a peer one takes 150 ms and more.
SHORTEST_TRY_MS = 300.0
RETRY_IN_MS = 250.0
#: Bytes of items in the hands of one instance beyond which it takes no further job, as a part of
#: its memory: they are held twice while they are packed.
MEMORY_SHARE = 0.15
#: The longest that a read waits for a result.
WAIT_LIMIT_MS = 2_000.0
JSON_TYPE = (b'content-type', b'application/json')


class JobDoor:
    """Takes jobs in and answers questions about them."""

    def __init__(
        self,
        context: Context,
        life: str,
        dialect: Dialect,
        store: JobStore,
        owned: OwnedJobs,
        runner: JobRunner,
        reader: JobReader,
        tell_owner: Callable[[JobId, InstanceId], None],
        memory_bytes: int,
    ) -> None:
        """Use the parts handed in.

        :param life: names this life of this instance.
        :param tell_owner: tells a job's owner that its head changed.
        """
        self._context = context
        self._life = life
        self._dialect = dialect
        self._store = store
        self._owned = owned
        self._runner = runner
        self._reader = reader
        self._tell_owner = tell_owner
        self._items_limit_bytes = memory_bytes * MEMORY_SHARE

    def submit(
        self,
        caller: CallerConnection,
        request: CallerRequest,
        facts: CallFacts,
        route: Route,
    ) -> None:
        """Take a job in, once, however often it is sent."""
        try:
            items = self._dialect.job_items(request.body)
        except InvalidFieldError as error:
            log.info('job.improper', extra={'job_id': facts.request_id, 'detail': error.message})
            self._answer(caller, facts, 400)
            return
        if self._owned.is_stopping or self._owned.held_bytes() > self._items_limit_bytes:
            self._log_refused(facts, request, 'stopping or full')
            self._answer(caller, facts, 503, RETRY_IN_MS)
            return
        head = self._new_head(JobId(facts.request_id), request, route, items)
        accepted = self._accept(head, items)
        if isinstance(accepted, StoredHead):
            self._take(accepted, items, request)
            self._answer(caller, facts, 202)
            return
        self._log_refused(facts, request, accepted.value)
        if accepted is CommitVerdict.IN_DOUBT:
            # It may become durable yet, so "not run" would not be true.
            self._answer(caller, facts, 504)
            return
        self._answer(caller, facts, 503, RETRY_IN_MS)

    def handle(self, caller: CallerConnection, call: JobCall, facts: CallFacts) -> None:
        """Answer a question about a job."""
        caller.watch()
        try:
            if call.kind is JobCallKind.READ:
                self._read(caller, call, facts)
            elif call.kind is JobCallKind.ITEM_BODY:
                self._item_body(caller, call, facts)
            else:
                self._end(caller, call, facts)
        except CallerGoneError:
            caller.abort()
        finally:
            caller.unwatch()

    def _accept(self, head: JobHead, items: list[JobItem]) -> StoredHead | CommitVerdict:
        until_ms = self._context.now_ms() + ACCEPT_WITHIN_MS
        verdict = CommitVerdict.NOT_WRITTEN
        while True:
            # A try that is cut off here may still take effect, so that it counts as in doubt.
            answer: StoredHead | CommitVerdict = CommitVerdict.IN_DOUBT
            with gevent.Timeout(max(0.0, until_ms - self._context.now_ms()) / 1e3, False):
                answer = self._store.accept(head, items)
            if isinstance(answer, StoredHead):
                return answer
            if answer is CommitVerdict.IN_DOUBT:
                verdict = answer
            if self._context.now_ms() + PAUSE_MS + SHORTEST_TRY_MS > until_ms:
                return verdict
            gevent.sleep(self._context.jittered_ms(PAUSE_MS) / 1e3)

    def _take(self, accepted: StoredHead, items: list[JobItem], request: CallerRequest) -> None:
        head = accepted.head
        self._reader.remember(head)
        is_own = (head.owner, head.owner_life) == (self._context.instance_id, self._life)
        is_known = head.job_id in self._owned.by_id
        log.info(
            'job.accepted',
            extra={
                'job_id': head.job_id,
                'route': head.route,
                'items': head.items_count,
                'owner': head.owner,
                'version': accepted.version,
                'is_repeat': not is_own or is_known,
                'took_ms': self._took_ms(request),
            },
        )
        if is_own and not is_known and not head.is_ended and not head.is_done:
            self._runner.add(OwnedJob(head, accepted.version, items))

    def _new_head(
        self, job_id: JobId, request: CallerRequest, route: Route, items: list[JobItem]
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
            owner_life=self._life,
            accepted_epoch_ms=now_ms,
            due_epoch_ms=now_ms + route.completion_target_ms,
            abandon_epoch_ms=now_ms + (route.item_wait_ms or route.completion_target_ms * 4),
            attempts_limit=route.attempts_limit,
        )

    def _read(self, caller: CallerConnection, call: JobCall, facts: CallFacts) -> None:
        until_ms = self._context.now_ms() + min(call.wait_ms, WAIT_LIMIT_MS)
        job = self._owned.owned(call.job_id)
        results: list[ItemResult] | NoJob
        if job is not None:
            while len(job.results) <= call.after and not job.is_over:
                left_ms = until_ms - self._context.now_ms()
                if left_ms <= 0:
                    break
                self._owned.wait_listed(call.job_id, left_ms)
            total = job.head.items_count
            results = job.results[call.after :]
        else:
            view = self._reader.view(call.job_id)
            if isinstance(view, NoJob):
                self._answer_no_job(caller, call, facts, view)
                return
            total = view.head.items_count
            results = self._reader.results(view, call.after, until_ms)
            if isinstance(results, NoJob):
                self._answer_no_job(caller, call, facts, results)
                return
        page = JobPage(total, call.after, cut_page(results))
        headers = [*self._dialect.own_answer(facts.request_id, None), JSON_TYPE]
        caller.unwatch()
        caller.send_whole(200, headers, self._dialect.job_page(page))

    def _item_body(self, caller: CallerConnection, call: JobCall, facts: CallFacts) -> None:
        job = self._owned.owned(call.job_id)
        body: bytes | NoJob | None
        if job is not None:
            body = None if job.head.is_ended else job.body(call.item_id)
        else:
            stored = self._store.head(call.job_id)
            if isinstance(stored, NoJob):
                self._answer_no_job(caller, call, facts, stored)
                return
            body = None
            if not stored.head.is_ended:
                view = self._reader.remember(stored.head)
                body = self._reader.body(view, call.item_id)
        if isinstance(body, NoJob):
            self._answer_no_job(caller, call, facts, body)
            return
        caller.unwatch()
        if body is None:
            self._answer(caller, facts, 404)
            return
        caller.send_whole(200, self._dialect.own_answer(facts.request_id, None), body)

    def _end(self, caller: CallerConnection, call: JobCall, facts: CallFacts) -> None:
        until_ms = self._context.now_ms() + CHANGE_WITHIN_MS
        while True:
            stored = self._store.head(call.job_id)
            if isinstance(stored, NoJob):
                if stored.reason is NoJobReason.UNKNOWN:
                    self._answer_no_job(caller, call, facts, stored)
                    return
            elif stored.head.is_ended or isinstance(
                self._store.change_head(
                    stored, msgspec.structs.replace(stored.head, is_ended=True)
                ),
                StoredHead,
            ):
                self._owned.lose(call.job_id, 'ended by its caller')
                self._tell_owner(call.job_id, stored.head.owner)
                log.info('job.ended', extra={'job_id': call.job_id})
                caller.unwatch()
                self._answer(caller, facts, 200)
                return
            if self._context.now_ms() + PAUSE_MS > until_ms:
                log.info('job.end_in_doubt', extra={'job_id': call.job_id})
                caller.unwatch()
                self._answer(caller, facts, 504)
                return
            gevent.sleep(self._context.jittered_ms(PAUSE_MS) / 1e3)

    def _answer_no_job(
        self, caller: CallerConnection, call: JobCall, facts: CallFacts, missing: NoJob
    ) -> None:
        log.info(
            'job.not_shown',
            extra={
                'job_id': call.job_id,
                'call': call.kind.value,
                'after': call.after,
                'reason': missing.reason.value,
            },
        )
        caller.unwatch()
        if missing.reason is NoJobReason.UNKNOWN:
            self._answer(caller, facts, 404)
        else:
            self._answer(caller, facts, 503, RETRY_IN_MS)

    def _answer(
        self,
        caller: CallerConnection,
        facts: CallFacts,
        status: int,
        retry_in_ms: float | None = None,
    ) -> None:
        headers = self._dialect.own_answer(facts.request_id, retry_in_ms)
        caller.send_whole(status, headers, b'')

    def _log_refused(self, facts: CallFacts, request: CallerRequest, reason: str) -> None:
        log.info(
            'job.refused',
            extra={
                'job_id': facts.request_id,
                'reason': reason,
                'took_ms': self._took_ms(request),
            },
        )

    def _took_ms(self, request: CallerRequest) -> float:
        return round(self._context.now_ms() - request.arrived_ms, 1)
