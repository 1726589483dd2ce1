"""All instances start at the same time while hundreds of jobs are open."""

from __future__ import annotations

import pytest

from citrondyke.decisions.batch.read_budget import READS_SHARE, ReadBudget
from tests.support.manual_clock import ManualClock, manual_context

READS_PER_S = 16_000.0
INSTANCES = 195
JOBS = 600


def test_fleet_start_leaves_half_of_the_read_capacity() -> None:
    # 195 instances read the heads of 600 open jobs. Without a budget these 117,000 reads used the
    # whole capacity of the store for seven seconds, and no instance got the configuration.
    clock = ManualClock()
    budget = ReadBudget(manual_context(clock), READS_PER_S, lambda: INSTANCES)
    started_ms = clock.ms
    reads_ms = []
    for _ in range(JOBS):
        clock.ms += budget.take()
        reads_ms.append(clock.ms - started_ms)
    for second in range(10):
        upto = sum(at_ms < (second + 1) * 1e3 for at_ms in reads_ms)
        # The full buckets at the start add their size once.
        assert upto * INSTANCES <= READS_PER_S * READS_SHARE * (second + 2) + INSTANCES


@pytest.mark.parametrize('instances', [1, 9, 13])
def test_small_fleet_reads_its_jobs_at_once(instances: int) -> None:
    budget = ReadBudget(manual_context(), 2_000.0, lambda: instances)
    assert [budget.take() for _ in range(50)] == [0.0] * 50
