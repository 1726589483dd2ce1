"""The backlog tokens of one route at this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.decisions.batch.job import JobHead
    from citrondyke.decisions.batch.owned_job import OwnedJob
    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
    from citrondyke.gateway.replication.fleet_queries import FleetQueries
    from citrondyke.ids import JobId, RouteName

__all__ = ('UNCERTAIN_MS', 'BacklogCount')

#: An acceptance whose reply was lost may take effect up to 6 s later; its tokens count until then.
UNCERTAIN_MS = 8_000.0


class _Pending(msgspec.Struct, frozen=True):
    tokens: int
    until_ms: float


class BacklogCount:
    """Counts the tokens of accepted jobs and of jobs that are being accepted."""

    def __init__(
        self,
        context: Context,
        incarnation: str,
        route: RouteName,
        owned: OwnedJobs,
        queries: FleetQueries,
    ) -> None:
        """Start with an empty backlog.

        :param incarnation: identifies the current incarnation of this instance.
        """
        self._context = context
        self._incarnation = incarnation
        self._route = route
        self._owned = owned
        self._queries = queries
        self._pending: dict[JobId, _Pending] = {}

    def has(self, job_id: JobId) -> bool:
        """Return whether a job is counted already."""
        return job_id in self._owned.by_id or job_id in self._pending

    def add(self, job_id: JobId, tokens: int) -> None:
        """Count a job that is being accepted, until ``settle`` is called or the count expires."""
        self._pending[job_id] = _Pending(tokens, self._context.now_ms() + UNCERTAIN_MS)

    def remove(self, job_id: JobId) -> None:
        """Stop counting a job that is not sent to the store."""
        self._pending.pop(job_id, None)

    def settle(self, job_id: JobId, *, is_uncertain: bool) -> None:
        """Record the outcome of an acceptance.

        :param is_uncertain: the write may be applied late; the job counts until this is ruled out.
        """
        pending = self._pending.get(job_id)
        if pending is not None and is_uncertain:
            self.add(job_id, pending.tokens)
        else:
            self.remove(job_id)

    def used(self) -> int:
        """Return the tokens of items that no server has finished."""
        now_ms = self._context.now_ms()
        for job_id in [each for each, one in self._pending.items() if one.until_ms <= now_ms]:
            del self._pending[job_id]
        by_id = self._owned.by_id
        owned = sum(job.backlog_tokens for job in self._jobs())
        pending = sum(each.tokens for job_id, each in self._pending.items() if job_id not in by_id)
        return owned + pending + sum(head.tokens for head in self._unrecorded())

    def finished(self) -> int:
        """Return the tokens of the finished items of open jobs."""
        return sum(job.head.tokens - job.backlog_tokens for job in self._jobs())

    def _jobs(self) -> Iterable[OwnedJob]:
        return [job for job in self._owned.by_id.values() if job.head.backlog_name == self._route]

    def _unrecorded(self) -> Iterable[JobHead]:
        """Return heads of jobs that this instance accepted but knows only from the store."""
        return [
            head
            for head in self._queries.heads()
            if head.owner_life == self._incarnation
            and head.backlog_name == self._route
            and not self.has(head.job_id)
        ]
