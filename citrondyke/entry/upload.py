"""Receives and stores an uploaded job file."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import bottle
from multipart import MultipartError, MultipartSegment, PushMultipartParser, parse_options_header

from citrondyke.decisions.core.ops import put_object
from citrondyke.decisions.jobs.job_file_reader import InvalidLine, JobFileReader
from citrondyke.decisions.jobs.rows import input_object_key
from citrondyke.entry.bodies import body_chunks
from citrondyke.errors import BadJobLineError, InvalidFieldError, PlatformUnavailableError

if TYPE_CHECKING:
    from citrondyke.decisions.jobs.job_file_reader import JobFileSummary
    from citrondyke.entry.entry_context import EntryContext

__all__ = ('Upload',)

FIELD_LIMIT_BYTES = 1024
PLATFORM_RETRY_MS = 2000.0


class Upload:
    """A multipart upload: its form fields, and its file split into segments.

    Each segment is stored as soon as it is full, so that a file of any size needs memory for one
    segment only. No row refers to the segments until the whole file is valid.
    """

    def __init__(self, context: EntryContext) -> None:
        """Initialize the upload before its first byte."""
        self.upload_id = uuid.uuid4().hex
        self.filename = ''
        self.purpose = ''
        self._context = context
        limits = context.settings.limits
        self._reader = JobFileReader(
            context.instance.limits.segment_items, limits.job_line_bytes, limits.job_items
        )
        self._segments_count = 0
        self._has_file = False

    def receive(self) -> JobFileSummary:
        """Receive the whole body and store the file.

        :raises BadJobLineError: if a line is invalid; the message has the number of the first one.
        :raises InvalidFieldError: if the form is invalid.
        :raises PlatformUnavailableError: if a segment cannot be stored.
        """
        kind, options = parse_options_header(bottle.request.content_type or '')
        if kind != 'multipart/form-data' or 'boundary' not in options:
            raise InvalidFieldError('the body must be multipart/form-data')
        try:
            with PushMultipartParser(options['boundary']) as parser:
                for chunk in body_chunks(self._context.settings.limits.upload_within_ms):
                    self._parse(parser, chunk)
        except MultipartError as error:
            raise InvalidFieldError(f'the multipart form is invalid: {error}') from error
        if self.purpose != 'batch':
            raise InvalidFieldError("purpose must be 'batch'")
        if not self._has_file:
            raise InvalidFieldError('file is missing')
        finished = self._reader.finish()
        if isinstance(finished, InvalidLine):
            raise BadJobLineError(finished.line_number, finished.reason)
        segments, summary = finished
        self._store_segments(segments)
        return summary

    def _parse(self, parser: PushMultipartParser, chunk: bytes) -> None:
        for event in parser.parse(chunk):
            if isinstance(event, MultipartSegment):
                self._segment = event
                if event.name == 'file':
                    self._has_file = True
                    self.filename = event.filename or ''
            elif event:
                self._handle_data(bytes(event))

    def _handle_data(self, data: bytes) -> None:
        if self._segment.name == 'file':
            segments = self._reader.feed(data)
            if isinstance(segments, InvalidLine):
                raise BadJobLineError(segments.line_number, segments.reason)
            self._store_segments(segments)
        elif self._segment.name == 'purpose':
            self.purpose += data.decode(errors='replace')
            if len(self.purpose) > FIELD_LIMIT_BYTES:
                raise InvalidFieldError('purpose is too long')

    def _store_segments(self, segments: list[bytes]) -> None:
        for segment in segments:
            key = input_object_key(self.upload_id, self._segments_count)
            if self._context.driver.run(put_object(key, segment)) is not None:
                raise PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS)
            self._segments_count += 1
