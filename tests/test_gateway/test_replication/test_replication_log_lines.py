"""Tests that what another writer put into a row can't fill the log."""

from __future__ import annotations

import logbook
import msgspec
import pytest

from citrondyke.platform.rows import CONFIG_KEY
from citrondyke.storage.partitioned_table import PartRow
from tests.support.peers import server_row
from tests.test_platform.test_platform_foreign_entries import StateUnderTest, row

LONG = '9' * 60_000
#: Each line has some hundred bytes; rows of 64 KB are read each second by all instances.
LINE_LIMIT_BYTES = 4_096
ODD_ENTRIES = [
    *(server_row(**{name: LONG}) for name in server_row()),
    server_row(address=f'10.0.0.1:{LONG}'),
    server_row(address=f'{LONG}:80'),
    {LONG: 1},
]


@pytest.mark.parametrize('entry', ODD_ENTRIES, ids=lambda entry: next(iter(entry))[:20])
def test_long_text_of_a_server_entry_is_not_logged(entry: dict[str, object]) -> None:
    state = StateUnderTest()
    raw = msgspec.json.encode(entry)
    with logbook.TestHandler() as handler:
        state.replicated.on_server_listing([row('i-1', 5, raw), row('i' * 201, 6, raw)], 6)
        state.replicated.on_server_rows([row('i-1', 7, raw)])
    assert handler.records
    for record in handler.records:
        assert len(msgspec.json.encode(record.extra, enc_hook=str)) < LINE_LIMIT_BYTES


@pytest.mark.parametrize(
    'config',
    [
        {'version': LONG},
        {'version': 1, 'tenants': [{'name': LONG, 'api_keys': []}]},
        {'version': 1, 'tenants': [{'name': 'a', 'api_keys': [LONG]}] * 2},
        {'version': 1, 'routes': [{'name': LONG}]},
    ],
)
def test_long_text_of_a_configuration_is_not_logged(config: dict[str, object]) -> None:
    state = StateUnderTest()
    with logbook.TestHandler() as handler:
        raw = msgspec.json.encode(config)
        state.replicated.on_config_listing([PartRow('op', '', CONFIG_KEY, 4, raw)], 4)
    assert handler.records
    for record in handler.records:
        assert len(msgspec.json.encode(record.extra, enc_hook=str)) < LINE_LIMIT_BYTES
