"""Tests that log lines are rate limited and never delay a request."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from typing import Any

import logbook
import pytest

from citrondyke.gateway.event_log import LINES_PER_KIND_S, QUEUE_LINES, EventLogHandler
from citrondyke.gateway.event_log import WRITE_BYTES as CHUNK
from tests.support.gateway import GatewayFleet
from tests.support.manual_clock import ManualClock

log = logbook.Logger('test')


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def read_lines(fd: int) -> list[dict[str, Any]]:
    os.set_blocking(fd, False)
    data = b''
    while True:
        try:
            part = os.read(fd, 65_536)
        except BlockingIOError:
            break
        data += part
    return [json.loads(line) for line in data.splitlines()]


def test_lines_of_each_kind_are_limited_and_dropped_ones_counted(pipe: tuple[int, int]) -> None:
    # A burst of one kind of event must not displace the one line that explains it.
    clock = ManualClock()
    handler = EventLogHandler(clock, {'instance': 'edge-1'}, pipe[1])
    with handler.applicationbound():
        for number in range(LINES_PER_KIND_S + 30):
            log.info('burst', extra={'number': number})
        log.info('cause', extra={'why': 'this'})
        handler.flush()
        clock.ms += 1_000.0
        handler.flush()
    lines = read_lines(pipe[0])
    assert [line['event'] for line in lines].count('burst') == LINES_PER_KIND_S
    assert lines[LINES_PER_KIND_S]['why'] == 'this'
    assert lines[-1]['counts'] == {'burst': 30}


def test_stalled_reader_does_not_block_the_process(pipe: tuple[int, int]) -> None:
    # The log collector stalls and the pipe is full. A blocking write would stop the whole process
    # and delay every caller; lines wait in a bounded queue instead.
    clock = ManualClock()
    handler = EventLogHandler(clock, {}, pipe[1])
    with handler.applicationbound():
        for number in range(QUEUE_LINES * 2):
            clock.ms += 10.0
            log.info('event', extra={'number': number, 'padding': 'x' * 200})
            handler.flush()
        first = read_lines(pipe[0])
        assert first
        while True:
            handler.flush()
            more = read_lines(pipe[0])
            if not more:
                break
            first += more
    numbers = [line['number'] for line in first if line['event'] == 'event']
    assert numbers == sorted(numbers)
    assert len(numbers) < QUEUE_LINES * 2


def test_requests_are_served_while_the_log_is_not_read(
    fleet: GatewayFleet, pipe: tuple[int, int]
) -> None:
    os.set_blocking(pipe[1], False)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(pipe[1], b'x' * CHUNK)
    os.set_blocking(pipe[1], True)
    handler = EventLogHandler(fleet.clock, {}, pipe[1])
    with handler.applicationbound():
        for number in range(20):
            assert fleet.call('/fetch/a', request_id=f'request-{number}').status == 200
            handler.flush()


def test_closed_log_pipe_is_not_an_error() -> None:
    read, write = os.pipe()
    os.close(read)
    handler = EventLogHandler(ManualClock(), {}, write)
    with handler.applicationbound():
        log.info('event')
        handler.flush()
        log.info('event')
        handler.flush()
    os.close(write)
