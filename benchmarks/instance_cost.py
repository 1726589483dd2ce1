"""Processor time of one instance of a large fleet, by what it is busy with; over the stand-ins.

Run by hand, ``python -m benchmarks.instance_cost``: the figures are the kernel's account of a real
gateway process, which other load on the machine raises.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random

import gevent
import msgspec
from gevent import socket

from citrondyke.decisions.forwarding.load_notices import ServerLoad
from citrondyke.gateway.peers.membership import INSTANCES_TABLE, Heartbeat
from citrondyke.gateway.peers.peer_codec import LoadNotice, PeerMessage, encode_message
from citrondyke.ids import AvailabilityZone, ConfigVersion, InstanceId
from citrondyke.util.hashing import content_hash
from tests.support.gateway import exchange
from tests.test_soak.soak_fleet import CALLERS_PORT, PEER_PORT, SoakFleet

__all__ = ('main',)

INSTANCES = 195
SERVERS = {'app': 6, 'lm': 37}
#: The instance measured is in the first.
ZONES = tuple(AvailabilityZone(f'zone-{letter}') for letter in 'abcdef')
#: What an instance of such a fleet hears from its zone, and its share of the callers.
NOTICES_PER_S = 80.0
CALLS_PER_S = 1.3
EVENTS = 21
EVENT_GAP_MS = 30.0
BEAT_EVERY_S = 2.7
SERVER_BEAT_EVERY_S = 1.2
SETTLE_S = 5.0
LENGTH_S = 15.0


class _Cost(msgspec.Struct, frozen=True):
    start_s: float
    ms_per_s: float
    wakeups_per_s: float


class _Neighbourhood:
    """One real instance, and everybody else by what they send it."""

    def __init__(self) -> None:
        self.fleet = SoakFleet(Path(tempfile.mkdtemp()), 1, SERVERS)
        self._random = Random(1)
        self._datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._datagrams.bind(('127.0.0.1', 0))
        self._names = [
            InstanceId(f'edge-{ZONES[number % len(ZONES)]}-{number}')
            for number in range(1, INSTANCES)
        ]
        for server in self.fleet.servers.values():
            server.events_count = EVENTS
            server.event_gap_ms = EVENT_GAP_MS
        self._beat(0)

    def keep_beating(self) -> None:
        """Renew everybody's heartbeat, for good."""
        beats_count = 0
        while True:
            gevent.sleep(BEAT_EVERY_S)
            beats_count += 1
            self._beat(beats_count)

    def _beat(self, count: int) -> None:
        port = self._datagrams.getsockname()[1]
        for number, name in enumerate(self._names, 1):
            zone = ZONES[number % len(ZONES)]
            beat = Heartbeat(f'{number:016x}', '127.0.0.1', port, zone, count)
            self.fleet.store.put(INSTANCES_TABLE, name, msgspec.json.encode(beat))

    def keep_listing(self) -> None:
        """Renew the servers' entries, for good."""
        while True:
            for name in list(self.fleet.servers):
                self.fleet.list_server(name)
                gevent.sleep(SERVER_BEAT_EVERY_S / len(self.fleet.servers))

    def keep_telling(self) -> None:
        """Send counts as the instances of the same zone do, for good."""
        digests = [content_hash(name.encode()) & 0xFFFF_FFFF for name in self.fleet.servers]
        near = [name for name in self._names if name.startswith(f'edge-{ZONES[0]}-')]
        while True:
            load = ServerLoad(self._random.choice(digests), self._random.randint(0, 2), 1)
            version = ConfigVersion(self.fleet.version)
            message = PeerMessage(self._random.choice(near), version, LoadNotice([load]))
            self._datagrams.sendto(encode_message(message), (self.fleet.ip(0), PEER_PORT))
            gevent.sleep(self._random.expovariate(NOTICES_PER_S))

    def keep_calling(self) -> None:
        """Ask for streams, for good."""
        calls_count = 0
        while True:
            calls_count += 1
            gevent.spawn(self._call, calls_count)
            gevent.sleep(self._random.expovariate(CALLS_PER_S))

    def _call(self, number: int) -> None:
        with socket.create_connection((self.fleet.ip(0), CALLERS_PORT), timeout=10.0) as sock:
            exchange(sock, '/stream/x', b'x' * 1_500, request_id=f'call-{number}')


def _measure(busy: Callable[[_Neighbourhood], list[Callable[[], None]]]) -> _Cost:
    floor = _Neighbourhood()
    try:
        floor.fleet.start(0)
        floor.fleet.wait_ready()
        program = floor.fleet.program(0)
        assert program is not None
        start_s = _used_s(program.pid)
        works = [floor.keep_beating, floor.keep_listing, *busy(floor)]
        tasks = [gevent.spawn(work) for work in works]
        gevent.sleep(SETTLE_S)
        used_s, wakeups = _used_s(program.pid), _wakeups(program.pid)
        gevent.sleep(LENGTH_S)
        used_s, wakeups = _used_s(program.pid) - used_s, _wakeups(program.pid) - wakeups
        gevent.killall(tasks)
        return _Cost(start_s, used_s / LENGTH_S * 1e3, wakeups / LENGTH_S)
    finally:
        floor.fleet.end()


def _used_s(pid: int) -> float:
    return int(Path(f'/proc/{pid}/schedstat').read_text().split()[0]) / 1e9


def _wakeups(pid: int) -> int:
    status = Path(f'/proc/{pid}/status').read_text()
    return int(status.partition('voluntary_ctxt_switches:')[2].split()[0])


def main() -> None:
    """Print a line for each kind of work."""
    kinds: dict[str, Callable[[_Neighbourhood], list[Callable[[], None]]]] = {
        'nothing but the store': lambda _: [],
        'counts of neighbours': lambda floor: [floor.keep_telling],
        'callers': lambda floor: [floor.keep_calling],
        'both': lambda floor: [floor.keep_telling, floor.keep_calling],
    }
    for name, busy in kinds.items():
        cost = _measure(busy)
        print(
            f'{name}: {cost.ms_per_s:.1f} ms/s, {cost.wakeups_per_s:.0f} wake-ups/s, '
            f'start {cost.start_s:.2f} s',
            flush=True,
        )


if __name__ == '__main__':
    main()
