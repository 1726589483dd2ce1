"""A row of origins that raises an unexpected exception costs the others nothing."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.streams.origin_history import OriginHistory
from citrondyke.gateway.replication.dependency import Dependency
from citrondyke.gateway.streams import stream_exceptions
from citrondyke.gateway.streams.origin_store import VERSIONS_TABLE, OriginStore
from citrondyke.gateway.streams.stream_exceptions import EXCEPTIONS_TABLE
from citrondyke.ids import ServiceName, SoftwareVersion
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.partitioned_table import Listing, PartTransaction, RowPut
from citrondyke.util.decoding import decode_json
from tests.support.flaky_table import FlakyTable
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server

SERVICES = (ServiceName('a'), ServiceName('b'))


class Origins:
    """Store of origins of an instance that is alone, with two services."""

    def __init__(self) -> None:
        clock = ManualClock()
        context = manual_context(clock)
        self.table = FlakyTable()
        book = ServerRegistry(context)
        version = SoftwareVersion('v1')
        book.replace(listed_server(f's-{each}', each, software_version=version) for each in 'ab')
        history = OriginHistory(context)
        for origin in book.origins:
            history.observe(origin)
        store = Dependency(clock, 'store')
        self.store = OriginStore(context, self.table, book, history, lambda: True, store)


@pytest.fixture
def origins() -> Origins:
    return Origins()


def test_service_that_raises_keeps_no_other_from_being_stored(
    origins: Origins, monkeypatch: pytest.MonkeyPatch
) -> None:
    # After a start of all instances the streams of the other services could not be resumed.
    check = origins.store._check
    checked: list[ServiceName] = []

    def check_or_raise(service: ServiceName) -> bool:
        checked.append(service)
        if len(checked) == 1:
            raise ZeroDivisionError
        return check(service)

    monkeypatch.setattr(origins.store, '_check', check_or_raise)
    assert origins.store.check_all()
    page = origins.table.read(VERSIONS_TABLE, '')
    assert isinstance(page, Listing)
    assert [row.key for row in page.rows] == checked[1:]
    assert set(checked) == set(SERVICES)


def test_streams_of_other_instances_are_found_beside_a_row_that_raises(
    origins: Origins, monkeypatch: pytest.MonkeyPatch
) -> None:
    def decode(raw: bytes, kind: Any) -> Any:
        if raw == b'odd':
            raise ZeroDivisionError
        return decode_json(raw, kind)

    monkeypatch.setattr(stream_exceptions, 'decode_json', decode)
    stream = stream_exceptions._Exception(7, 'a', 'v2', 1e15)
    value = msgspec.json.encode(stream_exceptions.ExceptionsRow([stream]))
    for name, raw in (('instance-1', b'odd'), ('instance-2', value)):
        put = RowPut(EXCEPTIONS_TABLE, name, raw)
        origins.table.transact(PartTransaction('', puts=(put,)))
    stored = origins.store.exceptions.read_all()
    assert not isinstance(stored, PlatformFailure)
    assert stored.by_key == {7: stream.origin}
    # Any other stream may be named in the row that raises.
    assert not stored.is_whole
    assert origins.store.exceptions.unreadable.count == 1
