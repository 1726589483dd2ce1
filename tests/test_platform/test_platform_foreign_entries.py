"""Server list entries that were written by something other than a server."""

from __future__ import annotations

import contextlib
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from citrondyke.decisions.forwarding.replicated_rows import ObservedRow
from citrondyke.decisions.forwarding.server_list_entry import ServerListEntry
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.replication.dependency import Dependency
from citrondyke.gateway.replication.replicated_state import ReplicatedState, RowDecoder
from citrondyke.ids import ServerId
from citrondyke.platform.rows import CONFIG_KEY, SERVERS_TABLE, decode_config, decode_server
from citrondyke.storage.partitioned_table import PartRow
from citrondyke.util.decoding import decode_msgpack, decompress
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.odd_rows import ODD_SERVER_ROWS
from tests.support.peers import server_row

DEEPLY_NESTED = b'{"a":' + b'[' * 5_000 + b']' * 5_000 + b'}'
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def without(name: str) -> dict[str, Any]:
    return {key: value for key, value in server_row().items() if key != name}


INVALID_ENTRIES = [
    *(without(name) for name in server_row()),
    *(server_row(**{name: None}) for name in server_row()),
    *(server_row(**{name: ['x']}) for name in server_row()),
    server_row(state='asleep'),
    server_row(service=''),
    *(server_row(version=version) for version in ('', 'v' * 101, None, 2)),
    *(server_row(slots=slots) for slots in (0, -3, 10**30, 1.5, True, '8')),
    *(server_row(seq=seq) for seq in (-1, 1.5, '4')),
    *(server_row(born=born) for born in (None, 1.5, '1700000000000', True, -1, 2**64)),
    *(
        server_row(address=address)
        for address in ('10.0.0.1:99999999', '10.0.0.1:-1', '10.0.0.1:0', '10.0.0.1', ':80')
    ),
    *(
        server_row(address=address)
        for address in ('localhost:80', '10.0.0.256:80', '10.0.0.1: 80', '10.0.0.1:٨٠', '')
    ),
    # The conversion of more than 4,300 digits raises an error of its own.
    *(server_row(address=f'10.0.0.1:{digit * 4_301}') for digit in '09'),
    *(server_row(address=f'10.0.0.1:{digit * 60_000}80') for digit in '09'),
]


class StateUnderTest:
    """Replicated state of one instance, without a store."""

    def __init__(self) -> None:
        clock = ManualClock()
        context = manual_context(clock)
        self.registry = ServerRegistry(context)
        decoder = RowDecoder(CONFIG_KEY, decode_config, decode_server)
        self.exited: list[str] = []
        self.replicated = ReplicatedState(
            context,
            decoder,
            self.registry,
            Dependency(clock, 'store'),
            2_200.0,
            lambda _: None,
            lambda state: self.exited.append(state.listed.id),
        )

    def ids(self) -> set[str]:
        return {state.listed.id for state in self.registry.states()}


def row(key: str, version: int, value: bytes) -> PartRow:
    return PartRow(SERVERS_TABLE, '', key, version, value)


VALID_ENTRY = msgspec.json.encode(server_row())


@pytest.mark.parametrize('entry', INVALID_ENTRIES, ids=lambda entry: str(entry)[:60])
def test_invalid_entry_is_rejected(entry: dict[str, Any]) -> None:
    with pytest.raises(UnreadableBytesError):
        decode_server('i-1', msgspec.json.encode(entry))


@pytest.mark.parametrize('number', range(len(ODD_SERVER_ROWS)))
def test_odd_row_names_no_server(number: int) -> None:
    # Requests would be sent to the address of a server that does not exist.
    with pytest.raises(UnreadableBytesError):
        decode_server('i-1', ODD_SERVER_ROWS[number])


@pytest.mark.parametrize('key', ['', 'i 1', 'i-1\r\nHost: x', 'ï-1', 'i' * 201])
def test_key_that_is_invalid_in_a_header_is_rejected(key: str) -> None:
    with pytest.raises(UnreadableBytesError):
        decode_server(key, VALID_ENTRY)


def test_unknown_fields_are_ignored() -> None:
    assert decode_server('i-1', msgspec.json.encode(server_row(stage='x', models=[{}]))).seq == 4


@pytest.mark.parametrize(
    'raw', [b'', b'\xff\xfe', DEEPLY_NESTED, b'[]', b'null', b'{"service":"\\ud800"}']
)
def test_feed_and_read_agree_on_an_unreadable_entry(raw: bytes) -> None:
    # Another writer overwrites a server's entry. If the feed kept the server and only the next
    # read dropped it, the server would get requests until that read. An exception that passes
    # the handler would end the task that follows the table for good.
    by_feed, by_read = StateUnderTest(), StateUnderTest()
    before = [row('i-1', 5, VALID_ENTRY), row('i-2', 6, VALID_ENTRY)]
    for instance in (by_feed, by_read):
        instance.replicated.on_server_listing(before, 6)
    by_feed.replicated.on_server_rows([row('i-1', 7, raw)])
    by_read.replicated.on_server_listing([row('i-1', 7, raw), row('i-2', 6, VALID_ENTRY)], 7)
    assert by_feed.ids() == by_read.ids() == {'i-2'}
    for instance in (by_feed, by_read):
        instance.replicated.on_server_rows([row('i-1', 8, VALID_ENTRY)])
        assert instance.ids() == {'i-1', 'i-2'}


def test_server_with_overwritten_entry_is_removed_despite_an_outage() -> None:
    instance = StateUnderTest()
    instance.replicated.on_server_listing([row('i-1', 5, VALID_ENTRY)], 5)
    instance.replicated._servers.record_outage(1_000.0)
    instance.replicated.on_server_rows([row('i-1', 7, b'?')])
    assert instance.ids() == set()


def test_unreadable_configuration_is_not_confirmed() -> None:
    # A version that cannot be read may contain the route that a caller requests; the answer
    # "no such route" would be final for that caller.
    instance = StateUnderTest()
    config = msgspec.json.encode({'version': 1, 'routes': []})
    instance.replicated.on_config_listing([PartRow('op', '', CONFIG_KEY, 3, config)], 3)
    assert instance.replicated.config.is_confirmed(1_000.0)
    for raw in (DEEPLY_NESTED, b'\xff', b'{"version":"x"}', b'{"version":-1}'):
        other = StateUnderTest()
        other.replicated.on_config_listing([PartRow('op', '', CONFIG_KEY, 4, raw)], 4)
        assert not other.replicated.config.is_confirmed(1_000.0)


@given(
    st.binary()
    | JSON_VALUES.map(msgspec.json.encode)
    | st.builds(
        lambda name, value: msgspec.json.encode(server_row(**{name: value})),
        st.sampled_from([*server_row(), 'born']),
        JSON_VALUES,
    )
    | st.builds(
        lambda at, byte: VALID_ENTRY[:at] + bytes([byte]) + VALID_ENTRY[at:],
        st.integers(0, 120),
        st.integers(0, 255),
    )
)
def test_any_bytes_in_one_entry_leave_other_entries_unchanged(raw: bytes) -> None:
    instance = StateUnderTest()
    instance.replicated.on_server_listing([row('i-2', 6, VALID_ENTRY)], 6)
    instance.replicated.on_server_rows([row('i-1', 7, raw)])
    instance.replicated.on_config_changes([PartRow('op', '', CONFIG_KEY, 8, raw)])
    state = instance.registry.state(ServerId('i-2'))
    assert state is not None
    assert state.listed == decode_server('i-2', VALID_ENTRY)
    for other in instance.ids() - {'i-2'}:
        found = instance.registry.state(ServerId(other))
        assert found is not None
        assert 1 <= found.listed.port <= 65_535
        assert found.listed.slots_count >= 1


@given(st.binary())
def test_decompression_and_msgpack_raise_only_their_documented_error(raw: bytes) -> None:
    for decode in (lambda: decompress(raw, 1_000), lambda: decode_msgpack(raw, ServerListEntry)):
        with contextlib.suppress(UnreadableBytesError):
            decode()


def test_row_from_an_earlier_build_is_completed_by_the_store() -> None:
    # During an upgrade a peer passes on a list without software versions. If that row stayed, no
    # server could continue a stream until its row changes.
    under_test = StateUnderTest()
    complete = decode_server('i-1', VALID_ENTRY)
    partial = msgspec.structs.replace(complete, software_version=None)
    under_test.replicated.merge_servers([ObservedRow('i-1', 5, partial)], 5, is_whole=True)
    assert {origin.version for origin in under_test.registry.origins} == {''}
    under_test.replicated.on_server_rows([row('i-1', 5, VALID_ENTRY)])
    assert {origin.version for origin in under_test.registry.origins} == {'v1'}
    under_test.replicated.merge_servers([ObservedRow('i-1', 5, partial)], 6, is_whole=True)
    assert {origin.version for origin in under_test.registry.origins} == {'v1'}
