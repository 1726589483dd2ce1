"""A segment that this instance holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.jobs.batch_item import BatchItem
from citrondyke.decisions.jobs.item_set import ItemSet
from citrondyke.decisions.jobs.job_line import SERVICE_URL_PREFIX
from citrondyke.decisions.jobs.outcome import FailureCode, ItemOutcome, failed_outcome
from citrondyke.decisions.jobs.rows import JobRow, TodoRow, todo_row_key
from citrondyke.ids import JobId, RequestId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.ids import RowKey

__all__ = ('HeldSegment',)

#: Concurrent items of a segment whose holder died or whose items may not be repeated.
CAUTIOUS_WINDOW = 16
#: Concurrent items among those that were running when a holder died.
SUSPECT_WINDOW = 1
#: Deaths of holders after which an item that ran alone counts as their cause.
DEATHS_BEFORE_FAILURE = 3


class _Line(msgspec.Struct, frozen=True):
    custom_id: str
    url: str
    method: str = 'POST'
    body: msgspec.Raw = msgspec.Raw(b'{}')


class HeldSegment:
    """The items of a segment, their progress and their uncommitted outcomes."""

    def __init__(
        self,
        job_id: JobId,
        job: JobRow,
        job_version: int,
        segment: int,
        row: TodoRow,
        row_version: int,
        *,
        is_repeatable: bool,
    ) -> None:
        """Start from the segment's row."""
        self.job_id = job_id
        self.job = job
        self.job_version = job_version
        self.segment = segment
        self.row = row
        self.row_version = row_version
        self.is_repeatable = is_repeatable
        self.items: dict[int, BatchItem] = {}
        #: Outcomes that are not visible yet.
        self.outcomes: dict[int, ItemOutcome] = {}
        #: Items whose attempts changed since the last commit.
        self.attempts: dict[int, int] = dict(row.attempts)
        #: Set when this instance no longer holds the segment; its outcomes are then discarded.
        self.is_lost = False
        #: Set when the segment is to be released.
        self.is_releasing = False
        #: Fires when the workflow that supervises the segment has something to do.
        self.wake: Signal[None] = Signal()
        self._queued = ItemSet()

    @property
    def key(self) -> RowKey:
        """Return the key of its row."""
        return todo_row_key(self.job_id, self.segment)

    @property
    def remaining(self) -> ItemSet:
        """Return the items without a visible outcome."""
        return ItemSet.parse(self.row.remaining)

    @property
    def unfinished(self) -> ItemSet:
        """Return the items without any outcome."""
        return self.remaining - ItemSet.of(self.outcomes)

    @property
    def is_queued(self) -> bool:
        """Return whether its first items were queued for dispatch."""
        return bool(self._queued) or not self.unfinished

    @property
    def running_count(self) -> int:
        """Return the number of items running on backend servers."""
        return sum(1 for item in self.items.values() if item.is_running)

    @property
    def records_starts(self) -> bool:
        """Return whether items must be marked as started in the row before they are dispatched."""
        return not self.is_repeatable or self.row.deaths > 0

    def load(self, body: bytes, *, is_after_death: bool) -> None:
        """Load the items from the segment's input.

        :param is_after_death: whether the previous holder died while holding the segment.
        """
        lines = body.split(b'\n')
        for position in self.remaining:
            line = msgspec.json.decode(lines[position], type=_Line)
            self.items[position] = BatchItem(
                position=position,
                request_id=self.request_id(position),
                custom_id=line.custom_id,
                method=line.method,
                url=line.url,
                body=bytes(line.body),
                is_model=not line.url.startswith(SERVICE_URL_PREFIX),
                attempts=self.attempts.get(position, 0),
            )
        self._close_lost_items(is_after_death=is_after_death)

    def request_id(self, position: int) -> RequestId:
        """Return the request id of an item, the same for each attempt by any holder."""
        return RequestId(f'{self.job_id}-{self.segment}-{position}')

    def next_window(self) -> list[BatchItem]:
        """Return the next items to dispatch, and count them as queued.

        If ``records_starts`` is set, the caller must mark them as started in the row first.
        """
        waiting = self.unfinished - self._queued
        if not self.records_starts:
            self._queued = self._queued | waiting
            return [self.items[position] for position in waiting]
        in_flight = self._queued & self.unfinished
        suspects = ItemSet.parse(self.row.suspects)
        unsuspected = waiting - suspects
        if unsuspected:
            free_slots = CAUTIOUS_WINDOW - len(in_flight)
            if free_slots < CAUTIOUS_WINDOW // 2:
                return []
            chosen = list(unsuspected)[:free_slots]
        else:
            chosen = [] if in_flight else list(waiting)[:SUSPECT_WINDOW]
        self._queued = self._queued | ItemSet.of(chosen)
        return [self.items[position] for position in chosen]

    def started_after_commit(self, positions: ItemSet) -> ItemSet:
        """Return the items that a commit of some outcomes must leave marked as started.

        A non-repeatable item stays marked until its outcome is durable: one that finishes during
        the commit is not part of it, and without the mark the next holder would send it again. A
        repeatable item is marked only while it runs, since a finished item did not kill its holder.

        :param positions: items whose outcomes the commit makes durable.
        """
        if self.is_repeatable:
            return self._queued & self.unfinished
        return self._queued & (self.remaining - positions)

    @property
    def is_unowned(self) -> bool:
        """Return whether its row no longer names a holder."""
        return not self.row.owner

    def record_outcome(self, position: int, outcome: ItemOutcome) -> None:
        """Record the outcome of an item; only the first one counts."""
        if position not in self.remaining or position in self.outcomes:
            return
        self.outcomes[position] = outcome
        if not self.unfinished or self.records_starts:
            self.wake_up()

    def record_attempt(self, item: BatchItem) -> None:
        """Record a failed attempt."""
        item.attempts += 1
        self.attempts[item.position] = item.attempts

    def record_committed(self, row: TodoRow, row_version: int, positions: Iterable[int]) -> None:
        """Record that a commit made outcomes visible."""
        self.row = row
        self.row_version = row_version
        for position in positions:
            self.outcomes.pop(position, None)
            self.items.pop(position, None)

    def mark_lost(self) -> None:
        """Stop all work: the segment belongs to another instance, or its job was stopped."""
        self.is_lost = True
        self.cancel_all()
        self.wake_up()

    def cancel_all(self) -> None:
        """Abort all running attempts."""
        for item in self.items.values():
            item.cancel.fire(None)

    def wake_up(self) -> None:
        """Wake the workflow that supervises the segment."""
        self.wake.fire(None)

    def next_wake(self) -> Signal[Any]:
        """Return the signal of the next wake-up."""
        if self.wake.is_fired:
            self.wake = Signal()
        return self.wake

    def _close_lost_items(self, *, is_after_death: bool) -> None:
        """Close the items that were running when a holder died and must not run again.

        A non-repeatable item may have run, so its outcome is permanently unknown. A repeatable item
        that ran alone when a further holder died is the cause of the deaths; it fails, so that the
        rest of the job can continue.
        """
        lost = ItemSet.parse(self.row.started) & self.remaining
        if not lost:
            return
        if not self.is_repeatable:
            self._close(lost, FailureCode.OUTCOME_UNKNOWN)
        elif is_after_death and self.row.deaths >= DEATHS_BEFORE_FAILURE and len(lost) == 1:
            self._close(lost, FailureCode.KILLED_HOLDER)

    def _close(self, positions: ItemSet, code: FailureCode) -> None:
        for position in positions:
            item = self.items[position]
            outcome = failed_outcome(item.request_id, item.custom_id, code, 'unknown')
            self.outcomes[position] = outcome
