"""A server's end is told from a broken connection."""

from __future__ import annotations

import pytest

from citrondyke.decisions.crashes.content import RequestContent, content_of
from citrondyke.decisions.crashes.server_exit_detector import (
    ALIVE_WITHIN_MS,
    KEPT_MS,
    ServerExitDetector,
)
from tests.support.manual_clock import ManualClock, manual_context

SERVER = 7


class Desk:
    """A watch and its clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.watch = ServerExitDetector(manual_context(self.clock))

    def break_off(self, name: bytes = b'a') -> bool:
        return self.watch.note_broken(SERVER, content(name), is_fresh=True)

    def counted(self) -> list[RequestContent]:
        return [each.content for each in self.watch.record_server_ended(SERVER)]


@pytest.fixture
def desk() -> Desk:
    return Desk()


def content(name: bytes) -> RequestContent:
    return content_of(b'POST', b'h', b'/', name)


def test_all_that_broke_off_counts_when_the_server_has_ended(desk: Desk) -> None:
    assert not desk.break_off(b'a')
    assert not desk.break_off(b'b')
    assert desk.counted() == [content(b'a'), content(b'b')]
    assert desk.counted() == []
    # The word of the end came before the break was seen here.
    assert desk.break_off(b'c')


def test_server_that_takes_a_connection_has_not_ended(desk: Desk) -> None:
    desk.break_off()
    desk.clock.ms += 2.0
    desk.watch.record_server_alive(SERVER, desk.clock.ms)
    assert desk.counted() == []


def test_connection_seconds_later_may_be_the_next_servers(desk: Desk) -> None:
    # This instance stood still after the break. What takes the connection by now is another
    # server at the same address; the list shows later that the one before is gone.
    desk.break_off()
    desk.clock.ms += ALIVE_WITHIN_MS + 1.0
    desk.watch.record_server_alive(SERVER, desk.clock.ms)
    assert [each.content for each in desk.watch.note_gone(SERVER)] == [content(b'a')]


def test_connection_begun_before_the_break_says_nothing(desk: Desk) -> None:
    asked_ms = desk.clock.ms
    desk.clock.ms += 1.0
    desk.break_off()
    # It is asked again.
    assert desk.watch.record_server_alive(SERVER, asked_ms)
    assert desk.counted() == [content(b'a')]


def test_server_off_the_list_goes_on_with_what_it_has(desk: Desk) -> None:
    desk.watch.note_gone(SERVER)
    assert not desk.break_off()


def test_what_broke_off_long_ago_is_forgotten(desk: Desk) -> None:
    desk.break_off()
    desk.clock.ms += KEPT_MS + 1.0
    assert desk.counted() == []


def test_watch_is_bounded(desk: Desk) -> None:
    for number in range(1_000):
        desk.break_off(b'%d' % number)
    assert len(desk.counted()) <= 64
