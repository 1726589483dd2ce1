"""Rows that raise an exception that nobody expects, and callbacks that do."""

from __future__ import annotations

from collections.abc import Iterator

import logbook
import msgspec
import pytest

from citrondyke.decisions.forwarding.route_table import RouteTable
from citrondyke.decisions.forwarding.server_list_entry import ServerListEntry
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.gateway.replication.dependency import Dependency
from citrondyke.gateway.replication.replicated_state import ReplicatedState, RowDecoder
from citrondyke.ids import ServerId
from citrondyke.platform.rows import CONFIG_KEY, SERVERS_TABLE, decode_config, decode_server
from citrondyke.storage.partitioned_table import PartRow
from tests.support.gateway import GatewayFleet, wait_until_seen
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import server_row

POISON = b'a value that its decoder cannot stand'


def _decode_server(key: str, raw: bytes) -> ServerListEntry:
    if raw == POISON:
        raise ZeroDivisionError(key)
    return decode_server(key, raw)


def _decode_config(raw: bytes) -> RouteTable:
    if raw == POISON:
        raise ZeroDivisionError
    return decode_config(raw)


def _raise() -> None:
    raise ZeroDivisionError


def row(key: str, version: int, raw: bytes | None = None, **changed: object) -> PartRow:
    value = msgspec.json.encode(server_row(**changed)) if raw is None else raw
    return PartRow(SERVERS_TABLE, '', key, version, value)


class Replica:
    """Replicated state of one instance, whose decoders and callbacks can raise."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        context = manual_context(self.clock)
        self.registry = ServerRegistry(context)
        self.gone: list[str] = []
        self.ended: list[str] = []
        self.failing: set[str] = set()
        decoder = RowDecoder(CONFIG_KEY, _decode_config, _decode_server)
        self.state = ReplicatedState(
            context,
            decoder,
            self.registry,
            Dependency(self.clock, 'store'),
            2_200.0,
            lambda each: self._record(self.gone, each),
            lambda each: self._record(self.ended, each),
        )

    def _record(self, where: list[str], state: ServerState) -> None:
        if state.listed.id in self.failing:
            raise ZeroDivisionError(state.listed.id)
        where.append(state.listed.id)

    def ids(self) -> set[str]:
        return {state.listed.id for state in self.registry.states()}


@pytest.fixture
def replica() -> Replica:
    return Replica()


@pytest.fixture
def lines() -> Iterator[logbook.TestHandler]:
    handler = logbook.TestHandler(level=logbook.INFO)
    with handler.applicationbound():
        yield handler


def events(lines: logbook.TestHandler, kind: str) -> list[dict[str, object]]:
    return [record.extra for record in lines.records if record.message == kind]


@pytest.mark.parametrize('by_feed', [True, False], ids=['feed', 'read'])
def test_row_that_raises_costs_only_itself(replica: Replica, *, by_feed: bool) -> None:
    # The list would stay as it was for as long as the row does: a server that leaves goes on
    # getting requests, and a new one gets none.
    replica.state.on_server_listing([row('i-1', 1), row('i-2', 2)], 2)
    changed = [row('i-0', 3, POISON), row('i-2', 4, state='draining'), row('i-3', 5)]
    for _ in range(2):
        if by_feed:
            replica.state.on_server_rows(changed)
        else:
            replica.state.on_server_listing([*changed, row('i-1', 1)], 5)
    assert replica.ids() == {'i-1', 'i-2', 'i-3'}
    leaving = replica.registry.state(ServerId('i-2'))
    assert leaving is not None
    assert leaving.listed.is_leaving


def test_servers_own_entry_that_raises_names_no_server(replica: Replica) -> None:
    replica.state.on_server_listing([row('i-1', 1), row('i-2', 2)], 2)
    replica.state.on_server_rows([row('i-1', 3, POISON)])
    assert replica.ids() == {'i-2'}
    replica.state.on_server_rows([row('i-1', 4)])
    assert replica.ids() == {'i-1', 'i-2'}


def test_row_that_raises_is_logged_once_with_its_place(
    replica: Replica, lines: logbook.TestHandler
) -> None:
    # A line for each read would displace all others, and one without the row's key does not tell an
    # operator what to repair.
    replica.state.on_server_listing([row('i-1', 1)], 1)
    replica.clock.ms += 700.0
    for _ in range(50):
        replica.state.on_server_rows([row('i-0', 3, POISON)])
    place = {'table': 'servers', 'key': 'i-0', 'version': 3, 'age_ms': 700}
    assert events(lines, 'row.failed') == [place]
    assert replica.state.unreadable_rows_count == 1
    replica.state.on_server_rows([row('i-0', 4, POISON), row('i-0', 5)])
    assert [each['version'] for each in events(lines, 'row.failed')] == [3, 4]
    assert [each['key'] for each in events(lines, 'row.recovered')] == ['i-0']
    assert replica.state.unreadable_rows_count == 2


def test_configuration_that_raises_is_not_confirmed(replica: Replica) -> None:
    # As for one that is not valid: it may have the route that a caller requests.
    config = msgspec.json.encode({'version': 1, 'routes': []})
    replica.state.on_config_listing([PartRow('op', '', CONFIG_KEY, 3, config)], 3)
    replica.clock.ms += 5_000.0
    replica.state.on_config_listing([PartRow('op', '', CONFIG_KEY, 4, POISON)], 4)
    assert not replica.state.config.is_confirmed(replica.clock.ms)
    assert replica.state.config.table.version == 1


def test_callback_that_raises_does_not_stop_the_others(
    replica: Replica, lines: logbook.TestHandler
) -> None:
    # Requests at the other servers that ended would wait for answers that never come.
    replica.state.on_server_listing([row(f'i-{n}', n, seq=5) for n in range(1, 6)], 5)
    replica.failing = {'i-1', 'i-4'}
    replica.registry.on_replaced(_raise)
    replica.state.on_reconciled(_raise)
    # The first three are gone, and the last two have a new incarnation.
    replica.state.on_server_listing([row('i-4', 6, seq=1), row('i-5', 7, seq=1)], 7)
    assert replica.ids() == {'i-4', 'i-5'}
    assert replica.gone == ['i-2', 'i-3']
    assert replica.ended == ['i-5']
    failed = {each['task'] for each in events(lines, 'list.failed')}
    assert failed == {'on_server_gone', 'on_incarnation_ended', 'on_replaced', 'on_reconciled'}


def test_list_that_could_not_be_applied_is_applied_again(
    replica: Replica, lines: logbook.TestHandler, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Applying the list fails once in the middle. If it counted as applied, no later read would
    # change anything, since the rows have not changed since.
    replica.state.on_server_listing([row('i-1', 1), row('i-2', 2)], 2)
    replica.clock.ms += 400.0
    with monkeypatch.context() as patched:
        patched.setattr(
            'citrondyke.decisions.forwarding.server_registry.server_digest', lambda _: 1 // 0
        )
        replica.state.on_server_listing([row('i-2', 2), row('i-3', 3)], 3)
        assert replica.ids() == {'i-1', 'i-2'}
        assert replica.state.list_age_ms == 400.0
    replica.state.on_servers_current()
    assert replica.ids() == {'i-2', 'i-3'}
    assert replica.gone == ['i-1']
    assert replica.state.list_age_ms == 0.0
    assert [(each['task'], each['age_ms']) for each in events(lines, 'list.failed')] == [
        ('apply', 400)
    ]


def test_drain_is_followed_beside_a_row_that_raises(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    for instance in fleet.instances:
        decoder = instance.replicated._decoder
        wrapped = msgspec.structs.replace(decoder, server=_decode_server)
        monkeypatch.setattr(instance.replicated, '_decoder', wrapped)
    fleet.store.put(SERVERS_TABLE, 'odd', POISON)
    fleet.list_server('app-1', 'app', state='draining', seq=2)
    fleet.add_server('app-3', 'app')
    fleet.wait_ready()
    books = [each.book.state(ServerId('app-1')) for each in fleet.instances]
    wait_until_seen(lambda: all(each and each.listed.is_leaving for each in books), 'the drain')
    fleet.servers['app-1'].runs.clear()
    for number in range(12):
        assert fleet.call('/fetch/a', at=number % 2, request_id=f'r-{number}').status == 200
    assert not fleet.servers['app-1'].runs
    assert fleet.servers['app-3'].runs


def test_older_version_that_is_read_late_is_not_logged_again(
    replica: Replica, lines: logbook.TestHandler
) -> None:
    # Reads lag by seconds, so that they return the odd row for a while after its repair.
    for version, raw in ((3, POISON), (4, None), (3, POISON), (4, None)):
        replica.state.on_server_rows([row('i-0', version, raw)])
    kinds = [record.message for record in lines.records if record.message.startswith('row')]
    assert kinds == ['row.failed', 'row.recovered']
