"""All instances start at once with hundreds of jobs open."""

from __future__ import annotations

import pytest

from citrondyke.decisions.batch.read_budget import READS_SHARE, ReadBudget
from tests.support.manual_clock import ManualClock, manual_context

READS_PER_S = 16_000.0
INSTANCES = 195
JOBS = 600


def test_start_of_all_leaves_the_store_half_of_its_reads() -> None:
    # 195 instances read the heads of 600 open jobs. At once these were 117,000 reads, seven
    # seconds of all that the store takes, and no instance got the configuration meanwhile.
    clock = ManualClock()
    budget = ReadBudget(manual_context(clock), READS_PER_S, lambda: INSTANCES)
    started_ms = clock.ms
    reads_ms = []
    for _ in range(JOBS):
        clock.ms += budget.take()
        reads_ms.append(clock.ms - started_ms)
    for second in range(10):
        upto = sum(at_ms < (second + 1) * 1e3 for at_ms in reads_ms)
        # What was saved up comes on top, once.
        assert upto * INSTANCES <= READS_PER_S * READS_SHARE * (second + 2) + INSTANCES


@pytest.mark.parametrize('instances', [1, 9, 13])
def test_small_fleet_reads_its_jobs_at_once(instances: int) -> None:
    budget = ReadBudget(manual_context(), 2_000.0, lambda: instances)
    assert [budget.take() for _ in range(50)] == [0.0] * 50
