"""Parts of a prompt that other requests may share."""

from __future__ import annotations

import pytest

from citrondyke.decisions.batch.job import JobItem
from citrondyke.gateway.callers.caller_request import CallerRequest
from citrondyke.platform.dialect import PlatformDialect


@pytest.mark.parametrize(
    ('header', 'parts'),
    [
        ('', ()),
        ('5c1e07a2:800', ()),
        ('5C1e07a2:800, 91bd3f06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        ('aa:1,aa:2,:3,,bb,cc:1', ('aa', 'bb')),
    ],
)
def test_last_entry_is_no_shared_part(header: str, parts: tuple[str, ...]) -> None:
    request = CallerRequest(b'POST', b'/x', [(b'prefix-hash', header.encode())], b'', 0.0)
    item = JobItem(id='i', path='/x', headers={'Prefix-Hash': header}, body=b'')
    dialect = PlatformDialect()
    assert dialect.request_metadata(request).prompt_parts == parts
    assert dialect.item_prompt_parts(item) == parts
