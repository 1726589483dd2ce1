"""Stored state of a segment whose holder dies between two commits."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

import msgspec
import pytest

from citrondyke.decisions.core.ops import Op, PutObject, Transact
from citrondyke.decisions.jobs.held_segment import HeldSegment
from citrondyke.decisions.jobs.item_set import ItemSet
from citrondyke.decisions.jobs.outcome import ItemOutcome
from citrondyke.decisions.jobs.outcome_committer import OutcomeCommitter
from citrondyke.decisions.jobs.rows import JobRow, JobState, TodoRow
from citrondyke.ids import ClassName, JobId, TargetName, TenantId
from citrondyke.storage.table_service import Committed
from tests.support.manual_clock import manual_context

ITEMS = 4
LINES = b'\n'.join(
    b'{"custom_id":"%d","method":"POST","url":"/services/orders/place","body":{}}' % number
    for number in range(ITEMS)
)


def new_segment(*, is_repeatable: bool = False) -> HeldSegment:
    job = JobRow(
        tenant_id=TenantId('t'),
        class_name=ClassName('c'),
        target=TargetName('service:orders'),
        endpoint='/services/orders/place',
        file_id='f',
        upload_id='u',
        items_count=ITEMS,
        segments_count=1,
        segment_items=ITEMS,
        digest='',
        state=JobState.RUNNING,
        created_epoch_ms=0.0,
        deadline_epoch_ms=1e15,
        expires_epoch_ms=1e15,
    )
    row = TodoRow(
        items_count=ITEMS,
        remaining=ItemSet.first(ITEMS).text(),
        fence=1,
        owner='owner',
        deaths=1,
    )
    held = HeldSegment(JobId('job'), job, 1, 0, row, 1, is_repeatable=is_repeatable)
    held.load(LINES, is_after_death=False)
    held.next_window()
    return held


def written_row(op: Op) -> TodoRow:
    assert isinstance(op, Transact)
    value = next(
        write.value
        for write in op.transaction.writes
        if b'"remaining"' in bytes(write.value or b'')
    )
    return msgspec.json.decode(value, type=TodoRow)


def until_transaction(steps: Generator[Op, Any, bool], op: Op) -> Op:
    while isinstance(op, PutObject):
        op = steps.send(None)
    return op


def outcome(held: HeldSegment, position: int) -> None:
    held.record_outcome(position, ItemOutcome(is_success=True, line=b'{}'))


def test_item_finished_during_a_commit_stays_marked_as_started() -> None:
    # Orders of a job are running on their service. While the outcome of the first is being written
    # to the object store, the second finishes as well; then the holder dies. The commit must still
    # mark the second as started, or the next holder would place that order again.
    held = new_segment()
    outcome(held, 0)
    steps = OutcomeCommitter(manual_context(), lambda _: None).commit_part(held)
    op = next(steps)
    assert isinstance(op, PutObject)
    outcome(held, 1)
    row = written_row(until_transaction(steps, op))
    assert list(ItemSet.parse(row.remaining)) == [1, 2, 3]
    assert list(ItemSet.parse(row.started)) == [1, 2, 3]


def test_segment_with_an_uncommitted_outcome_is_not_released() -> None:
    # A holder that stops releases its segment when its last order finishes during a commit. The
    # outcome of that order is not in the commit; released now, the order would be placed again.
    held = new_segment()
    for position in (0, 2, 3):
        outcome(held, position)
    held.is_releasing = True
    steps = OutcomeCommitter(manual_context(), lambda _: None).commit_part(held)
    op = next(steps)
    outcome(held, 1)
    op = until_transaction(steps, op)
    row = written_row(op)
    assert row.owner == 'owner'
    assert list(ItemSet.parse(row.started)) == [1]
    assert not held.is_unowned
    with pytest.raises(StopIteration) as end:
        steps.send(Committed(2))
    assert end.value.value is True
    # The next commit has all outcomes and releases the segment.
    assert not held.is_unowned
    again = OutcomeCommitter(manual_context(), lambda _: None).commit_part(held)
    op = until_transaction(again, next(again))
    with pytest.raises(StopIteration):
        again.send(Committed(3))
    assert held.is_unowned


def test_finished_repeatable_item_is_not_marked_as_started() -> None:
    # The items may be repeated, and a holder died once before. An item that finished did not kill
    # the holder and must not be suspected of it.
    held = new_segment(is_repeatable=True)
    outcome(held, 0)
    steps = OutcomeCommitter(manual_context(), lambda _: None).commit_part(held)
    op = next(steps)
    outcome(held, 1)
    row = written_row(until_transaction(steps, op))
    assert list(ItemSet.parse(row.started)) == [2, 3]
