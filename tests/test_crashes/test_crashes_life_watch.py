"""A server's end is told from a broken connection."""

from __future__ import annotations

import pytest

from citrondyke.decisions.crashes.request_fingerprint import RequestFingerprint, fingerprint_of
from citrondyke.decisions.crashes.server_exit_detector import (
    ALIVE_WITHIN_MS,
    KEPT_MS,
    ServerExitDetector,
)
from tests.support.manual_clock import ManualClock, manual_context

SERVER = 7


class DetectorSetup:
    """A watch and its clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.detector = ServerExitDetector(manual_context(self.clock))

    def interrupt(self, name: bytes = b'a') -> bool:
        return self.detector.record_interrupted(SERVER, content(name), is_fresh=True)

    def exited(self) -> list[RequestFingerprint]:
        return [each.content for each in self.detector.record_server_exited(SERVER)]


@pytest.fixture
def setup() -> DetectorSetup:
    return DetectorSetup()


def content(name: bytes) -> RequestFingerprint:
    return fingerprint_of(b'POST', b'h', b'/', name)


def test_all_that_broke_off_counts_when_the_server_has_ended(setup: DetectorSetup) -> None:
    assert not setup.interrupt(b'a')
    assert not setup.interrupt(b'b')
    assert setup.exited() == [content(b'a'), content(b'b')]
    assert setup.exited() == []
    # The word of the end came before the break was seen here.
    assert setup.interrupt(b'c')


def test_server_that_takes_a_connection_has_not_ended(setup: DetectorSetup) -> None:
    setup.interrupt()
    setup.clock.ms += 2.0
    setup.detector.record_server_alive(SERVER, setup.clock.ms)
    assert setup.exited() == []


def test_connection_seconds_later_may_be_the_next_servers(setup: DetectorSetup) -> None:
    # This instance stood still after the break. What takes the connection by now is another
    # server at the same address; the list shows later that the one before is gone.
    setup.interrupt()
    setup.clock.ms += ALIVE_WITHIN_MS + 1.0
    setup.detector.record_server_alive(SERVER, setup.clock.ms)
    assert [each.content for each in setup.detector.record_removed(SERVER)] == [content(b'a')]


def test_connection_begun_before_the_break_says_nothing(setup: DetectorSetup) -> None:
    asked_ms = setup.clock.ms
    setup.clock.ms += 1.0
    setup.interrupt()
    # It is asked again.
    assert setup.detector.record_server_alive(SERVER, asked_ms)
    assert setup.exited() == [content(b'a')]


def test_server_off_the_list_goes_on_with_what_it_has(setup: DetectorSetup) -> None:
    setup.detector.record_removed(SERVER)
    assert not setup.interrupt()


def test_what_broke_off_long_ago_is_forgotten(setup: DetectorSetup) -> None:
    setup.interrupt()
    setup.clock.ms += KEPT_MS + 1.0
    assert setup.exited() == []


def test_watch_is_bounded(setup: DetectorSetup) -> None:
    for number in range(1_000):
        setup.interrupt(b'%d' % number)
    assert len(setup.exited()) <= 64
