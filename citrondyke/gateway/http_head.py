"""Validation and encoding of HTTP message heads."""

from __future__ import annotations

import re

from citrondyke.errors.invalid_header import InvalidHeaderError

__all__ = ('Header', 'Headers', 'check_headers', 'write_head')

Header = tuple[bytes, bytes]
Headers = list[Header]

#: Names are tokens; values may contain anything except control characters other than tab.
NAME_PATTERN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VALUE_PATTERN = re.compile(rb'[^\x00-\x08\x0a-\x1f\x7f]*')


def check_headers(headers: Headers) -> None:
    """Check that each header is read as exactly one header.

    A line break in a value would let its author add headers, or a whole request that then runs
    (header injection).

    :raises InvalidHeaderError: with the name of the first invalid header.
    """
    for name, value in headers:
        if not NAME_PATTERN.fullmatch(name) or not VALUE_PATTERN.fullmatch(value):
            raise InvalidHeaderError(name)


def write_head(first_line: bytes, headers: Headers) -> bytes:
    """Encode a head, including its blank line.

    :raises InvalidHeaderError: if a header is invalid.
    """
    check_headers(headers)
    lines = [first_line, *(b'%b: %b' % header for header in headers), b'', b'']
    return b'\r\n'.join(lines)
