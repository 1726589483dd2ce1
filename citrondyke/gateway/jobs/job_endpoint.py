"""Endpoint for requests about batch jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec

from citrondyke.decisions.batch.job import take_page
from citrondyke.errors.caller_gone import CallerGoneError
from citrondyke.gateway.dialect import JobCallKind, JobPage
from citrondyke.gateway.jobs.job_rows import NoJob, NoJobReason, StoredHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.batch.job import ItemResult
    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.callers.caller_connection import CallerConnection
    from citrondyke.gateway.dialect import Dialect, JobCall, RequestMetadata
    from citrondyke.gateway.jobs.job_reader import JobReader
    from citrondyke.gateway.jobs.job_store import JobStore
    from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
    from citrondyke.ids import InstanceId, JobId

__all__ = ('JobEndpoint',)

log = logbook.Logger(__name__)

#: Timeout for ending a job.
CHANGE_WITHIN_MS = 2_500.0
RETRY_PAUSE_MS = 60.0
RETRY_IN_MS = 250.0
#: Longest time that a read waits for a result.
WAIT_LIMIT_MS = 2_000.0
#: A job of another account; the response is the same as for a job that does not exist.
FOREIGN = NoJob(NoJobReason.FOREIGN)
JSON_TYPE = (b'content-type', b'application/json')


class JobEndpoint:
    """Returns results and items of jobs, and ends jobs."""

    def __init__(
        self,
        context: Context,
        dialect: Dialect,
        store: JobStore,
        owned: OwnedJobs,
        reader: JobReader,
        notify_owner: Callable[[JobId, InstanceId], None],
    ) -> None:
        """Initialize the endpoint.

        :param notify_owner: notifies a job's owner that its head changed.
        """
        self._context = context
        self._dialect = dialect
        self._store = store
        self._owned = owned
        self._reader = reader
        self._notify_owner = notify_owner

    def handle(
        self, caller: CallerConnection, call: JobCall, metadata: RequestMetadata, account: Account
    ) -> None:
        """Answer an account's request about a job; jobs of other accounts are hidden from it."""
        caller.watch()
        try:
            if call.kind is JobCallKind.READ:
                self._read(caller, call, metadata, account)
            elif call.kind is JobCallKind.ITEM_BODY:
                self._item_body(caller, call, metadata, account)
            else:
                self._end(caller, call, metadata, account)
        except CallerGoneError:
            caller.abort()
        finally:
            caller.stop_watching_disconnect()

    def _read(
        self, caller: CallerConnection, call: JobCall, metadata: RequestMetadata, account: Account
    ) -> None:
        until_ms = self._context.now_ms() + min(call.wait_ms, WAIT_LIMIT_MS)
        job = self._owned.owned(call.job_id)
        results: list[ItemResult] | NoJob
        # A job that its caller may not see is missing, whatever the position.
        after = call.after
        if job is not None and job.head.account != account.id:
            self._answer_no_job(caller, call, metadata, FOREIGN)
            return
        if job is not None:
            if after is None:
                self._answer_invalid_position(caller, call, metadata)
                return
            while len(job.results) <= after and not job.is_closed:
                left_ms = until_ms - self._context.now_ms()
                if left_ms <= 0:
                    break
                self._owned.wait_for_results(call.job_id, left_ms)
            total = job.head.items_count
            results = job.results[after:]
        else:
            view = self._reader.view(call.job_id)
            if not isinstance(view, NoJob) and view.head.account != account.id:
                view = FOREIGN
            if isinstance(view, NoJob):
                self._answer_no_job(caller, call, metadata, view)
                return
            if after is None:
                self._answer_invalid_position(caller, call, metadata)
                return
            total = view.head.items_count
            results = self._reader.results(view, after, until_ms)
            if isinstance(results, NoJob):
                self._answer_no_job(caller, call, metadata, results)
                return
        page = JobPage(total, after, take_page(results))
        headers = [*self._dialect.own_response_headers(metadata.request_id, None), JSON_TYPE]
        caller.stop_watching_disconnect()
        caller.send_whole(200, headers, self._dialect.job_page(page))

    def _item_body(
        self, caller: CallerConnection, call: JobCall, metadata: RequestMetadata, account: Account
    ) -> None:
        job = self._owned.owned(call.job_id)
        body: bytes | NoJob | None
        if job is not None and job.head.account != account.id:
            body = FOREIGN
        elif job is not None:
            body = None if job.head.is_ended else job.body(call.item_id)
        else:
            stored = self._head(call.job_id, account)
            if isinstance(stored, NoJob):
                self._answer_no_job(caller, call, metadata, stored)
                return
            body = None
            if not stored.head.is_ended:
                view = self._reader.cache_head(stored.head)
                body = self._reader.body(view, call.item_id)
        if isinstance(body, NoJob):
            self._answer_no_job(caller, call, metadata, body)
            return
        caller.stop_watching_disconnect()
        if body is None:
            self._answer(caller, metadata, 404)
            return
        caller.send_whole(200, self._dialect.own_response_headers(metadata.request_id, None), body)

    def _end(
        self, caller: CallerConnection, call: JobCall, metadata: RequestMetadata, account: Account
    ) -> None:
        until_ms = self._context.now_ms() + CHANGE_WITHIN_MS
        while True:
            stored = self._head(call.job_id, account)
            if isinstance(stored, NoJob):
                if stored.reason is not NoJobReason.UNCERTAIN:
                    self._answer_no_job(caller, call, metadata, stored)
                    return
            elif stored.head.is_ended or isinstance(
                self._store.change_head(
                    stored, msgspec.structs.replace(stored.head, is_ended=True)
                ),
                StoredHead,
            ):
                self._owned.lose(call.job_id, 'ended by its caller')
                self._notify_owner(call.job_id, stored.head.owner)
                log.info('job.ended', extra={'job_id': call.job_id})
                caller.stop_watching_disconnect()
                self._answer(caller, metadata, 200)
                return
            if self._context.now_ms() + RETRY_PAUSE_MS > until_ms:
                log.info('job.end_in_doubt', extra={'job_id': call.job_id})
                caller.stop_watching_disconnect()
                self._answer(caller, metadata, 504)
                return
            gevent.sleep(self._context.jittered_ms(RETRY_PAUSE_MS) / 1e3)

    def _head(self, job_id: JobId, account: Account) -> StoredHead | NoJob:
        stored = self._store.current_head(job_id)
        if isinstance(stored, StoredHead) and stored.head.account != account.id:
            return FOREIGN
        return stored

    def _answer_invalid_position(
        self, caller: CallerConnection, call: JobCall, metadata: RequestMetadata
    ) -> None:
        log.info('job.invalid_position', extra={'job_id': call.job_id})
        caller.stop_watching_disconnect()
        self._answer(caller, metadata, 400)

    def _answer_no_job(
        self, caller: CallerConnection, call: JobCall, metadata: RequestMetadata, missing: NoJob
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
        caller.stop_watching_disconnect()
        if missing.reason is NoJobReason.UNCERTAIN:
            self._answer(caller, metadata, 503, RETRY_IN_MS)
        else:
            self._answer(caller, metadata, 404)

    def _answer(
        self,
        caller: CallerConnection,
        metadata: RequestMetadata,
        status: int,
        retry_in_ms: float | None = None,
    ) -> None:
        headers = self._dialect.own_response_headers(metadata.request_id, retry_in_ms)
        caller.send_whole(status, headers, b'')
