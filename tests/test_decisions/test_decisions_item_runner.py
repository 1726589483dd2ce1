"""Attempts at batch items, in isolation from segments and servers."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from citrondyke.decisions.core.context import Context
from citrondyke.decisions.core.ops import CallServer
from citrondyke.decisions.jobs.batch_item import BatchItem
from citrondyke.decisions.jobs.item_runner import ItemRunner
from citrondyke.decisions.jobs.pending_items import PendingItems
from citrondyke.decisions.sharing.service_share import service_share
from citrondyke.driver.virtual.virtual_time import VirtualTime
from citrondyke.ids import AvailabilityZone, InstanceId, RequestId, ServerId


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
    item = BatchItem(
        position=0,
        request_id=RequestId('r'),
        custom_id='c',
        method='POST',
        url='/v1/completions',
        body=b'{}',
        is_model=True,
        attempts=attempts,
    )
    held: Any = SimpleNamespace(is_repeatable=is_repeatable)
    workflow = ItemRunner(context).begin(held, item, ServerId('s'), service_share(), PendingItems())
    op = next(workflow)
    assert isinstance(op, CallServer)
    assert op.call.needs_new_connection == is_new
