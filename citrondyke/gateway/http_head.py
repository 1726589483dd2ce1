"""Heads of messages as they are written."""

from __future__ import annotations

import re

from citrondyke.errors.invalid_header import InvalidHeaderError

__all__ = ('Header', 'Headers', 'check_headers', 'write_head')

Header = tuple[bytes, bytes]
Headers = list[Header]

#: Names are tokens; values may hold anything but what ends a line or a string.
NAME_PATTERN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VALUE_PATTERN = re.compile(rb'[^\x00-\x08\x0a-\x1f\x7f]*')


def check_headers(headers: Headers) -> None:
    """Check that headers cannot be read as anything else.

    A line break in a value would let whoever wrote it add headers, or a whole request that runs
    unasked.

    :raises InvalidHeaderError: naming the first one that is wrong.
    """
    for name, value in headers:
        if not NAME_PATTERN.fullmatch(name) or not VALUE_PATTERN.fullmatch(value):
            raise InvalidHeaderError(name)


def write_head(first_line: bytes, headers: Headers) -> bytes:
    """Write a head, its blank line included.

    :raises InvalidHeaderError: when a header is none.
    """
    check_headers(headers)
    lines = [first_line, *(b'%b: %b' % header for header in headers), b'', b'']
    return b'\r\n'.join(lines)
