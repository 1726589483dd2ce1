"""Turns away request heads that two parsers could read in two ways."""

from __future__ import annotations

from citrondyke.errors.bad_request_head import BadRequestHeadError

__all__ = ('check_head',)


def check_head(head: bytes) -> None:
    """Check a whole head, up to and with its blank line.

    A head that a server reads otherwise than this instance lets a caller hide a second request
    inside the first one's body; it would run unasked. So what is ambiguous is turned away rather
    than repaired: both lengths, two hosts, folded lines, line feeds alone.

    :raises BadRequestHeadError: with what is wrong.
    """
    lines = head.removesuffix(b'\r\n\r\n').split(b'\r\n')
    names: list[bytes] = []
    values: dict[bytes, bytes] = {}
    for line in lines:
        if b'\n' in line or b'\r' in line or b'\0' in line:
            raise BadRequestHeadError('control character in the head')
    for line in lines[1:]:
        name, colon, value = line.partition(b':')
        if not colon or not name or name != name.strip():
            raise BadRequestHeadError('malformed header line')
        lower = name.lower()
        names.append(lower)
        values[lower] = value.strip()
    if names.count(b'host') != 1:
        raise BadRequestHeadError('exactly one Host is needed')
    if names.count(b'content-length') > 1 or names.count(b'transfer-encoding') > 1:
        raise BadRequestHeadError('a length is given twice')
    has_length = b'content-length' in values
    if has_length and not values[b'content-length'].isdigit():
        raise BadRequestHeadError('malformed Content-Length')
    if b'transfer-encoding' in values:
        if has_length:
            raise BadRequestHeadError('both Content-Length and Transfer-Encoding')
        if values[b'transfer-encoding'].lower() != b'chunked':
            raise BadRequestHeadError('unknown Transfer-Encoding')
