"""Suspect updates are repeated, and their rate and number are bounded."""

from __future__ import annotations

import itertools

from citrondyke.decisions.crashes.suspect_key import content_key
from citrondyke.decisions.crashes.suspect_update_queue import (
    MESSAGE_GAP_MS,
    SuspectNews,
    SuspectUpdateKind,
    SuspectUpdateQueue,
)
from tests.support.manual_clock import ManualClock, manual_context


def news(number: int, kind: SuspectUpdateKind = SuspectUpdateKind.FRESH) -> SuspectNews:
    return SuspectNews(content_key(b'POST', b'h', b'/', b'%d' % number), kind)


def drain(
    queue: SuspectUpdateQueue, clock: ManualClock
) -> list[tuple[float, int, list[SuspectNews]]]:
    """Take all messages, each when it is due."""
    sent = []
    while (pause_ms := queue.next_pause_ms()) is not None:
        clock.ms += pause_ms
        message = queue.take_due()
        if message is not None:
            sent.append((clock.ms, message.server, message.news))
    return sent


def test_update_is_sent_three_times_the_first_time_at_once() -> None:
    clock = ManualClock()
    queue = SuspectUpdateQueue(manual_context(clock))
    queue.enqueue(5, news(1), 1.0)
    queue.enqueue(5, news(2), 1.0)
    assert queue.next_pause_ms() == 0.0
    sent = drain(queue, clock)
    assert [(server, len(found)) for _, server, found in sent] == [(5, 2)] * 3


def test_messages_are_spaced_and_name_one_server_each() -> None:
    # Six servers of a rack exit at the same time with sixty requests on each.
    clock = ManualClock()
    queue = SuspectUpdateQueue(manual_context(clock))
    for server in range(1, 7):
        for number in range(60):
            queue.enqueue(server, news(server * 100 + number), 1.0)
    sent = drain(queue, clock)
    times = [at_ms for at_ms, _, _ in sent]
    assert all(b - a >= MESSAGE_GAP_MS for a, b in itertools.pairwise(times))
    assert len({each.key for _, _, found in sent for each in found}) == 360


def test_lowest_scores_are_dropped_on_overflow() -> None:
    clock = ManualClock()
    queue = SuspectUpdateQueue(manual_context(clock))
    queue.enqueue(1, news(1), 3.0)
    queue.enqueue(0, news(2, SuspectUpdateKind.SURVIVED), 0.0)
    for number in range(2_000):
        queue.enqueue(2, news(number + 10), 1.0)
    sent = {each for _, _, found in drain(queue, clock) for each in found}
    assert {news(1), news(2, SuspectUpdateKind.SURVIVED)} <= sent
    assert len(sent) <= 512


def test_broadcasts_and_targeted_updates_are_separate_messages() -> None:
    clock = ManualClock()
    queue = SuspectUpdateQueue(manual_context(clock))
    queue.enqueue(1, news(1), 1.0, is_broadcast=False)
    queue.enqueue(1, news(2), 2.0, sends_count=1)
    first = queue.take_due()
    clock.ms += MESSAGE_GAP_MS
    second = queue.take_due()
    assert first is not None
    assert second is not None
    assert (first.is_broadcast, first.news) == (True, [news(2)])
    assert (second.is_broadcast, second.news) == (False, [news(1)])
    assert len(drain(queue, clock)) == 2
