"""An engine of one stream runs batch work while no online request is there."""

from __future__ import annotations

import pytest

from citrondyke.decisions.core.ops import ServerLoad
from citrondyke.decisions.sharing.engine_share import EngineShare, engine_share
from citrondyke.ids import InstanceId, RequestId

RUN = RequestId('run')


@pytest.fixture
def share() -> EngineShare:
    """An engine of one stream with one batch request."""
    made = engine_share(200.0, 8, 8)
    made.on_load(ServerLoad(0, 0, 1, False), 0.0)
    assert made.free_capacity(1_000.0) == 1
    made.on_batch_start(RUN, 1_000.0)
    return made


def test_lone_run_is_not_preempted_without_online_requests(share: EngineShare) -> None:
    share.on_load(ServerLoad(1, 0, 1, False), 1_100.0)
    assert share.runs_to_preempt(1_100.0) == []


def test_lone_run_is_preempted_for_an_online_request(share: EngineShare) -> None:
    share.on_notice(InstanceId('instance-0'), 1, 1_100.0)
    assert share.runs_to_preempt(1_100.0) == [RUN]
    share.on_batch_end(RUN, 1_100.0)
    assert share.free_capacity(1_200.0) == 0
