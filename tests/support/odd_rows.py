"""Values that no server writes, as another writer may leave them in the table of servers."""

from __future__ import annotations

import msgspec

from tests.support.peers import server_row

__all__ = ('ODD_SERVER_ROWS',)

#: Digits of the shortest text that ``int`` refuses to convert.
LONG_DIGITS = 4_301
DEPTH = 5_000
PORTS = ('9' * LONG_DIGITS, '0' * LONG_DIGITS + '80', '65536', '-1', '', '8 0')
#: Encoded values in the place of a field's own.
FIELD_VALUES = (
    b'[' * DEPTH + b']' * DEPTH,
    b'{"a":' * DEPTH + b'1' + b'}' * DEPTH,
    b'9' * LONG_DIGITS,
    b'1e400',
    b'-1',
    b'null',
    b'"\\ud800"',
    b'"' + b'x' * 60_000 + b'"',
)


def _with_field(name: str, value: bytes) -> bytes:
    fields: dict[str, object] = {**server_row(), name: msgspec.Raw(value)}
    return msgspec.json.encode(fields)


ODD_SERVER_ROWS = (
    *(msgspec.json.encode(server_row(address=f'127.0.0.1:{port}')) for port in PORTS),
    *(_with_field(name, value) for name in ('slots', 'version', 'seq') for value in FIELD_VALUES),
    *(b'', b'\xff\xfe', b'[]', b'null', b'[' * DEPTH),
)
