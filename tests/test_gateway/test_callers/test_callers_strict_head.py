"""Tests that ambiguous request heads are rejected."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citrondyke.errors.bad_request_head import BadRequestHeadError
from citrondyke.gateway.callers.strict_head import check_head

GOOD = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n'


def test_plain_head_passes() -> None:
    check_head(GOOD)
    check_head(b'POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n')


@pytest.mark.parametrize(
    'lines',
    [
        b'Host: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked',
        b'Host: h\r\nContent-Length: 3\r\nContent-Length: 3',
        b'Host: h\r\nContent-Length: +3',
        b'Host: h\r\nContent-Length: 3, 4',
        b'Host: h\r\nTransfer-Encoding: identity',
        b'Host: h\r\nTransfer-Encoding: chunked, chunked',
        b'Host: h\r\nTransfer-Encoding: x\r\nTransfer-Encoding: chunked',
        b'Host: h\r\nHost: i',
        b'X: y',
        b'Host: h\r\nX: a\r\n b',
        b'Host: h\nContent-Length: 3',
        b'Host: h\r\nContent-Length : 3',
        b'Host: h\r\nX: a\rb',
        b'Host: h\r\nX: a\0b',
        b'Host: h\r\nno colon',
    ],
)
def test_ambiguous_head_is_rejected(lines: bytes) -> None:
    # A server that interprets the head differently takes the rest of the body for a second request
    # and runs it (request smuggling).
    with pytest.raises(BadRequestHeadError):
        check_head(b'POST /a HTTP/1.1\r\n' + lines + b'\r\n\r\n')


@given(st.binary(max_size=200))
def test_any_bytes_are_accepted_or_rejected(data: bytes) -> None:
    try:
        check_head(data + b'\r\n\r\n')
    except BadRequestHeadError as error:
        assert error.status == 400
