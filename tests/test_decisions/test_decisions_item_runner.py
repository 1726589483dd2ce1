"""Attempts at batch items, in isolation from segments and servers."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from citrondyke.decisions.core.context import Context
from citrondyke.decisions.core.ops import CallServer
from citrondyke.decisions.core.server_call import ReplyKind, ServerReply
from citrondyke.decisions.jobs.batch_item import BatchItem
from citrondyke.decisions.jobs.item_runner import ItemRunner
from citrondyke.decisions.jobs.outcome import ItemOutcome
from citrondyke.decisions.jobs.pending_items import PendingItems
from citrondyke.decisions.sharing.service_share import service_share
from citrondyke.driver.virtual.virtual_time import VirtualTime
from citrondyke.ids import AvailabilityZone, InstanceId, RequestId, ServerId, SoftwareVersion

SERVER = ServerId('s')


def make_item(attempts: int) -> BatchItem:
    return BatchItem(
        position=0,
        request_id=RequestId('r'),
        custom_id='c',
        method='POST',
        url='/v1/completions',
        body=b'{}',
        is_model=True,
        attempts=attempts,
    )


def test_isolated_item_waits_until_the_server_has_answered_since_it_interrupted_one() -> None:
    # The exiting server still accepts connections. An item that is sent there in isolation would
    # be interrupted by the crash of the item before it and use up its last attempt.
    time = VirtualTime()
    runner = ItemRunner(Context(InstanceId('i'), AvailabilityZone('z'), time, Random(1)))
    share = service_share()
    share.alive_at_ms = 0.0
    held: Any = SimpleNamespace(is_repeatable=True, is_lost=True)
    assert runner.may_run_isolated(SERVER, share)
    workflow = runner.begin(held, make_item(2), SERVER, share, PendingItems())
    next(workflow)
    assert not runner.may_run_isolated(SERVER, share)
    time.run_until(100.0)
    with pytest.raises(StopIteration):
        workflow.send(ServerReply(kind=ReplyKind.CUT))
    assert not runner.may_run_isolated(SERVER, share)
    share.alive_at_ms = 100.0
    assert not runner.may_run_isolated(SERVER, share)
    share.alive_at_ms = 101.0
    assert runner.may_run_isolated(SERVER, share)


@pytest.mark.parametrize(
    ('attempts', 'is_repeatable', 'is_new'),
    [(0, True, False), (1, True, False), (2, True, True), (0, False, True)],
)
def test_last_attempt_does_not_use_a_connection_of_a_server_that_exited(
    attempts: int, is_repeatable: bool, is_new: bool
) -> None:
    # One item makes the server exit. The next one is sent on an idle connection that the exiting
    # server has not closed yet; its interruption would be counted as its own last attempt.
    context = Context(InstanceId('i'), AvailabilityZone('z'), VirtualTime(), Random(1))
    held: Any = SimpleNamespace(is_repeatable=is_repeatable)
    workflow = ItemRunner(context).begin(
        held, make_item(attempts), SERVER, service_share(), PendingItems()
    )
    op = next(workflow)
    assert isinstance(op, CallServer)
    assert op.call.needs_new_connection == is_new


@pytest.mark.parametrize(('version', 'resume_from'), [('v1', 2), ('v2', 0), (None, 0)])
def test_item_does_not_continue_the_events_of_another_version(
    version: str | None, resume_from: int
) -> None:
    item = make_item(0)
    item.frames = [b'a', b'b']
    item.software_version = SoftwareVersion('v1')
    runner = ItemRunner(Context(InstanceId('i'), AvailabilityZone('z'), VirtualTime(), Random(1)))
    held: Any = SimpleNamespace(is_repeatable=True)
    stated = None if version is None else SoftwareVersion(version)
    workflow = runner.begin(held, item, SERVER, service_share(), PendingItems(), stated)
    op = next(workflow)
    assert isinstance(op, CallServer)
    assert (op.call.resume_from_frame, len(item.frames)) == (resume_from, resume_from)


@pytest.mark.parametrize('ends_with_connection', [False, True])
def test_result_says_whether_its_body_ended_with_the_connection(ends_with_connection: bool) -> None:
    # Failure: an answer that may have been cut is listed like one whose end was stated.
    outcomes: list[ItemOutcome] = []
    held: Any = SimpleNamespace(
        is_repeatable=True,
        is_lost=False,
        is_releasing=False,
        record_outcome=lambda _, outcome: outcomes.append(outcome),
    )
    item = make_item(0)
    item.is_model = False
    runner = ItemRunner(Context(InstanceId('i'), AvailabilityZone('z'), VirtualTime(), Random(1)))
    workflow = runner.begin(held, item, SERVER, service_share(), PendingItems())
    next(workflow)
    reply = ServerReply(
        kind=ReplyKind.COMPLETE,
        status=200,
        body=b'text',
        ends_with_connection=ends_with_connection,
    )
    with pytest.raises(StopIteration):
        workflow.send(reply)
    response = msgspec.json.decode(outcomes[0].line)['response']
    assert response.get('ended_with_connection', False) == ends_with_connection


def test_item_that_waits_for_its_version_stays_in_the_queue() -> None:
    # If it left the queue, its job would never finish; if it held the others up, they would wait
    # beside free servers.
    pending = PendingItems()
    job = SimpleNamespace(tenant_id='t', deadline_epoch_ms=0.0)
    held: Any = SimpleNamespace(job=job, is_lost=False, is_releasing=False, unfinished={0, 1})
    bound, free = make_item(0), make_item(1)
    bound.frames, free.position = [b'a'], 1
    pending.push(held, [bound, free])
    assert pending.pop(lambda item: not item.frames) == (held, free)
    assert pending.pop(lambda item: not item.frames) is None
    assert pending.pop() == (held, bound)
