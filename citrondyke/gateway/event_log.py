"""Log handler that writes JSON lines to standard output, rate limited and without blocking."""

from __future__ import annotations

import os
import select
from collections import deque
from typing import TYPE_CHECKING, Any

import gevent
import logbook
import msgspec
from gevent.event import Event
from logbook.base import LogRecord

if TYPE_CHECKING:
    from citrondyke.util.clock import Clock

__all__ = ('EventLogHandler',)

#: Limit on lines per second for each kind of event. A burst of one kind must not displace the lines
#: that explain it; at 250 bytes per line this is 50 KB/s for each kind.
LINES_PER_KIND_S = 200
#: Limit on queued lines; beyond it new lines are dropped and counted.
QUEUE_LINES = 2_000
#: Largest write that does not block once the pipe is reported as writable.
WRITE_BYTES = 4_096
FLUSH_EVERY_S = 0.05
#: Interval of the check for dropped lines to report while no line is logged.
POLL_S = 1.0


class EventLogHandler(logbook.Handler):
    """Queues lines up to a limit and writes them as the reader consumes them."""

    def __init__(self, clock: Clock, constant: dict[str, str], fd: int = 1) -> None:
        """Write to a file descriptor.

        :param constant: fields that are added to every line.
        """
        super().__init__(logbook.INFO)
        self._clock = clock
        self._constant = constant
        self._fd = fd
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._queue: deque[bytes] = deque()
        self._unwritten = b''
        self._second = 0
        self._counts: dict[str, int] = {}
        self._dropped_counts: dict[str, int] = {}
        self._has_lines = Event()

    def start(self) -> None:
        """Begin writing."""
        gevent.spawn(self._run)

    def emit(self, record: LogRecord) -> None:
        """Queue a record; its message is the kind of event."""
        self._begin_second()
        kind = record.message
        count = self._counts.get(kind, 0) + 1
        self._counts[kind] = count
        if count > LINES_PER_KIND_S or len(self._queue) >= QUEUE_LINES:
            self._dropped_counts[kind] = self._dropped_counts.get(kind, 0) + 1
            return
        line: dict[str, Any] = {
            'time': f'{self._clock.epoch_ms() / 1e3:.3f}',
            'at_ms': round(self._clock.now_ms(), 1),
            'event': kind,
            'level': record.level_name,
            **self._constant,
            **record.extra,
        }
        if record.formatted_exception:
            line['exception'] = record.formatted_exception
        self._queue.append(msgspec.json.encode(line, enc_hook=str) + b'\n')
        self._has_lines.set()

    def flush(self) -> None:
        """Write as many lines as the reader accepts without blocking."""
        self._begin_second()
        while self._unwritten or self._queue:
            if not self._poll.poll(0):
                return
            if not self._unwritten:
                self._unwritten = self._next_chunk()
            try:
                written = os.write(self._fd, self._unwritten[:WRITE_BYTES])
            except OSError:
                # The reader has closed the pipe, so the lines cannot be delivered.
                self._queue.clear()
                self._unwritten = b''
                return
            self._unwritten = self._unwritten[written:]

    def _next_chunk(self) -> bytes:
        lines = []
        size = 0
        while self._queue and size < WRITE_BYTES:
            line = self._queue.popleft()
            lines.append(line)
            size += len(line)
        return b''.join(lines)

    def _begin_second(self) -> None:
        second = int(self._clock.now_ms() // 1e3)
        if second == self._second:
            return
        self._second = second
        self._counts = {}
        if self._dropped_counts and len(self._queue) < QUEUE_LINES:
            line = {'event': 'log.left_out', 'counts': self._dropped_counts, **self._constant}
            self._queue.append(msgspec.json.encode(line) + b'\n')
            self._dropped_counts = {}

    def _run(self) -> None:
        while True:
            self._has_lines.wait(POLL_S)
            gevent.sleep(FLUSH_EVERY_S)
            if not (self._queue or self._unwritten):
                self._has_lines.clear()
            self.flush()
