"""A seeded soak: callers, the operator and faults, let loose on the real programs."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable
from functools import partial
from random import Random

import gevent
import h11
import msgspec
from gevent import socket

from citrondyke.platform.rows import SERVERS_TABLE
from citrondyke.standin.endless_reply import EndlessPart
from citrondyke.standin.platform_server import AnswerMode
from citrondyke.standin.stream_faults import NEXT_RUN_FAULTS, StreamFault
from tests.support.gateway import HOST, Reply, exchange
from tests.support.odd_rows import ODD_SERVER_ROWS
from tests.support.program import Program
from tests.support.streams import StreamPart, events_of
from tests.test_soak.fault_proxy import Harm
from tests.test_soak.soak_fleet import (
    CALLERS_PORT,
    HOT_KEY,
    STEADY_KEY,
    SoakFleet,
    changing_key,
)
from tests.test_soak.witness import EVENTS, Asked, JobSeen, TakenUp, Witness

__all__ = ('Soak',)

KINDS = ('fetch', 'order', 'stream', 'stream-once')
CALLERS = 8
JOB_CALLERS = 3
HOT_CALLERS = 3
RETURNING_CALLERS = 4
#: Attempts of a caller to go on with one stream.
TAKE_UPS = 3
ITEMS = 4
#: Prompt parts: of all requests that may have one, and of those that end their servers.
SHARED_PART, HARMFUL_PART = '5a5a5a5a', 'bad0bad0'
#: Callers that come while most new connections go to one instance, and how many of them do.
CROWD = 40
CROWDED_SHARE = 0.9
ANSWER_WITHIN_S = 8.0
#: Time after the faults in which everything accepted must be done.
SETTLE_S = 25.0
#: After it a process that was asked to stop is killed, as the platform does.
STOP_WITHIN_S = 10.0
ANSWER_MODES = (
    AnswerMode.CUT,
    AnswerMode.REFUSE,
    AnswerMode.FAIL,
    AnswerMode.STALL,
    AnswerMode.SILENT,
    AnswerMode.EXTRA,
    AnswerMode.WRONG_ID,
    AnswerMode.UNSIGNED,
    AnswerMode.CUT_IN_EVENT,
    AnswerMode.ENDLESS,
    AnswerMode.COMMENT_THEN_CUT,
)
#: Valid events without end can't be told from a sound server's.
ENDLESS_PARTS = [part for part in EndlessPart if part is not EndlessPart.EVENTS]
#: Faults of first runs after which something is left to go on with.
FIRST_RUN_FAULTS = (
    StreamFault.CUT,
    StreamFault.CUT_IN_EVENT,
    StreamFault.CLOSED,
    StreamFault.NO_LAST_CHUNK,
    StreamFault.UNFRAMED_CLOSED,
    StreamFault.UNFRAMED_CUT,
)
#: Servers that crash under each unlucky item.
UNLUCKY_CRASHES = 6


class Soak:
    """One run; all choices come from the seed."""

    def __init__(self, fleet: SoakFleet, seed: int, seconds: float) -> None:
        """Use a fleet that is ready."""
        self.witness = Witness()
        #: What was done, with the second.
        self.faults: list[str] = []
        self._fleet = fleet
        self._seed = seed
        self._started_s = time.monotonic()
        self._until_s = self._started_s + seconds
        self._ids_count = 0
        #: Instances that somebody stops or starts.
        self._taken: set[int] = set()
        #: Instance that gets most new connections; ``None`` while they are spread.
        self._crowded: int | None = None

    def run(self) -> list[str]:
        """Play it, heal everything and give the promises that were broken."""
        workers = [self._call for _ in range(CALLERS)] + [self._hand_in for _ in range(JOB_CALLERS)]
        workers += [self._operate, self._harm, self._harm, self._ask_deadly]
        workers += [self._ask_with_harmful_part, self._hand_in_harmful, self._hand_in_unlucky]
        workers += [self._ask_hot] * HOT_CALLERS + [self._ask_with_other_keys]
        workers += [self._take_up] * RETURNING_CALLERS + [self._write_odd_rows]
        workers += [self._end_runs_early]
        gevent.joinall(
            [
                gevent.spawn(worker, Random(self._seed * 100 + n))
                for n, worker in enumerate(workers)
            ],
            raise_error=True,
        )
        self._heal()
        self._read_all()
        return self.witness.judge(self._fleet.servers.values(), self._fleet.left_s)

    def _goes_on(self) -> bool:
        return time.monotonic() < self._until_s

    def _new_id(self, kind: str) -> str:
        self._ids_count += 1
        return f'{kind}-{self._seed}-{self._ids_count}'

    def _connect(self, random: Random) -> socket.socket | None:
        number = random.randrange(self._fleet.instances_count)
        if self._crowded is not None and random.random() < CROWDED_SHARE:
            number = self._crowded
        try:
            sock = socket.create_connection((self._fleet.ip(number), CALLERS_PORT), timeout=1.0)
        except OSError:
            return None
        sock.settimeout(ANSWER_WITHIN_S)
        return sock

    def _call(self, random: Random) -> None:
        """Keep a connection for many requests, as callers do, until it breaks."""
        sock = None
        while self._goes_on():
            sock = sock or self._connect(random)
            if sock is None:
                gevent.sleep(0.1)
                continue
            kind = random.choice(KINDS)
            request_id = self._new_id(kind)
            body = b'body of ' + request_id.encode()
            sent_s = time.monotonic()
            parts = _prompt(request_id, SHARED_PART)
            reply = _exchange(sock, f'/{kind}/x', body, request_id, prefix_hash=parts)
            self.witness.asked.append(Asked(request_id, kind, body, reply, sent_s))
            may_continue = reply.is_whole and reply.headers.get('connection') != 'close'
            if not may_continue or random.random() < 0.2:
                sock.close()
                sock = None
            gevent.sleep(random.uniform(0.0, 0.15))

    def _ask_deadly(self, random: Random) -> None:
        """Ask for work that ends its servers, again and again and anywhere."""
        gevent.sleep(random.uniform(0.0, 1.0))
        kind = random.choice(('fetch', 'stream'))
        body = f'ends its server {self._seed}'.encode()
        self._note(f'deadly {kind}')
        self.witness.crash_bodies.add(body)
        self._fleet.crash_bodies.add(body)
        while self._goes_on():
            request_id = self._new_id('deadly')
            reply = self._ask(random, f'/{kind}/x', body, request_id)
            self.witness.asked.append(Asked(request_id, kind, body, reply))
            gevent.sleep(random.uniform(0.05, 0.4))

    def _ask_with_harmful_part(self, random: Random) -> None:
        """Ask for work of which no two are alike, and which shares a part that ends servers."""
        gevent.sleep(random.uniform(0.0, 2.0))
        kind = random.choice(('fetch', 'stream'))
        order = random.choice(((SHARED_PART, HARMFUL_PART), (HARMFUL_PART, SHARED_PART)))
        self._note(f'harmful part in {kind}')
        self.witness.crash_parts[HARMFUL_PART] = kind
        self._fleet.crash_parts.add(HARMFUL_PART)
        while self._goes_on():
            request_id = self._new_id('harmful')
            body = b'body of ' + request_id.encode()
            reply = self._ask(
                random, f'/{kind}/x', body, request_id, prefix_hash=_prompt(request_id, *order)
            )
            self.witness.asked.append(Asked(request_id, 'harmful', body, reply))
            gevent.sleep(random.uniform(0.05, 0.4))

    def _hand_in_harmful(self, random: Random) -> None:
        """Hand in jobs in which one item has the part; the others must be done."""
        while self._goes_on():
            gevent.sleep(random.uniform(1.0, 4.0))
            job_id = self._new_id('harmfuljob')
            items = [f'{job_id}-{number}' for number in range(ITEMS)]
            job = self.witness.jobs[job_id] = JobSeen(job_id, items, harmful_id=items[1])
            job.statuses.append(self._submit(random, job))

    def _hand_in_unlucky(self, random: Random) -> None:
        """Hand a job in, and have servers crash under one of its sound items."""
        gevent.sleep(random.uniform(0.0, 2.0))
        job_id = self._new_id('unlucky')
        items = [f'{job_id}-{number}' for number in range(ITEMS)]
        job = self.witness.jobs[job_id] = JobSeen(job_id, items)
        body = items[0].encode()
        self._note(f'crashes under {items[0]}')
        self._fleet.crash_bodies.add(body)
        while self._goes_on() and self._fleet.runs_of(body) < UNLUCKY_CRASHES:
            if not job.is_accepted:
                job.statuses.append(self._submit(random, job))
            gevent.sleep(0.1)
        self._fleet.crash_bodies.discard(body)

    def _crowd(self, random: Random) -> None:
        """Have most new connections of more callers come to one instance."""
        self._crowded = random.randrange(self._fleet.instances_count)
        self._note(f'crowd at {self._crowded}')
        until_s = time.monotonic() + random.uniform(1.0, 4.0)

        def call(number: int) -> None:
            own = Random(random.random() + number)
            while time.monotonic() < until_s:
                request_id = self._new_id('fetch')
                body = b'body of ' + request_id.encode()
                reply = self._ask(own, '/fetch/x', body, request_id)
                self.witness.asked.append(Asked(request_id, 'fetch', body, reply))
                gevent.sleep(own.uniform(0.0, 0.3))

        gevent.joinall([gevent.spawn(call, number) for number in range(CROWD)], raise_error=True)
        self._crowded = None

    def _ask_hot(self, random: Random) -> None:
        """Ask for many times what the account may have, at all instances."""
        while self._goes_on():
            request_id = self._new_id('hot')
            self.witness.note_hot(request_id)
            body = b'body of ' + request_id.encode()
            reply = self._ask(random, '/fetch/x', body, request_id, key=HOT_KEY)
            self.witness.asked.append(Asked(request_id, 'fetch', body, reply))
            gevent.sleep(random.uniform(0.0, 0.1))

    def _ask_with_other_keys(self, random: Random) -> None:
        """Ask with keys that come and go, and with such as nobody ever held."""
        while self._goes_on():
            is_nobodys = random.random() < 0.5
            request_id = self._new_id('nobodys' if is_nobodys else 'changing')
            version = self._fleet.version - random.randrange(4)
            key = 'key-of-nobody' if is_nobodys else changing_key(version)
            self._ask(random, '/fetch/x', b'', request_id, key=key)
            gevent.sleep(random.uniform(0.0, 0.1))

    def _take_up(self, random: Random) -> None:
        """Leave streams in the middle, and ask any instance for the rest."""
        while self._goes_on():
            request_id = self._new_id('stream')
            body = b'body of ' + request_id.encode()
            events = self._begin_stream(random, request_id, body)
            for attempt in range(TAKE_UPS):
                if not events or events[-1].id == EVENTS:
                    break
                gevent.sleep(random.uniform(0.0, 0.4))
                name = f'{request_id}-{attempt}'
                version = events[-1].text.split()[2]
                could_go_on = self._fleet.is_served(version)
                reply = self._ask(
                    random,
                    '/stream/x',
                    body,
                    name,
                    last_event_id=str(events[-1].id),
                    resumes=request_id,
                )
                if reply.status:
                    events = events + events_of(reply.body)
                    could_go_on = could_go_on and self._fleet.is_served(version)
                    self.witness.taken_up.append(TakenUp(name, events, reply, could_go_on))
            gevent.sleep(random.uniform(0.0, 0.1))

    def _begin_stream(self, random: Random, request_id: str, body: bytes) -> list[StreamPart]:
        """Read the first events of a stream and close its connection."""
        sock = self._connect(random)
        if sock is None:
            gevent.sleep(0.1)
            return []
        head = (
            f'POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n'
            f'X-Api-Key: {STEADY_KEY}\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        data = b''
        with sock:
            try:
                sock.sendall(head.encode() + body)
                while not events_of(data) and (received := sock.recv(65_536)):
                    data += received
            except OSError:
                return events_of(data)
        return events_of(data)

    def _hand_in(self, random: Random) -> None:
        while self._goes_on():
            job_id = self._new_id('job')
            items = [f'{job_id}-{number}' for number in range(ITEMS)]
            job = self.witness.jobs[job_id] = JobSeen(job_id, items)
            # Callers give up too: a job that they were told would not run must not run then.
            for _ in range(random.randint(1, 4)):
                if not job.is_accepted:
                    job.statuses.append(self._submit(random, job))
                    gevent.sleep(random.uniform(0.05, 0.4))
            for _ in range(random.randrange(6)):
                self._read(random, job)
                gevent.sleep(random.uniform(0.1, 0.4))
            if job.is_accepted and random.random() < 0.1:
                job.is_ended = True
                self._ask(random, f'/-/lots/{job_id}', b'', job_id, 'DELETE')

    def _submit(self, random: Random, job: JobSeen) -> int:
        items = [
            {
                'id': item_id,
                'path': '/batch-stream/x',
                'headers': {
                    'Model': 'm',
                    'Prefix-Hash': job.prompt_of(item_id, SHARED_PART, HARMFUL_PART),
                },
                'body': base64.b64encode(item_id.encode()).decode(),
                'tokens': 10,
            }
            for item_id in job.item_ids
        ]
        body = msgspec.json.encode({'requests': items})
        return self._ask(random, '/batch-stream/job', body, job.job_id).status

    def _read(self, random: Random, job: JobSeen) -> None:
        """Read results from some position on."""
        if not job.is_accepted:
            return
        after = random.randint(0, len(job.results))
        reply = self._ask(random, f'/-/lots/{job.job_id}?after={after}', b'', job.job_id, 'GET')
        if reply.status == 404:
            self.witness.complain(f'{job.job_id} was accepted and is unknown')
        if reply.status == 200 and reply.is_whole:
            self.witness.note_page(job, after, msgspec.json.decode(reply.body))

    def _ask(
        self,
        random: Random,
        path: str,
        body: bytes,
        request_id: str,
        method: str = 'POST',
        key: str = STEADY_KEY,
        **headers: str,
    ) -> Reply:
        sock = self._connect(random)
        if sock is None:
            return Reply(0, {}, b'', False)
        with sock:
            return _exchange(sock, path, body, request_id, method, key, **headers)

    def _operate(self, random: Random) -> None:
        while self._goes_on():
            gevent.sleep(random.uniform(0.5, 2.0))
            self._fleet.configure()

    def _write_odd_rows(self, random: Random) -> None:
        """Leave rows in the table of servers that no server has written."""
        rows = random.sample(ODD_SERVER_ROWS, len(ODD_SERVER_ROWS))
        pause_s = (self._until_s - time.monotonic()) / len(rows)
        for number, row in enumerate(rows):
            self._note(f'odd row {row[:40]!r} of {len(row)} bytes')
            self._fleet.store.put(SERVERS_TABLE, f'odd-{number}', row)
            gevent.sleep(random.uniform(0.0, pause_s))

    def _end_runs_early(self, random: Random) -> None:
        """Have runs end before their streams, and the runs that go on bring nothing."""
        faults = self._fleet.stream_faults
        while self._goes_on():
            gevent.sleep(random.uniform(0.1, 0.5))
            faults.first_run = random.choice(FIRST_RUN_FAULTS)
            faults.next_run = random.choice((None, *NEXT_RUN_FAULTS))
            next_run = faults.next_run.value if faults.next_run else 'sound'
            self._note(f'runs {faults.first_run.value}, then {next_run}')
            gevent.sleep(random.uniform(0.3, 1.0))
            faults.first_run = faults.next_run = None

    def _harm(self, random: Random) -> None:
        """Do one thing after another; with two of these they overlap."""
        harms: list[Callable[[Random], None]] = [
            partial(self._harm_instance, act=self._kill),
            partial(self._harm_instance, act=self._freeze),
            partial(self._harm_instance, act=self._stop),
            self._cut_store,
            self._cut_store,
            self._cut_server,
            self._break_store,
            self._misbehave,
            self._misbehave,
            self._replace_server,
            self._crowd,
        ]
        while self._goes_on():
            gevent.sleep(random.uniform(0.1, 0.8))
            random.choice(harms)(random)

    def _note(self, what: str) -> None:
        self.faults.append(f'{time.monotonic() - self._started_s:.2f} s: {what}')

    def _harm_instance(self, random: Random, act: Callable[[Random, int, Program], None]) -> None:
        """Harm an instance that runs and that nobody else stops or starts meanwhile."""
        number = random.randrange(self._fleet.instances_count)
        program = self._fleet.program(number)
        if program is None or number in self._taken:
            return
        self._taken.add(number)
        try:
            self._note(f'{act.__name__[1:]} {number}')
            act(random, number, program)
        finally:
            self._taken.discard(number)

    def _kill(self, random: Random, number: int, program: Program) -> None:
        program.kill()
        gevent.sleep(random.uniform(0.1, 1.0))
        self._fleet.start(number)

    def _freeze(self, random: Random, _: int, program: Program) -> None:
        program.freeze()
        gevent.sleep(random.uniform(0.3, 4.0))
        program.wake()

    def _stop(self, _: Random, number: int, program: Program) -> None:
        program.ask_to_stop()
        with gevent.Timeout(STOP_WITHIN_S, False):
            while program.is_running:
                gevent.sleep(0.05)
        program.end()
        self._fleet.start(number)

    def _cut_store(self, random: Random) -> None:
        proxy = random.choice(self._fleet.store_proxies)
        proxy.delay_s = random.uniform(0.01, 0.4)
        harm = random.choice((Harm.DELAY, Harm.SILENCE, Harm.ONE_WAY))
        self._note(f'store {harm.value} for {self._fleet.store_proxies.index(proxy)}')
        proxy.set_harm(harm)
        gevent.sleep(random.uniform(0.3, 3.0))
        proxy.set_harm(Harm.NONE)
        proxy.reset_all()

    def _cut_server(self, random: Random) -> None:
        name = random.choice(sorted(self._fleet.server_proxies))
        proxy = self._fleet.server_proxies[name]
        if random.random() < 0.4:
            self._note(f'reset {name}')
            proxy.reset_all()
            return
        harm = random.choice((Harm.DELAY, Harm.SILENCE, Harm.ONE_WAY))
        self._note(f'{name} {harm.value}')
        proxy.set_harm(harm)
        gevent.sleep(random.uniform(0.2, 2.0))
        proxy.set_harm(Harm.NONE)

    def _break_store(self, random: Random) -> None:
        faults = self._fleet.store.faults
        if random.random() < 0.3:
            self._note('store forgets its history')
            self._fleet.store.table.forget_history()
            return
        self._note('store loses replies')
        faults.lost_reply_share = 0.3
        gevent.sleep(random.uniform(0.5, 2.0))
        faults.lost_reply_share = 0.0

    def _misbehave(self, random: Random) -> None:
        name = random.choice(sorted(self._fleet.servers))
        answer_modes = random.choices(ANSWER_MODES, k=random.randint(1, 4))
        server = self._fleet.servers[name]
        server.endless_part = random.choice(ENDLESS_PARTS)
        server.sends_late_copies = random.random() < 0.5
        told = [act.value for act in answer_modes]
        self._note(f'{name} {told} {server.endless_part.value} {server.sends_late_copies}')
        server.answer_modes.extend(answer_modes)

    def _replace_server(self, random: Random) -> None:
        """Have a server leave as planned, once its successor is there."""
        stays = {
            name
            for name, server in self._fleet.servers.items()
            if name not in self._fleet.left_s and not server.has_crashed
        }
        if not stays:
            # All have crashed at this moment, and their successors aren't listed yet.
            return
        name = random.choice(sorted(stays))
        service = self._fleet.services[name]
        successor = f'{service}-{len(self._fleet.servers)}'
        self._note(f'{name} is replaced by {successor}')
        self._fleet.add_server(successor, service)
        gevent.sleep(0.5)
        self._fleet.leave_server(name)

    def _heal(self) -> None:
        """Take all harm away and wait until everybody serves."""
        self._fleet.store.faults.lost_reply_share = 0.0
        for server in self._fleet.servers.values():
            server.answer_modes.clear()
            server.sends_late_copies = False
        for number in range(self._fleet.instances_count):
            if self._fleet.program(number) is None:
                self._fleet.start(number)
        self._fleet.wait_ready()

    def _read_all(self) -> None:
        """Read every accepted job until all of its items are listed."""
        random = Random(self._seed)
        until_s = time.monotonic() + SETTLE_S
        waiting = [
            job for job in self.witness.jobs.values() if job.is_accepted and not job.is_ended
        ]
        while waiting and time.monotonic() < until_s:
            for job in waiting:
                self._read(random, job)
            waiting = [job for job in waiting if len(job.results) < job.owed_count]
            gevent.sleep(0.2)


def _prompt(request_id: str, *parts: str) -> str:
    return ','.join([*(f'{part}:100' for part in parts), f'{request_id}:250'])


def _exchange(
    sock: socket.socket,
    path: str,
    body: bytes,
    request_id: str,
    method: str = 'POST',
    key: str = STEADY_KEY,
    **headers: str,
) -> Reply:
    """Make one exchange; a connection that breaks gives an answer without a status."""
    try:
        return exchange(
            sock,
            path,
            body,
            method=method,
            request_id=request_id,
            x_api_key=key,
            tenant='forged',
            **headers,
        )
    except (OSError, h11.LocalProtocolError):
        return Reply(0, {}, b'', False)
