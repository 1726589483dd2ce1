"""Four ways in which a fleet learns of its list of servers, in virtual time.

Run by hand, ``python -m benchmarks.list_ways``. All start within a second of each other, as after a
loss of all; then servers change, one of those who read is lost, and a server leaves at that moment.
The store's link and rate of reads and the machines' own links are modelled, processor time is not.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

import msgspec
from rich.console import Console
from rich.table import Table

from citrondyke.decisions.core.context import Context
from citrondyke.decisions.server_list.reader_election import ReaderElection
from citrondyke.decisions.server_list.reader_lease_tracker import MissingRows, ReaderLeaseTracker
from citrondyke.decisions.server_list.server_list_cursor import ServerListCursor
from citrondyke.driver.virtual.virtual_time import VirtualTime
from citrondyke.gateway.retry_backoff import backoff_ms
from citrondyke.ids import AvailabilityZone, InstanceId

__all__ = ('main',)

SIZES = (30, 87, 300, 1_000)
SERVERS_PER_INSTANCE = 10
ZONES = 4
VALUE_BYTES, WIRE_BYTES, OFFERED_BYTES, MESSAGE_BYTES = 233, 430, 27, 190
PAGE_ROWS = 500
STORE_BYTES_PER_MS, LINK_BYTES_PER_MS = 500_000.0, 125_000.0
STORE_READS_PER_S = 2_000
CALL_MS, HOP_MS = 4.0, 1.0
#: A server's entry changes so seldom.
CHANGE_EVERY_S = 300.0
STEADY_MS = 20_000.0
PARTS = 64
START_BYTES_PER_MS = 125_000.0
WHOLE_READS_BYTES_PER_MS = 16.384


class Node(msgspec.Struct, eq=False):
    """One instance: what it knows and what it read."""

    number: int
    zone: str
    context: Context
    watch: ReaderLeaseTracker
    pages: int = 0
    is_whole: bool = False
    known: int = 0
    first_ms: float = float('inf')
    whole_ms: float = float('inf')
    is_up: bool = False
    is_reader: bool = False
    link_free_ms: float = 0.0
    store_bytes: float = 0.0
    peer_bytes: float = 0.0


class World:
    """A fleet, its store and its list, of which only the number of changes matters."""

    def __init__(self, instances_count: int, seed: int) -> None:
        self.time = VirtualTime()
        self.random = random.Random(seed)
        self.rows_count = instances_count * SERVERS_PER_INSTANCE
        self.pages_count = -(-self.rows_count // PAGE_ROWS)
        self.number = 0
        self.changed_ms: list[float] = []
        self.refused_count = 0
        self._free_ms = 0.0
        self._second, self._reads = -1, 0
        self.pace = min(3.0, max(1.0, instances_count / 45))
        self.nodes = [self._node(number) for number in range(instances_count)]

    def _node(self, number: int) -> Node:
        zone = f'zone-{number % ZONES}'
        name = InstanceId(f'i{number}')
        context = Context(name, AvailabilityZone(zone), self.time, self.random)
        return Node(number, zone, context, ReaderLeaseTracker(context))

    def change(self) -> None:
        self.number += 1
        self.changed_ms.append(self.time.now_ms())

    def changes_since(self, ms: float) -> int:
        return sum(at_ms >= ms for at_ms in reversed(self.changed_ms[-2_000:]))

    def read(
        self, node: Node, size_bytes: float, done: Callable[[], None], refused: Callable[[], None]
    ) -> None:
        """Call the store; refused beyond its rate, and its link sends one answer at a time."""
        now_ms = self.time.now_ms()
        if int(now_ms // 1e3) != self._second:
            self._second, self._reads = int(now_ms // 1e3), 0
        self._reads += 1
        if self._reads > STORE_READS_PER_S:
            self.refused_count += 1
            self.time.after(CALL_MS, refused)
            return
        self._free_ms = max(now_ms, self._free_ms) + size_bytes / STORE_BYTES_PER_MS
        node.store_bytes += size_bytes
        self.time.at(self._free_ms + CALL_MS, done)

    def send(self, source: Node, to: Node, size_bytes: float, take: Callable[[], None]) -> None:
        """Send from one to another; the source's link sends one message at a time."""
        source.link_free_ms = max(self.time.now_ms(), source.link_free_ms)
        source.link_free_ms += size_bytes / LINK_BYTES_PER_MS
        to.peer_bytes += size_bytes
        self.time.at(source.link_free_ms + HOP_MS, lambda: take() if to.is_up else None)

    def every(self, node: Node, gap_ms: float, act: Callable[[], None]) -> None:
        """Do something again and again while a node is up."""

        def again() -> None:
            if node.is_up:
                act()
                self.time.after(node.context.jittered_ms(gap_ms), again)

        self.time.after(node.context.jittered_ms(gap_ms, 1.0), again)

    def read_pages(self, node: Node, then: Callable[[], None], tries: int = 1) -> None:
        """Read the whole list page by page; a refusal begins anew."""
        began = self.number

        def page(at: int) -> None:
            if at == self.pages_count:
                self.learn(node, began, self.pages_count)
                then()
                return
            rows = min(PAGE_ROWS, self.rows_count - at * PAGE_ROWS)
            self.read(node, rows * WIRE_BYTES, partial(got, at + 1), refused)

        def got(pages: int) -> None:
            self.learn(node, 0, pages)
            page(pages)

        def refused() -> None:
            pause_ms = node.context.jittered_ms(backoff_ms(tries))
            self.time.after(pause_ms, lambda: self.read_pages(node, then, tries + 1))

        page(0)

    def learn(self, node: Node, known: int, pages: int) -> None:
        now_ms = self.time.now_ms()
        node.pages = max(node.pages, pages)
        if node.pages and node.first_ms > now_ms:
            node.first_ms = now_ms
        if node.pages == self.pages_count and not node.is_whole:
            node.is_whole, node.whole_ms = True, now_ms
        node.known = max(node.known, known)

    def follow(
        self, node: Node, pace: Callable[[], float], covered: Callable[[], bool] = lambda: False
    ) -> None:
        """The loops of one who reads: a feed, looks five seconds back, whole reads as proof."""
        whole_ms = self.rows_count * VALUE_BYTES / WHOLE_READS_BYTES_PER_MS

        def feed() -> None:
            lacks = self.number - node.known
            if covered() or not lacks:
                return
            self.read(
                node, lacks * WIRE_BYTES, partial(self.learn, node, self.number, 0), lambda: None
            )

        def look() -> None:
            if covered() and self.random.random() * 10.0 > pace():
                return
            shown = self.changes_since(self.time.now_ms() - 5_000.0)
            self.read(
                node, shown * WIRE_BYTES, partial(self.learn, node, self.number, 0), lambda: None
            )

        def whole() -> None:
            if not covered() or self.random.random() < 1 / 8:
                self.read_pages(node, lambda: None)

        self.every(node, 250.0 * pace(), feed)
        self.every(node, 1_000.0 * pace(), look)
        self.every(node, max(1_000.0 * pace(), whole_ms), whole)


def everybody(world: World, node: Node) -> None:
    """Each reads the list at its start and follows its changes."""
    world.read_pages(node, lambda: world.follow(node, lambda: world.pace))


def staggered(world: World, node: Node) -> None:
    """As everybody, but the first reads are spread over what a quarter of the link carries."""
    all_bytes = len(world.nodes) * world.rows_count * WIRE_BYTES
    delay_ms = world.random.random() * all_bytes / START_BYTES_PER_MS
    world.time.after(delay_ms, lambda: everybody(world, node))


def by_parts(world: World, node: Node) -> None:
    """Digests of parts are read each second; what differs comes from a neighbour that has it."""
    near = [each for each in world.nodes if each.zone == node.zone and each is not node]

    def look() -> None:
        world.read(node, PARTS * 24.0, fetch, lambda: None)

    def fetch() -> None:
        lacks = PARTS if not node.is_whole else min(PARTS, world.number - node.known)
        if not lacks:
            return
        number = world.number
        rows = lacks * world.rows_count / PARTS
        source = world.random.choice(near)
        if source.is_up and source.is_whole and (source.known > node.known or not node.is_whole):
            size_bytes = rows * OFFERED_BYTES + MESSAGE_BYTES
            world.send(source, node, size_bytes, partial(done, source.known))
        else:
            world.read(node, rows * WIRE_BYTES, lambda: done(number), lambda: None)

    def done(number: int) -> None:
        world.learn(node, number, world.pages_count)

    look()
    world.every(node, 1_000.0, look)


def by_readers(world: World, node: Node) -> None:
    """Two of each zone read, by the rules that the gateway runs."""
    zone = [each for each in world.nodes if each.zone == node.zone]
    rule = ReaderElection(node.context)
    by_id = {each.context.instance_id: each for each in zone}
    if not rule.is_worthwhile(world.rows_count * VALUE_BYTES, len(world.nodes)):
        everybody(world, node)
        return
    readers = [by_id[name] for name in rule.elect_readers(by_id)]
    node.is_reader = node in readers
    if node.is_reader:
        world.read_pages(node, lambda: world.follow(node, lambda: 1.0))
        told = [0, 0]

        def tell() -> None:
            lacks = node.known - told[0]
            told[0] = node.known
            for each in zone:
                if each is not node:
                    size_bytes = MESSAGE_BYTES + lacks * 35.0
                    world.send(node, each, size_bytes, partial(hear, each, told[0] - lacks))

        def hear(to: Node, since: int) -> None:
            place = ServerListCursor('life', node.known + node.pages, node.known, node.is_whole)
            name = node.context.instance_id
            if to.is_whole and since <= to.known:
                world.learn(to, node.known, 0)
            lack = to.watch.record_cursor(name, place, to.known if to.is_whole else -1)
            if (lack is MissingRows.NOTHING and to.pages >= node.pages) or to.is_whole:
                return
            rows = (node.pages - to.pages) * PAGE_ROWS
            if rows > 0:
                take = partial(world.learn, to, node.known, node.pages)
                world.send(node, to, MESSAGE_BYTES + rows * OFFERED_BYTES, take)

        world.every(node, 300.0, tell)
        return
    span_ms = world.rows_count * WIRE_BYTES * len(world.nodes) / START_BYTES_PER_MS
    until_ms = 1_200.0 + world.random.random() * span_ms

    def fall_back() -> None:
        if not node.is_whole:
            world.read_pages(node, lambda: None)

    world.time.after(until_ms, fall_back)
    world.follow(node, lambda: world.pace, lambda: node.watch.is_delegated or not node.is_whole)


WAYS: dict[str, Callable[[World, Node], None]] = {
    'everybody': everybody,
    'staggered': staggered,
    'digests by part': by_parts,
    'readers': by_readers,
}


def _play(way: Callable[[World, Node], None], size: int) -> list[str]:
    world = World(size, seed=1)
    for node in world.nodes:

        def start(node: Node = node) -> None:
            node.is_up = True
            way(world, node)

        world.time.at(world.random.uniform(300.0, 1_300.0), start)
    world.time.run_until(15_000.0)
    first_ms = max(0.0, max(node.first_ms for node in world.nodes) - 1_300.0)
    whole_ms = max(0.0, max(node.whole_ms for node in world.nodes) - 1_300.0)
    start_bytes = sum(node.store_bytes for node in world.nodes) / size
    refused = world.refused_count
    for node in world.nodes:
        node.store_bytes = node.peer_bytes = 0.0
    gap_ms = CHANGE_EVERY_S * 1e3 / world.rows_count
    changes_count = int(STEADY_MS / gap_ms)
    for at in range(changes_count):
        world.time.after(at * gap_ms, world.change)
    world.time.run_until(15_000.0 + STEADY_MS)
    store = sum(node.store_bytes for node in world.nodes) / size / STEADY_MS
    peers = sum(node.peer_bytes for node in world.nodes) / size / STEADY_MS
    lags = []
    for lost_count in (0, 1, 2):
        lost = [n for n in world.nodes if n.is_reader and n.zone == 'zone-0' and n.is_up]
        for node in lost[: 1 if lost_count else 0]:
            node.is_up = False
        lags.append(_lag_ms(world))
    return [
        f'{first_ms:,.0f} / {whole_ms:,.0f}',
        f'{start_bytes / 1e3:,.0f}',
        f'{refused:,}',
        f'{store:.1f} + {peers:.1f}',
        ' / '.join(f'{lag_ms:,.0f}' for lag_ms in lags),
    ]


def _lag_ms(world: World) -> float:
    """Have a server leave; give the time until all who are up know."""
    world.change()
    began_ms, number = world.time.now_ms(), world.number

    def lacks() -> bool:
        return any(node.is_up and node.known < number for node in world.nodes)

    world.time.run_while(lacks, began_ms + 20_000.0)
    lag_ms = world.time.now_ms() - began_ms
    world.time.run_until(world.time.now_ms() + 4_000.0)
    return lag_ms


def main() -> None:
    """Print the comparison."""
    table = Table(
        'way',
        'instances',
        'after a start of all: all have a part / the whole, ms',
        'KB of the store at the start, an instance',
        'reads refused',
        'steady KB/s an instance: store + peers',
        'change known to all, ms: none / one / both readers of a zone lost',
    )
    for name, way in WAYS.items():
        for size in SIZES:
            table.add_row(name, f'{size:,}', *_play(way, size))
    Console(width=200).print(table)


if __name__ == '__main__':
    main()
