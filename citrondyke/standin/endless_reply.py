"""Responses that never end, as faulty servers send them until the connection is closed."""

from __future__ import annotations

import itertools
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ('EndlessPart', 'endless_reply')

PIECE_BYTES = 16_384
EVENTS_PER_PIECE = 1_000


class EndlessPart(Enum):
    """Part of a response that goes on without end."""

    STATUS_LINE = 'status_line'
    HEAD_LINE = 'head_line'
    HEAD_LINES = 'head_lines'
    INTERIM_HEADS = 'interim_heads'
    CHUNK_SIZE = 'chunk_size'
    CHUNK_EXTENSION = 'chunk_extension'
    TRAILERS = 'trailers'
    TRAILER_LINE = 'trailer_line'
    #: A body without a length, which ends with the connection.
    UNFRAMED_BODY = 'unframed_body'
    #: A body with a very large length.
    LONG_BODY = 'long_body'
    TINY_CHUNKS = 'tiny_chunks'
    #: One event, or its comment lines, without the blank line at its end.
    EVENT = 'event'
    COMMENT_LINES = 'comment_lines'
    #: Blocks that are no events.
    COMMENTS = 'comments'
    BLANK_LINES = 'blank_lines'
    #: Events without data, and events without an id.
    NO_DATA = 'no_data'
    NO_ID = 'no_id'
    #: Events with ids and data.
    EVENTS = 'events'


CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
WITHOUT_HEAD = (EndlessPart.STATUS_LINE, EndlessPart.INTERIM_HEADS)
#: What follows the headers, and the bytes that are repeated after it.
_REPEATED = {
    EndlessPart.STATUS_LINE: (b'HTTP/1.1 200 ', b'x'),
    EndlessPart.HEAD_LINE: (b'X: ', b'x'),
    EndlessPart.HEAD_LINES: (b'', b'X: y\r\n'),
    EndlessPart.INTERIM_HEADS: (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    EndlessPart.CHUNK_SIZE: (CHUNKED, b'0'),
    EndlessPart.CHUNK_EXTENSION: (CHUNKED + b'5;', b'x'),
    EndlessPart.TRAILERS: (CHUNKED + b'0\r\n', b'X: y\r\n'),
    EndlessPart.TRAILER_LINE: (CHUNKED + b'0\r\nX: ', b'x'),
    EndlessPart.UNFRAMED_BODY: (b'\r\n', b'\xfe'),
    EndlessPart.LONG_BODY: (b'Content-Length: 1000000000000\r\n\r\n', b'\xfe'),
    EndlessPart.TINY_CHUNKS: (CHUNKED, b'1\r\nx\r\n'),
    EndlessPart.EVENT: (b'\r\nid: 1\ndata: ', b'x'),
    EndlessPart.COMMENT_LINES: (b'\r\n', b': x\n'),
    EndlessPart.COMMENTS: (b'\r\n', b': x\n\n'),
    EndlessPart.BLANK_LINES: (b'\r\n', b'\n'),
    EndlessPart.NO_ID: (b'\r\n', b'data: x\n\n'),
}


def endless_reply(part: EndlessPart, headers: list[tuple[bytes, bytes]]) -> Iterator[bytes]:
    """Return the pieces of a successful response with the given headers."""
    lines = b''.join(b'%b: %b\r\n' % pair for pair in headers)
    head = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n' + lines
    if part in (EndlessPart.EVENTS, EndlessPart.NO_DATA):
        yield head + b'\r\n'
        data = b'data: x\n' if part is EndlessPart.EVENTS else b''
        for first in itertools.count(1, EVENTS_PER_PIECE):
            numbers = range(first, first + EVENTS_PER_PIECE)
            yield b''.join(b'id: %d\n%b\n' % (number, data) for number in numbers)
    opening, repeated = _REPEATED[part]
    yield opening if part in WITHOUT_HEAD else head + opening
    while True:
        yield repeated * (PIECE_BYTES // len(repeated))
