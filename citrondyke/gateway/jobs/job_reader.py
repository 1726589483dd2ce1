"""Reads jobs of other owners from the store and caches what never changes."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import gevent
import msgspec

from citrondyke.gateway.jobs.job_rows import NoJob, NoJobReason
from citrondyke.storage.failure import PlatformFailure

if TYPE_CHECKING:
    from citrondyke.decisions.batch.job import ItemResult, JobHead, JobItem
    from citrondyke.decisions.batch.owned_job import OwnedJob
    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.jobs.job_store import JobStore
    from citrondyke.ids import JobId

__all__ = ('JobReader', 'JobView')

#: Poll interval of the store while a caller waits for a result. Callers themselves poll twice a
#: second, and the first read of each returns what there is. At 200 ms each waiting caller cost five
#: store calls per second.
POLL_EVERY_MS = 500.0
#: Size limit of the cache; a job of ten items of 165 events takes 100 KB.
CACHE_BYTES = 8 * 1024 * 1024
HEAD_BYTES = 500


class JobView(msgspec.Struct):
    """The immutable part of a job: its head as first read, and its first results."""

    head: JobHead
    results: list[ItemResult]
    bodies: dict[str, bytes] | None = None
    bytes_count: int = 0


class JobReader:
    """Serves reads at instances that do not own the job, from a bounded LRU cache."""

    def __init__(self, context: Context, store: JobStore) -> None:
        """Start with an empty cache."""
        self._context = context
        self._store = store
        self._views: OrderedDict[JobId, JobView] = OrderedDict()
        self.cached_bytes = 0

    @property
    def cached_count(self) -> int:
        """Return the number of cached jobs."""
        return len(self._views)

    def view(self, job_id: JobId) -> JobView | NoJob:
        """Return the cached view of a job; read its head from the store on a cache miss."""
        known = self._views.get(job_id)
        if known is not None:
            self._views.move_to_end(job_id)
            return known
        stored = self._store.current_head(job_id)
        if isinstance(stored, NoJob):
            return stored
        return self.cache_head(stored.head)

    def cache_head(self, head: JobHead) -> JobView:
        """Cache a job's head and return the job's view."""
        view = self._views.get(head.job_id)
        if view is None:
            view = self._views[head.job_id] = JobView(head, [])
            self._count_bytes(view, HEAD_BYTES)
        return view

    def cache_finished(self, job: OwnedJob) -> None:
        """Cache the results of a job that this instance has finished."""
        view = self.cache_head(job.head)
        self._append_results(view, job.results[len(view.results) :])

    def results(self, view: JobView, after: int, until_ms: float) -> list[ItemResult] | NoJob:
        """Return results from a position on, waiting for the first one until a deadline."""
        is_confirmed = False
        while len(view.results) <= after:
            first = len(view.results)
            found = self._store.results(view.head.job_id, first)
            is_confirmed = not isinstance(found, PlatformFailure)
            if not isinstance(found, PlatformFailure) and found:
                # Another caller's read may have appended some of them in the meantime; appended
                # twice, they would appear at two positions.
                self._append_results(view, found[len(view.results) - first :])
                continue
            is_whole = len(view.results) >= view.head.items_count
            if is_whole or self._context.now_ms() + POLL_EVERY_MS > until_ms:
                break
            gevent.sleep(POLL_EVERY_MS / 1e3)
        if not is_confirmed and len(view.results) <= after and after < view.head.items_count:
            return NoJob(NoJobReason.UNCERTAIN)
        return view.results[after:]

    def body(self, view: JobView, item_id: str) -> bytes | NoJob | None:
        """Return an item's body; ``None`` if the job has no such item."""
        if view.bodies is None:
            items = self._store.items(view.head)
            if isinstance(items, PlatformFailure):
                return NoJob(NoJobReason.UNCERTAIN)
            self._cache_bodies(view, items)
        return None if view.bodies is None else view.bodies.get(item_id)

    def _cache_bodies(self, view: JobView, items: list[JobItem]) -> None:
        view.bodies = {item.id: item.body for item in items}
        self._count_bytes(view, sum(len(item.body) for item in items))

    def _append_results(self, view: JobView, found: list[ItemResult]) -> None:
        view.results.extend(found)
        self._count_bytes(view, sum(len(result.text) for result in found))

    def _count_bytes(self, view: JobView, count: int) -> None:
        if self._views.get(view.head.job_id) is not view:
            # Evicted while its caller waited: the view is freed with that caller's response.
            return
        view.bytes_count += count
        self.cached_bytes += count
        while self.cached_bytes > CACHE_BYTES and len(self._views) > 1:
            _, oldest = self._views.popitem(last=False)
            self.cached_bytes -= oldest.bytes_count
