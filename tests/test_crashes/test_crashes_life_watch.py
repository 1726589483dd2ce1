"""The detector distinguishes a server's exit from a broken connection."""

from __future__ import annotations

import pytest

from citrondyke.decisions.crashes.server_exit_detector import (
    ALIVE_WITHIN_MS,
    INTERRUPTED_EXPIRY_MS,
    ServerExitDetector,
)
from citrondyke.decisions.crashes.suspect_key import SuspectKey, content_key
from tests.support.manual_clock import ManualClock, manual_context

SERVER = 7


class DetectorSetup:
    """A detector and its clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.detector = ServerExitDetector(manual_context(self.clock))

    def interrupt(self, name: bytes = b'a') -> bool:
        return self.detector.record_interrupted(SERVER, content(name), is_fresh=True)

    def exited(self) -> list[SuspectKey]:
        return [each.content for each in self.detector.record_server_exited(SERVER)]


@pytest.fixture
def setup() -> DetectorSetup:
    return DetectorSetup()


def content(name: bytes) -> SuspectKey:
    return content_key(b'POST', b'h', b'/', name)


def test_exit_counts_against_all_interrupted_requests(setup: DetectorSetup) -> None:
    assert not setup.interrupt(b'a')
    assert not setup.interrupt(b'b')
    assert setup.exited() == [content(b'a'), content(b'b')]
    assert setup.exited() == []
    # The exit was reported before this instance saw the connection break.
    assert setup.interrupt(b'c')


def test_accepted_connection_shows_that_the_server_is_alive(setup: DetectorSetup) -> None:
    setup.interrupt()
    setup.clock.ms += 2.0
    setup.detector.record_server_alive(SERVER, setup.clock.ms)
    assert setup.exited() == []


def test_connection_accepted_seconds_later_is_no_evidence(setup: DetectorSetup) -> None:
    # This instance was frozen after the break. By now another server may accept the connection at
    # the same address; the list shows later that the previous one was removed.
    setup.interrupt()
    setup.clock.ms += ALIVE_WITHIN_MS + 1.0
    setup.detector.record_server_alive(SERVER, setup.clock.ms)
    assert [each.content for each in setup.detector.record_removed(SERVER)] == [content(b'a')]


def test_connection_started_before_the_break_is_no_evidence(setup: DetectorSetup) -> None:
    asked_ms = setup.clock.ms
    setup.clock.ms += 1.0
    setup.interrupt()
    # The caller has to connect again.
    assert setup.detector.record_server_alive(SERVER, asked_ms)
    assert setup.exited() == [content(b'a')]


def test_removed_server_is_not_taken_as_exited(setup: DetectorSetup) -> None:
    setup.detector.record_removed(SERVER)
    assert not setup.interrupt()


def test_old_interruptions_expire(setup: DetectorSetup) -> None:
    setup.interrupt()
    setup.clock.ms += INTERRUPTED_EXPIRY_MS + 1.0
    assert setup.exited() == []


def test_detector_is_bounded(setup: DetectorSetup) -> None:
    for number in range(1_000):
        setup.interrupt(b'%d' % number)
    assert len(setup.exited()) <= 64
