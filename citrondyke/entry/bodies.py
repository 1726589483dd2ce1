"""Reads request bodies with limits on size and time."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, TypeVar

import bottle
import gevent
import msgspec

from citrondyke.errors import (
    BodyTooLargeError,
    InvalidFieldError,
    MalformedJsonError,
    SlowSenderError,
)

__all__ = ('body_chunks', 'decode_body', 'read_body')

T = TypeVar('T')

CHUNK_BYTES = 65_536


def read_body(limit_bytes: int, within_ms: float) -> bytes:
    """Read a whole body.

    :raises BodyTooLargeError: if it is longer than ``limit_bytes``.
    :raises SlowSenderError: if it does not arrive within ``within_ms``.
    """
    if bottle.request.content_length > limit_bytes:
        raise BodyTooLargeError(f'the body may have {limit_bytes} bytes')
    body = b''.join(body_chunks(within_ms, limit_bytes))
    if len(body) > limit_bytes:
        raise BodyTooLargeError(f'the body may have {limit_bytes} bytes')
    return body


def body_chunks(within_ms: float, limit_bytes: int | None = None) -> Iterator[bytes]:
    """Read a body in chunks.

    Without a timeout, a sender that stops halfway would hold its connection indefinitely. One
    timeout covers the whole body, so that a sender cannot extend it with single bytes.

    :param limit_bytes: reading stops after the chunk that exceeds this size; ``None`` for no limit.
    :raises SlowSenderError: if it does not arrive within ``within_ms``.
    """
    source: Any = bottle.request.environ['wsgi.input']
    body_timeout = gevent.Timeout(within_ms / 1e3)
    body_timeout.start()
    count = 0
    try:
        while True:
            chunk = source.read(CHUNK_BYTES)
            if not chunk:
                return
            count += len(chunk)
            yield chunk
            if limit_bytes is not None and count > limit_bytes:
                return
    except gevent.Timeout as error:
        if error is not body_timeout:
            raise
        raise SlowSenderError from None
    except OSError as error:
        raise SlowSenderError('the caller disconnected before the body was complete') from error
    finally:
        body_timeout.close()


def decode_body(body: bytes, kind: type[T]) -> T:
    """Decode a JSON body.

    :raises MalformedJsonError: if it is not valid JSON.
    :raises InvalidFieldError: if a field is invalid; the message names the field.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.ValidationError as error:
        raise InvalidFieldError(str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedJsonError(str(error)) from error
