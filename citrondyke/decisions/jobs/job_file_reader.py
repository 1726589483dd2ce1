"""Splits a job file into segments while it is uploaded, and validates each line."""

from __future__ import annotations

import hashlib

import msgspec

from citrondyke.decisions.jobs.job_line import LineError, parse_line, target_of_line
from citrondyke.ids import TargetName

__all__ = ('InvalidLine', 'JobFileReader', 'JobFileSummary')


class InvalidLine(msgspec.Struct, frozen=True):
    """Result instead of segments: a line that cannot be accepted."""

    #: Starts at 1.
    line_number: int
    reason: str

    def __bool__(self) -> bool:
        """Evaluate as false, like an empty list of segments."""
        return False


class JobFileSummary(msgspec.Struct, frozen=True):
    """Summary of a complete file."""

    size_bytes: int
    items_count: int
    segments_count: int
    #: Items in each segment except the last.
    segment_items: int
    digest: str
    target: TargetName
    url: str


class JobFileReader:
    """Incremental reader that holds at most one segment and one line in memory.

    It also keeps a digest of 10 bytes for each ``custom_id``, to find duplicates.
    """

    def __init__(self, segment_items: int, line_limit_bytes: int, items_limit: int) -> None:
        """Start at the beginning of a file.

        :param segment_items: items in one segment.
        :param line_limit_bytes: length of the longest accepted line.
        :param items_limit: largest number of items in one file.
        """
        self._segment_items = segment_items
        self._line_limit_bytes = line_limit_bytes
        self._items_limit = items_limit
        self._digest = hashlib.blake2b(digest_size=20)
        self._size_bytes = 0
        self._line_number = 0
        self._items_count = 0
        self._segments_count = 0
        self._partial_line = b''
        self._lines: list[bytes] = []
        self._custom_ids: set[bytes] = set()
        self._target: TargetName | None = None
        self._url = ''

    def feed(self, data: bytes) -> list[bytes] | InvalidLine:
        """Process the next bytes; return the segments that became full, as their lines."""
        self._digest.update(data)
        self._size_bytes += len(data)
        lines = (self._partial_line + data).split(b'\n')
        self._partial_line = lines.pop()
        if len(self._partial_line) > self._line_limit_bytes:
            return InvalidLine(self._line_number + 1, f'longer than {self._line_limit_bytes} bytes')
        segments: list[bytes] = []
        for line in lines:
            error = self._add_line(line)
            if error is not None:
                return error
            if len(self._lines) == self._segment_items:
                segments.append(self._close_segment())
        return segments

    def finish(self) -> tuple[list[bytes], JobFileSummary] | InvalidLine:
        """Finish the file; return the last segment, if any, and the summary."""
        if self._partial_line.strip():
            error = self._add_line(self._partial_line)
            if error is not None:
                return error
        segments = [self._close_segment()] if self._lines else []
        if self._target is None:
            return InvalidLine(1, 'the file contains no requests')
        summary = JobFileSummary(
            size_bytes=self._size_bytes,
            items_count=self._items_count,
            segments_count=self._segments_count,
            segment_items=self._segment_items,
            digest=self._digest.hexdigest(),
            target=self._target,
            url=self._url,
        )
        return segments, summary

    def _add_line(self, line: bytes) -> InvalidLine | None:
        self._line_number += 1
        text = line.strip()
        if not text:
            return None
        reason = self._check(text)
        if reason is not None:
            return InvalidLine(self._line_number, reason)
        self._lines.append(text)
        self._items_count += 1
        return None

    def _check(self, text: bytes) -> str | None:
        if len(text) > self._line_limit_bytes:
            return f'longer than {self._line_limit_bytes} bytes'
        if self._items_count >= self._items_limit:
            return f'more than {self._items_limit} items'
        line = parse_line(text)
        if isinstance(line, LineError):
            return line.reason
        target = target_of_line(line)
        if isinstance(target, LineError):
            return target.reason
        if self._target is None:
            self._target, self._url = target, line.url
        if target != self._target:
            return f'target {target} differs from {self._target} in the lines before'
        custom_id = hashlib.blake2b(line.custom_id.encode(), digest_size=10).digest()
        if custom_id in self._custom_ids:
            return f'custom_id {line.custom_id!r} was used before'
        self._custom_ids.add(custom_id)
        return None

    def _close_segment(self) -> bytes:
        segment = b'\n'.join(self._lines)
        self._lines = []
        self._segments_count += 1
        return segment
