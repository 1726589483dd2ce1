"""Reads bodies with a bound on size and time."""

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

    :raises BodyTooLargeError: when it is longer than ``limit_bytes``.
    :raises SlowSenderError: when it does not arrive within ``within_ms``.
    """
    if bottle.request.content_length > limit_bytes:
        raise BodyTooLargeError(f'the body may have {limit_bytes} bytes')
    body = b''.join(body_chunks(within_ms, limit_bytes))
    if len(body) > limit_bytes:
        raise BodyTooLargeError(f'the body may have {limit_bytes} bytes')
    return body


def body_chunks(within_ms: float, limit_bytes: int | None = None) -> Iterator[bytes]:
    """Read a body piece by piece.

    A sender that stops half-way would hold its connection for ever; the whole body has one
    timeout, so that sending a byte now and then does not help.

    :raises SlowSenderError: when it does not arrive within ``within_ms``.
    """
    source: Any = bottle.request.environ['wsgi.input']
    until = gevent.Timeout(within_ms / 1e3)
    until.start()
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
    except gevent.Timeout as timeout:
        if timeout is not until:
            raise
        raise SlowSenderError from None
    except OSError as error:
        raise SlowSenderError('the sender went away') from error
    finally:
        until.close()


def decode_body(body: bytes, kind: type[T]) -> T:
    """Decode a JSON body.

    :raises MalformedJsonError: when it is not JSON.
    :raises InvalidFieldError: naming the field that is wrong.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.ValidationError as error:
        raise InvalidFieldError(str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedJsonError(str(error)) from error
