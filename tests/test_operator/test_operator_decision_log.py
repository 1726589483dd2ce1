"""Log lines of decisions are bounded."""

from __future__ import annotations

import logbook

from citrondyke.decisions.online.routing_event import NoUsableServer
from citrondyke.driver.virtual.virtual_time import VirtualTime
from citrondyke.ids import TargetName
from citrondyke.operator.decision_log import LINES_PER_KIND_S, DecisionLog


def test_lines_of_a_frequent_event_are_limited_and_the_others_counted() -> None:
    # Without usable servers each of thousands of requests per second reports an event.
    event = NoUsableServer(
        target=TargetName('t'),
        listed_count=1,
        leaving_count=1,
        tried_count=0,
        ejected_count=0,
        probation_count=0,
    )
    time = VirtualTime()
    decisions = DecisionLog(time)
    with logbook.TestHandler() as handler:
        for _ in range(LINES_PER_KIND_S + 5):
            decisions.record(event)
        assert len(handler.records) == LINES_PER_KIND_S
        time.run_until(1_000.0)
        decisions.record(event)
    assert handler.records[-1].message == 'no usable server'
    assert handler.records[-1].extra['omitted_count'] == 5
