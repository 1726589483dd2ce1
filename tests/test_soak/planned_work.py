"""Seeded planned work under callers that would notice a lost request."""

from __future__ import annotations

import base64
import signal
import time
from collections.abc import Callable
from random import Random

import gevent
import h11
import msgspec
from gevent import socket

from citrondyke.platform.dialect import ATTEMPT_HEADER
from citrondyke.standin.platform_server import PlatformServer
from tests.support.gateway import HOST, Reply, exchange, read_reply
from tests.support.program import Program
from tests.test_soak.soak_fleet import CALLERS_PORT, STEADY_KEY, SoakFleet

__all__ = ('CutRequest', 'PlannedWork', 'lost_requests')

KINDS = ('fetch', 'order', 'stream', 'stream-once')
KEEPING_CALLERS, PIPELINING_CALLERS, SLOW_CALLERS, JOB_CALLERS = 10, 4, 6, 3
ANSWER_WITHIN_S = 12.0
#: How fast servers answer; the slowest stream takes 1.5 s.
ANSWERS_MS, EVENT_GAPS_MS = (50.0, 300.0, 1_200.0), (20.0, 80.0, 250.0)
STOPPERS = 3
#: The balancer asks each instance so often, and takes it out after so many failed answers.
PROBE_EVERY_S, PROBE_MISSES = 1.0, 2
#: A connection that is closed so soon after the end of a request has crossed it, unread.
CROSSED_S = 0.2
ROUTE_TIMEOUT_S = 5.0
ITEMS = 4
#: From SIGTERM until the process would be killed, and a margin.
EXIT_WITHIN_S = 9.0
SETTLE_S = 25.0


class CutRequest(msgspec.Struct, frozen=True):
    """A request that was sent whole and got no whole response."""

    request_id: str
    number: int
    #: When its first byte and its last byte were sent.
    began_s: float
    sent_s: float
    end_s: float
    status: int


def lost_requests(cut: list[CutRequest], run_ids: set[str]) -> list[str]:
    """Say which of them were lost: a server had them, or their connection stayed open.

    A stream that its route's timeout ends has used its time.
    """
    return [
        f'{each.request_id} at {each.number}: sent {each.sent_s:.2f}, cut {each.end_s:.2f}, '
        f'status {each.status}, ran {each.request_id in run_ids}'
        for each in cut
        if (each.request_id in run_ids or each.end_s - each.sent_s > CROSSED_S)
        and each.end_s - each.began_s < ROUTE_TIMEOUT_S
    ]


class PlannedWork:
    """One run; all choices come from the seed."""

    def __init__(self, fleet: SoakFleet, seed: int, seconds: float) -> None:
        """Use a fleet that is ready."""
        self._fleet = fleet
        self._seed = seed
        self._started_s = time.monotonic()
        self._until_s = self._started_s + seconds
        self._misses = [0] * fleet.instances_count
        self._taken: set[int] = set()
        self._ids_count = 0
        #: What was done, with the second.
        self.steps: list[str] = []
        self.cut: list[CutRequest] = []
        self.answered: dict[int, int] = {}
        self.wrong: list[str] = []
        #: Accepted jobs with the results that were read.
        self.jobs: dict[str, list[bytes]] = {}

    def run(self) -> list[str]:
        """Play it, read all jobs and give what was lost."""
        random = Random(self._seed)
        for server in self._fleet.servers.values():
            _set_pace(server, random)
        workers: list[Callable[[Random], None]] = [
            *[self._keep] * KEEPING_CALLERS,
            *[self._pipeline] * PIPELINING_CALLERS,
            *[self._send_slowly] * SLOW_CALLERS,
            *[self._hand_in] * JOB_CALLERS,
            *[self._stop] * STOPPERS,
            self._reload,
            self._configure,
            self._replace_server,
        ]
        probes = [gevent.spawn(self._probe, n) for n in range(self._fleet.instances_count)]
        playing = [
            gevent.spawn(worker, Random(self._seed * 100 + n)) for n, worker in enumerate(workers)
        ]
        gevent.joinall(playing, raise_error=True)
        gevent.killall(probes)
        self._read_all_jobs()
        servers = self._fleet.servers.values()
        run_ids = {run.request_id for server in servers for run in server.runs}
        return self.wrong + lost_requests(self.cut, run_ids)

    def _goes_on(self) -> bool:
        return time.monotonic() < self._until_s

    def _now_s(self) -> float:
        return time.monotonic() - self._started_s

    def _note(self, what: str) -> None:
        self.steps.append(f'{self._now_s():.2f} s: {what}')

    def _new_id(self, kind: str) -> str:
        self._ids_count += 1
        return f'{kind}-{self._seed}-{self._ids_count}'

    def _probe(self, number: int) -> None:
        while True:
            is_ready = self._fleet.is_ready(number)
            self._misses[number] = 0 if is_ready else self._misses[number] + 1
            gevent.sleep(PROBE_EVERY_S)

    def _connect(self, random: Random) -> tuple[int, socket.socket | None]:
        """Connect as the balancer does: to all instances where fewer than half are in rotation."""
        numbers = list(range(self._fleet.instances_count))
        ready = [number for number in numbers if self._misses[number] < PROBE_MISSES]
        number = random.choice(ready if 2 * len(ready) >= len(numbers) else numbers)
        try:
            sock = socket.create_connection((self._fleet.ip(number), CALLERS_PORT), timeout=1.0)
        except OSError:
            gevent.sleep(0.05)
            return number, None
        sock.settimeout(ANSWER_WITHIN_S)
        return number, sock

    def _record(
        self,
        request_id: str,
        number: int,
        sent_s: float,
        reply: Reply,
        began_s: float | None = None,
    ) -> bool:
        """Take in how a request that was sent whole ended; tell whether its connection stays."""
        if not reply.is_whole:
            began_s = sent_s if began_s is None else began_s
            end_s = self._now_s()
            self.cut.append(CutRequest(request_id, number, began_s, sent_s, end_s, reply.status))
            return False
        self.answered[reply.status] = self.answered.get(reply.status, 0) + 1
        return reply.headers.get('connection') != 'close'

    def _keep(self, random: Random) -> None:
        """Keep a connection for many requests, with pauses, until it is closed."""
        number, sock = 0, None
        while self._goes_on():
            if sock is None:
                number, sock = self._connect(random)
                continue
            kind = random.choice(KINDS)
            request_id = self._new_id(kind)
            sent_s = self._now_s()
            reply = _exchange(sock, f'/{kind}/x', request_id, request_id.encode())
            if not self._record(request_id, number, sent_s, reply):
                sock.close()
                sock = None
            gevent.sleep(random.choice((0.0, random.uniform(0.0, 3.0))))

    def _pipeline(self, random: Random) -> None:
        """Send two requests at once; the second counts unless the first response closes."""
        while self._goes_on():
            number, sock = self._connect(random)
            if sock is None:
                continue
            ids = [self._new_id('fetch') for _ in range(2)]
            with sock:
                sent_s = self._now_s()
                try:
                    sock.sendall(
                        b''.join(_request('/fetch/x', each, each.encode()) for each in ids)
                    )
                except OSError:
                    continue
                rest = b''
                for request_id in ids:
                    reply, rest = _read_next(sock, rest)
                    if not self._record(request_id, number, sent_s, reply):
                        break
                    sent_s = self._now_s()
            gevent.sleep(random.uniform(0.0, 0.3))

    def _send_slowly(self, random: Random) -> None:
        """Send the body of a request in pieces, over up to some seconds."""
        while self._goes_on():
            number, sock = self._connect(random)
            if sock is None:
                continue
            kind = random.choice(KINDS)
            request_id = self._new_id(kind)
            data = _request(f'/{kind}/x', request_id, request_id.encode())
            pause_s = random.uniform(0.0, 4.0) / 5
            began_s = self._now_s()
            with sock:
                try:
                    sock.sendall(data[:-6])
                    for place in range(-6, -1):
                        gevent.sleep(pause_s)
                        sock.sendall(data[place : place + 1])
                    sock.sendall(data[-1:])
                except OSError:
                    continue
                sent_s = self._now_s()
                reply, _ = _read_next(sock, b'')
                self._record(request_id, number, sent_s, reply, began_s)

    def _hand_in(self, random: Random) -> None:
        while self._goes_on():
            job_id = self._new_id('job')
            items = [
                {
                    'id': f'{job_id}-{n}',
                    'path': '/batch-stream/x',
                    'headers': {'Model': 'm'},
                    'body': base64.b64encode(b'%d' % n).decode(),
                    'tokens': 10,
                }
                for n in range(ITEMS)
            ]
            body = msgspec.json.encode({'requests': items})
            while self._goes_on() and job_id not in self.jobs:
                if self._ask(random, '/batch-stream/job', job_id, body).status == 202:
                    self.jobs[job_id] = []
                    self._read(random, job_id)
                gevent.sleep(random.uniform(0.0, 0.3))
            for _ in range(random.randrange(4)):
                self._read(random, job_id)

    def _read(self, random: Random, job_id: str) -> None:
        if job_id not in self.jobs:
            return
        known = self.jobs[job_id]
        after = random.randint(0, len(known))
        reply = self._ask(
            random, f'/-/lots/{job_id}?after={after}', job_id, b'', 'GET', wait_ms='1000'
        )
        if reply.status == 404:
            self.wrong.append(f'{job_id} was accepted and is unknown')
        if reply.status != 200 or not reply.is_whole:
            return
        found = [msgspec.json.encode(each) for each in msgspec.json.decode(reply.body)['results']]
        for place, result in enumerate(found, after):
            if place < len(known) and known[place] != result:
                self.wrong.append(f'{job_id}: position {place} changed')
        known.extend(found[len(known) - after :])

    def _ask(
        self,
        random: Random,
        path: str,
        request_id: str,
        body: bytes,
        method: str = 'POST',
        **headers: str,
    ) -> Reply:
        number, sock = self._connect(random)
        if sock is None:
            return Reply(0, {}, b'', False)
        with sock:
            sent_s = self._now_s()
            reply = _exchange(sock, path, request_id, body, method, **headers)
            self._record(f'call-{request_id}', number, sent_s, reply)
        return reply

    def _read_all_jobs(self) -> None:
        random = Random(self._seed)
        until_s = time.monotonic() + SETTLE_S
        while waiting := [job_id for job_id, read in self.jobs.items() if len(read) < ITEMS]:
            if time.monotonic() > until_s:
                self.wrong.append(f'{waiting} are not done')
                return
            for job_id in waiting:
                self._read(random, job_id)
            gevent.sleep(0.1)
        for job_id, read in self.jobs.items():
            states = {msgspec.json.decode(each)['state'] for each in read}
            if len(read) != ITEMS or states != {'completed'}:
                self.wrong.append(f'{job_id}: {read}')

    def _stop(self, random: Random) -> None:
        """Replace instances one after another; several of these overlap."""
        while self._goes_on():
            gevent.sleep(random.uniform(0.0, 2.0))
            number = random.randrange(self._fleet.instances_count)
            program = self._fleet.program(number)
            if program is None or number in self._taken:
                continue
            self._taken.add(number)
            try:
                self._replace_instance(random, number, program)
            finally:
                self._taken.discard(number)

    def _replace_instance(self, random: Random, number: int, program: Program) -> None:
        self._note(f'SIGTERM {number}')
        program.ask_to_stop()
        if random.random() < 0.3:
            gevent.sleep(random.uniform(0.0, 2.0))
            program.ask_to_stop()
        with gevent.Timeout(EXIT_WITHIN_S, False):
            while program.is_running:
                gevent.sleep(0.02)
        if program.is_running or program.wait() != 0:
            self.wrong.append(f'{number} did not stop by itself')
            program.end()
        self._note(f'{number} has stopped')
        self._fleet.start(number)
        until_s = time.monotonic() + EXIT_WITHIN_S
        while not self._fleet.is_ready(number) and time.monotonic() < until_s:
            gevent.sleep(0.05)

    def _reload(self, random: Random) -> None:
        """Change settings files, with a signal or without, and signal without a change."""
        while self._goes_on():
            gevent.sleep(random.uniform(0.0, 1.0))
            number = random.randrange(self._fleet.instances_count)
            program = self._fleet.program(number)
            if program is None:
                continue
            file = self._fleet.folder / f'instance-{number}.toml'
            if random.random() < 0.5:
                seed_ips = ', '.join(f'"{self._fleet.ip(n)}:1"' for n in random.sample(range(2), 2))
                lines = file.read_text().split('\n')
                changed = [
                    f'seeds = [{seed_ips}]' if line.startswith('seeds') else line for line in lines
                ]
                file.write_text('\n'.join(changed))
            if random.random() < 0.8:
                self._note(f'SIGHUP {number}')
                program.send_signal(signal.SIGHUP)

    def _configure(self, random: Random) -> None:
        while self._goes_on():
            gevent.sleep(random.uniform(0.1, 1.5))
            self._fleet.configure()

    def _replace_server(self, random: Random) -> None:
        while self._goes_on():
            gevent.sleep(random.uniform(0.5, 2.0))
            stays = [name for name in self._fleet.servers if name not in self._fleet.left_s]
            name = random.choice(sorted(stays))
            service = self._fleet.services[name]
            successor = f'{service}-{len(self._fleet.servers)}'
            self._note(f'{name} is replaced by {successor}')
            self._fleet.add_server(successor, service)
            _set_pace(self._fleet.servers[successor], random)
            gevent.sleep(0.5)
            self._fleet.leave_server(name)


def _set_pace(server: PlatformServer, random: Random) -> None:
    server.answer_ms = random.choice(ANSWERS_MS)
    server.event_gap_ms = random.choice(EVENT_GAPS_MS)


def _request(path: str, request_id: str, body: bytes) -> bytes:
    head = (
        f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_HEADER.decode()}: {request_id}\r\n'
        f'X-Api-Key: {STEADY_KEY}\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def _read_next(sock: socket.socket, received: bytes) -> tuple[Reply, bytes]:
    """Read one response, and give the bytes after it."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method='POST', target='/', headers=[('Host', HOST)]))
    http.send(h11.EndOfMessage())
    if received:
        http.receive_data(received)
    reply = read_reply(http, sock)
    return reply, http.trailing_data[0]


def _exchange(
    sock: socket.socket,
    path: str,
    request_id: str,
    body: bytes,
    method: str = 'POST',
    **headers: str,
) -> Reply:
    try:
        return exchange(
            sock, path, body, method=method, request_id=request_id, x_api_key=STEADY_KEY, **headers
        )
    except (OSError, h11.LocalProtocolError):
        return Reply(0, {}, b'', False)
