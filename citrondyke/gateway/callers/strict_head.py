"""Rejects request heads that two parsers could interpret differently."""

from __future__ import annotations

from citrondyke.errors.bad_request_head import BadRequestHeadError

__all__ = ('check_head',)


def check_head(head: bytes) -> None:
    """Check a whole head, including its blank line.

    If a server interprets a head differently from this instance, a caller can hide a second request
    in the body of the first one (request smuggling), and it would run. So ambiguous heads are
    rejected rather than repaired: both length headers, two hosts, folded lines, bare line feeds.

    :raises BadRequestHeadError: with the reason.
    """
    lines = head.removesuffix(b'\r\n\r\n').split(b'\r\n')
    if lines[0].startswith(b'CONNECT '):
        # A success of it begins a tunnel, which can't carry a response.
        raise BadRequestHeadError('CONNECT is not supported')
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
        raise BadRequestHeadError('exactly one Host header is required')
    if names.count(b'content-length') > 1 or names.count(b'transfer-encoding') > 1:
        raise BadRequestHeadError('duplicate Content-Length or Transfer-Encoding')
    has_length = b'content-length' in values
    if has_length and not values[b'content-length'].isdigit():
        raise BadRequestHeadError('malformed Content-Length')
    if b'transfer-encoding' in values:
        if has_length:
            raise BadRequestHeadError('both Content-Length and Transfer-Encoding')
        if values[b'transfer-encoding'].lower() != b'chunked':
            raise BadRequestHeadError('unsupported Transfer-Encoding')
