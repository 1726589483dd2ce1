"""Deadlines of jobs where the time of day of machines steps."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from citrondyke.decisions.batch.job import JobHead, JobItem
from citrondyke.decisions.batch.job_clock import STORE_CLOCK_LAG_MS, JobClock
from citrondyke.decisions.batch.owned_job import ABANDON_MARGIN_MS, OwnedJob
from citrondyke.decisions.core.store_clock import StoreClock
from citrondyke.gateway.jobs.job_rows import decode_head
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.origin_fleet import MachineClock
from tests.test_batch.test_batch_machine import new_head

MAX_WAIT_MS = 60_000.0
HOUR_MS = 3_600_000.0
#: An answer of the store that takes longer does not set the clock.
CALL_MS = 1_000.0
ITEM = JobItem(id='i', path='/p/x', headers={}, body=b'')
STEPS_MS = st.floats(-HOUR_MS, HOUR_MS)


class Machine:
    """An instance that has heard the store's time; its time of day may be wrong."""

    def __init__(self, shared: ManualClock, ahead_ms: float = 0.0, late_ms: float = 0.0) -> None:
        """:param late_ms: how long the store's time was on its way."""
        self.clock = MachineClock(shared)
        self.clock.ahead_ms = ahead_ms
        self.store_clock = StoreClock(manual_context(self.clock))
        self.store_clock.observe(shared.now_ms() - late_ms)
        self.job_clock = JobClock(manual_context(self.clock), self.store_clock)

    def accept(self) -> JobHead:
        now_ms = self.clock.epoch_ms()
        return msgspec.structs.replace(
            new_head(0),
            accepted_epoch_ms=now_ms,
            due_epoch_ms=now_ms + MAX_WAIT_MS / 4,
            abandon_epoch_ms=now_ms + MAX_WAIT_MS,
            accepted_store_ms=self.job_clock.stamp_ms,
        )

    def gives_up(self, head: JobHead) -> bool:
        job = OwnedJob(head, 1, [ITEM])
        job.abandon_overdue(self.job_clock.epoch_ms(head))
        return bool(job.finished)


@given(
    st.tuples(STEPS_MS, STEPS_MS, STEPS_MS),
    st.floats(0.0, CALL_MS),
    st.floats(0.0, CALL_MS),
    st.floats(0.0, MAX_WAIT_MS),
)
def test_steps_of_the_time_of_day_end_no_item_early_or_late(
    ahead_ms: tuple[float, float, float], late_ms: float, owner_late_ms: float, waited_ms: float
) -> None:
    shared = ManualClock()
    acceptor = Machine(shared, ahead_ms[0], late_ms)
    head = acceptor.accept()
    owner = Machine(shared, ahead_ms[1], owner_late_ms)
    shared.ms += waited_ms
    for machine in (acceptor, owner):
        machine.clock.ahead_ms = ahead_ms[2]
        assert not machine.gives_up(head)
    shared.ms += MAX_WAIT_MS - waited_ms + ABANDON_MARGIN_MS + CALL_MS + 1.0
    for machine in (acceptor, owner):
        assert machine.gives_up(head)


def test_head_without_the_time_of_the_store_goes_by_the_time_of_day() -> None:
    # An earlier version stored it, or the store had not answered yet.
    shared = ManualClock()
    machine = Machine(shared)
    fields = msgspec.json.decode(msgspec.json.encode(machine.accept()))
    del fields['accepted_store_ms']
    head = decode_head(msgspec.json.encode(fields))
    assert head.accepted_store_ms is msgspec.UNSET
    assert machine.job_clock.epoch_ms(head) == machine.clock.epoch_ms()
    machine.store_clock = StoreClock(manual_context(machine.clock))
    unaware = JobClock(manual_context(machine.clock), machine.store_clock)
    assert unaware.stamp_ms is msgspec.UNSET
    assert unaware.epoch_ms(machine.accept()) == machine.clock.epoch_ms()


def test_job_from_before_the_clock_of_the_store_began_anew_goes_by_the_time_of_day() -> None:
    # Else its items would wait, behind those of all other jobs, for as long as the store had run.
    shared = ManualClock()
    shared.ms = HOUR_MS
    machine = Machine(shared)
    head = machine.accept()
    shared.ms += MAX_WAIT_MS + ABANDON_MARGIN_MS
    machine.store_clock.observe(HOUR_MS - STORE_CLOCK_LAG_MS - 1.0)
    assert machine.job_clock.epoch_ms(head) == machine.clock.epoch_ms()
    assert machine.gives_up(head)
