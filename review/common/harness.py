"""Stand-ins of the platform, the servers and the clients, and the project's instances as processes.

Standard library only, so that nothing has to be built. All addresses are loopback addresses.
"""

from __future__ import annotations

import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = 'calls.example'
READ_BYTES = 65_536
READY_WITHIN_S = 30.0
HEARTBEAT_S = 1.2
OK, CONFLICT, NOT_FOUND = 200, 412, 404


def _exit_as_not_run(*error: Any) -> None:
    """Exit with 2 on an error of a script itself: the usual 1 would tell of a broken rule."""
    traceback.print_exception(*error)
    os._exit(2)


sys.excepthook = _exit_as_not_run


class CannotRunError(Exception):
    """The case could not be set up; it says nothing about the rule."""


@dataclass
class Message:
    """A request or an answer that was read."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b''
    #: Whether an answer came to its end as its head tells it.
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split(' ')[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(' ')[0]

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.first_line.split(' ')[1]


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, file: Path) -> None:
        """Begin an empty record."""
        self._out = file.open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._out.write(f'{time.monotonic() - self._began_s:8.3f} {text}\n')
            self._out.flush()


class Wire:
    """Buffered reads of HTTP messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        """Use an open socket."""
        self.sock = sock
        self._rest = b''

    def read_head(self) -> Message | None:
        """Read a head; ``None`` if the other end closed before it."""
        while b'\r\n\r\n' not in self._rest:
            data = self.sock.recv(READ_BYTES)
            if not data:
                return None
            self._rest += data
        head, _, self._rest = self._rest.partition(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        pairs = (line.partition(':') for line in lines)
        return Message(first, {name.strip().lower(): value.strip() for name, _, value in pairs})

    def read_request(self) -> Message | None:
        """Read a whole request."""
        message = self.read_head()
        if message is None:
            return None
        message.body = self._read_exactly(int(message.headers.get('content-length', '0')))
        return message

    def read_answer(self) -> Message | None:
        """Read an answer to its end or to the end of the channel."""
        message = self.read_head()
        if message is None:
            return None
        if 'content-length' in message.headers:
            size = int(message.headers['content-length'])
            message.body = self._read_exactly(size)
            message.is_whole = len(message.body) == size
        elif message.headers.get('transfer-encoding') == 'chunked':
            message.is_whole = self._read_chunks(message)
        else:
            while data := self.sock.recv(READ_BYTES):
                message.body += data
        return message

    def _read_chunks(self, message: Message) -> bool:
        while True:
            while b'\r\n' not in self._rest:
                try:
                    data = self.sock.recv(READ_BYTES)
                except OSError:
                    return False
                if not data:
                    return False
                self._rest += data
            line, _, self._rest = self._rest.partition(b'\r\n')
            size = int(line, 16)
            try:
                data = self._read_exactly(size + 2)
            except OSError:
                return False
            if len(data) < size + 2:
                return False
            if not size:
                return True
            message.body += data[:-2]

    def _read_exactly(self, size: int) -> bytes:
        while len(self._rest) < size:
            data = self.sock.recv(READ_BYTES)
            if not data:
                break
            self._rest += data
        taken, self._rest = self._rest[:size], self._rest[size:]
        return taken


class Listener:
    """Accepts channels on a loopback address, each in a thread of its own."""

    def __init__(self, serve: Callable[[socket.socket], None], ip: str = '127.0.0.1') -> None:
        """Listen on a free port."""
        self._serve = serve
        self._sock = socket.create_server((ip, 0), backlog=256)
        self.port: int = self._sock.getsockname()[1]
        self.address = f'{ip}:{self.port}'
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Listen no more; open channels go on."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve_one, args=(sock,), daemon=True).start()

    def _serve_one(self, sock: socket.socket) -> None:
        with sock, suppress(OSError):
            self._serve(sock)


def write_answer(
    sock: socket.socket, status: int, headers: dict[str, str], body: bytes = b''
) -> None:
    """Write a whole answer with its length."""
    lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    head = f'HTTP/1.1 {status} Status\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
    sock.sendall(head.encode('latin-1') + body)


@dataclass
class _Row:
    value: str | None
    ver: int


class Store:
    """The platform's metadata store: rows, feeds and objects, as PROTOCOL.md tells them."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[tuple[str, str, str], _Row] = {}
        self._history: list[tuple[tuple[str, str, str], _Row]] = []
        self._objects: dict[str, bytes] = {}
        self._version = 0
        self._changed = threading.Condition()
        self._began_s = time.monotonic()
        self.listener = Listener(self._serve)

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row, as the operator and the servers do."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        entry = {'table': table, 'key': key, 'value': text}
        self._transact({'expected_rev': [], 'puts': [entry], 'remove': []})

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        entry = {'table': table, 'key': key}
        self._transact({'expected_rev': [], 'puts': [], 'remove': [entry]})

    def _serve(self, sock: socket.socket) -> None:
        wire = Wire(sock)
        while (request := wire.read_request()) is not None:
            status, body = self._answer(request)
            write_answer(sock, status, {'Content-Type': 'application/json'}, body)

    def _answer(self, request: Message) -> tuple[int, bytes]:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == '/-/rows-tx':
            return self._transact(json.loads(request.body))
        if parts.path == '/-/rows-get':
            return self._read(query)
        if parts.path == '/-/rows-feed':
            return self._feed(query)
        if parts.path == '/-/rows-parts':
            with self._changed:
                names = {key[1] for key, row in self._rows.items() if key[0] == query['table']}
            found = sorted(name for name in names if name > query.get('after', ''))[:1000]
            return OK, json.dumps({'parts': found}).encode()
        return self._object(request.method, unquote(parts.path.rpartition('/')[2]), request.body)

    def _transact(self, call: dict[str, Any]) -> tuple[int, bytes]:
        with self._changed:
            expected = [(_key(each), each['ver']) for each in call['expected_rev']]
            held = [(key, self._rows.get(key)) for key, _ in expected]
            for (_, ver), (_, row) in zip(expected, held, strict=True):
                if (row.ver if row else 0) != ver:
                    return CONFLICT, self._rows_body([(key, row) for key, row in held if row])
            self._version += 1
            for each in call['puts']:
                self._write(_key(each), _Row(each['value'], self._version))
            for each in call['remove']:
                self._write(_key(each), _Row(None, self._version))
            self._changed.notify_all()
            return OK, self._rows_body([])

    def _write(self, key: tuple[str, str, str], row: _Row) -> None:
        self._history.append((key, row))
        if row.value is None:
            self._rows.pop(key, None)
        else:
            self._rows[key] = row

    def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        with self._changed:
            wanted = (query['table'], query.get('part', ''))
            keys = sorted(key for key in self._rows if key[:2] == wanted)
            keys = [
                key
                for key in keys
                if key[2] >= query.get('from', '') and ('to' not in query or key[2] < query['to'])
            ]
            limit = min(500, int(query.get('limit', '500')))
            rows = [(key, self._rows[key]) for key in keys[:limit]]
            return OK, self._rows_body(rows, has_more=len(keys) > limit)

    def _feed(self, query: dict[str, str]) -> tuple[int, bytes]:
        after, until_s = int(query['after']), time.monotonic() + int(query['wait_ms']) / 1e3
        with self._changed:
            while True:
                rows = [
                    (key, row)
                    for key, row in self._history
                    if key[0] == query['table'] and row.ver > after
                ]
                left_s = until_s - time.monotonic()
                if rows or left_s <= 0:
                    return OK, self._rows_body(rows)
                self._changed.wait(left_s)

    def _rows_body(
        self, rows: list[tuple[tuple[str, str, str], _Row]], *, has_more: bool = False
    ) -> bytes:
        entries = []
        for (table, part, key), row in rows:
            entry: dict[str, Any] = {'table': table, 'part': part, 'key': key, 'ver': row.ver}
            entry |= {'deleted': True} if row.value is None else {'value': row.value}
            entries.append(entry)
        now_ms = int((time.monotonic() - self._began_s) * 1e3)
        answer = {'rows': entries, 'has_more': has_more, 'ver': self._version, 'now_ms': now_ms}
        return json.dumps(answer).encode()

    def _object(self, method: str, name: str, body: bytes) -> tuple[int, bytes]:
        with self._changed:
            if method == 'PUT':
                self._objects[name] = body
                return OK, b''
            if name not in self._objects:
                return NOT_FOUND, b''
            if method == 'DELETE':
                del self._objects[name]
                return OK, b''
            return OK, self._objects[name]


def _key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry['table'], entry.get('part', ''), entry['key']


@dataclass
class Run:
    """A request that a server began to run."""

    request_id: str
    server: str
    last_event_id: str
    began_s: float
    ended_s: float | None = None


class Server:
    """A backend server: one thread a channel, one request at a time on it."""

    def __init__(
        self,
        server_id: str,
        service: str,
        record: Record,
        answer: Callable[[Server, socket.socket, Message], bool],
    ) -> None:
        """Listen; it is not in the store's list before ``enlist``.

        :param answer: answers a request; returns whether the channel is kept.
        """
        self.server_id, self.service = server_id, service
        self.record = record
        self.runs: list[Run] = []
        #: Whether comment blocks stand in its streams.
        self.sends_comments = False
        self._answer = answer
        self._seq = 0
        self._is_listed = False
        self.listener = Listener(self._serve)

    def enlist(self, store: Store, born: int | None = None, slots: int = 8) -> None:
        """Write the entry now and at each liveness report."""
        self._is_listed = True
        self._write_entry(store, born, slots)

        def report() -> None:
            while True:
                time.sleep(HEARTBEAT_S)
                if not self._is_listed:
                    return
                self._write_entry(store, born, slots)

        threading.Thread(target=report, daemon=True).start()

    def fall_silent(self) -> None:
        """Write the entry no more."""
        self._is_listed = False

    def begin(self, request: Message) -> Run:
        """Record that a request begins to run."""
        headers = request.headers
        last_event_id = headers.get('last-event-id', '')
        run = Run(headers['attempt-id'], self.server_id, last_event_id, time.monotonic())
        self.runs.append(run)
        self.record.note(f'RUN {run.request_id} at {self.server_id}, after event {last_event_id}')
        return run

    def seal(self, request: Message) -> dict[str, str]:
        """Give the headers of an answer of this server's own."""
        return {
            'Attempt-Id': request.headers['attempt-id'],
            'Response-Seal': f'seal.{self.server_id}.{len(self.runs)}',
        }

    def _write_entry(self, store: Store, born: int | None, slots: int) -> None:
        self._seq += 1
        entry: dict[str, Any] = {
            'service': self.service,
            'address': self.listener.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': self._seq,
        }
        store.put('servers', self.server_id, entry | ({} if born is None else {'born': born}))

    def _serve(self, sock: socket.socket) -> None:
        wire = Wire(sock)
        while (request := wire.read_request()) is not None:
            expected = request.headers.get('expect-instance', self.server_id)
            if expected != self.server_id:
                write_answer(sock, 421, {'Instance-Id': self.server_id})
            elif not self._answer(self, sock, request):
                return


class Gateway:
    """One instance of the project, started with the command of the deploy file."""

    def __init__(self, name: str, ip: str, folder: Path, fields: dict[str, Any]) -> None:
        """Write its settings file; nothing runs yet."""
        self.name, self.ip = name, ip
        self.frontend = (ip, fields['ports'][0])
        self._ready = (ip, fields['ports'][1])
        self._file = folder / f'{name}.json'
        self.log = folder / f'{name}.log'
        first_port = fields['ports'][2]
        settings = {
            'node_name': name,
            'role': 'instance',
            'machine_class': 'edge',
            'serves': ['edge', 'control'],
            'ip': ip,
            'zone': 'zone-a',
            'region': 'region-a',
            'zones': {'zone-a': 'region-a'},
            'internal_ports': [first_port, first_port + 15],
            'seeds': [],
            'bootstrap': True,
            'heartbeat_ms': 1200,
            'listen': {
                'frontend': f'{ip}:{self.frontend[1]}',
                'ready': f'{ip}:{self._ready[1]}',
                'control_plane': f'{ip}:{first_port + 20}',
            },
            'limits': {'memory_mb': 320, 'max_fds': 8200},
            'bounds': {'grace_s': 8, 'status_s': 120, 'quota_overshoot': 0.1},
            'platform': {'address': fields['store'], 'row_bytes': 65536, 'reads_per_s': 2000},
        }
        self._file.write_text(json.dumps(settings), encoding='utf-8')
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        deps = REPOSITORY / 'target' / 'deps'
        if not (deps / 'citrondyke').is_dir():
            raise CannotRunError('target/deps is missing: run the build of the deploy file')
        listen = f'{self.ip}:{self.frontend[1]} {self.ip}:{self._ready[1]}'
        kept = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        variables = {
            **kept,
            'PYTHONPATH': str(deps),
            'CITRONDYKE_NODE_FILE': str(self._file),
            'CITRONDYKE_LISTEN': listen,
        }
        with self.log.open('ab') as out:
            self._process = subprocess.Popen(
                ['python3', '-P', '-S', '-m', 'citrondyke.cmd.gateway'],
                cwd=REPOSITORY,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env=variables,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None:
            self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def is_ready(self) -> bool:
        """Ask as the balancer does."""
        with suppress(OSError), socket.create_connection(self._ready, 1.0) as sock:
            sock.sendall(b'GET /-/readyz HTTP/1.1\r\nHost: h\r\n\r\n')
            return sock.recv(64).startswith(b'HTTP/1.1 200')
        return False

    def wait_ready(self) -> None:
        """Wait until it says that it serves."""
        until_s = time.monotonic() + READY_WITHIN_S
        while not self.is_ready():
            if time.monotonic() > until_s or not self.is_running:
                raise CannotRunError(f'{self.name} did not become ready')
            time.sleep(0.05)

    def end(self) -> None:
        """Leave nothing running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def call(
        self,
        path: str,
        body: bytes = b'body',
        *,
        method: str = 'POST',
        request_id: str,
        timeout_s: float = 10.0,
        **headers: str,
    ) -> Message | None:
        """Make one call on a channel of its own; ``None`` if the channel ends without an answer."""
        with suppress(OSError), socket.create_connection(self.frontend, timeout_s) as sock:
            return call_on(sock, path, body, method=method, request_id=request_id, **headers)
        return None


def call_on(
    sock: socket.socket,
    path: str,
    body: bytes = b'body',
    *,
    method: str = 'POST',
    request_id: str,
    **headers: str,
) -> Message | None:
    """Make one call on an open channel."""
    named = {name.replace('_', '-'): value for name, value in headers.items()}
    all_headers = {'Host': HOST, 'Attempt-Id': request_id, 'Deadline-Ms': '5000', **named}
    lines = ''.join(f'{name}: {value}\r\n' for name, value in all_headers.items())
    head = f'{method} {path} HTTP/1.1\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
    sock.sendall(head.encode('latin-1') + body)
    return Wire(sock).read_answer()


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Give a route as the operator writes it."""
    return {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'type': kind,
        'timeout_ms': 5000,
        'slo_ms': 300,
        'priority': 0,
        'service': service,
        'max_attempts': 2,
        'resumable': False,
        **more,
    }


def config(routes: list[dict[str, Any]], version: int = 1) -> dict[str, Any]:
    """Give a config as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': name} for name in sorted({each['service'] for each in routes})],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def item(item_id: str, path: str, body: bytes = b'item') -> dict[str, Any]:
    """Give an item of a batch job."""
    return {
        'id': item_id,
        'path': path,
        'headers': {'Model': 'm', 'Token-Usage': '350,200', 'Prefix-Hash': f'{item_id}:350'},
        'body': base64.b64encode(body).decode(),
        'tokens': 550,
    }


@dataclass
class Bench:
    """What a case works with."""

    record: Record
    store: Store
    folder: Path
    is_troubled: bool
    gateways: list[Gateway] = field(default_factory=list)

    def add_gateways(self, count: int) -> None:
        """Make instances with free ports at loopback addresses of their own."""
        network = f'127.{random.randrange(20, 240)}.{random.randrange(1, 250)}'
        ports = _free_ports(f'{network}.11')
        for number in range(count):
            fields = {'ports': ports, 'store': self.store.listener.address}
            self.gateways.append(
                Gateway(
                    f'edge-zone-a-{number + 1}', f'{network}.{11 + number}', self.folder, fields
                )
            )

    def start(self) -> None:
        """Start all instances and wait until they serve."""
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready()
        # All know each other after two reads of the list of instances.
        time.sleep(2.5)


def _free_ports(ip: str) -> list[int]:
    for _ in range(50):
        base = random.randrange(15000, 30000)
        try:
            for port in (base, base + 1, *range(base + 2, base + 18)):
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        return [base, base + 1, base + 2]
    raise CannotRunError('no free ports')


def reset(sock: socket.socket) -> None:
    """Close a channel with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    sock.close()


@contextmanager
def _bench(record: Path, *, is_troubled: bool) -> Iterator[Bench]:
    folder = Path(tempfile.mkdtemp(prefix='review-'))
    bench = Bench(Record(record), Store(), folder, is_troubled)
    try:
        yield bench
    finally:
        for gateway in bench.gateways:
            gateway.end()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(folder, kept, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)


def run_case(
    case: Path,
    play: Callable[[Bench], list[str]],
    *,
    is_troubled: bool,
    record: str = 'record.txt',
) -> None:
    """Play a case and exit: 0 the rule held, 1 it was broken, 2 the case couldn't run.

    :param play: returns what broke the rule.
    :param is_troubled: whether to bring the disruption about.
    :param record: name of the file of what was sent, answered and run.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with _bench(case / record, is_troubled=is_troubled) as bench:
            bench.record.note('with the disruption' if bench.is_troubled else 'without it')
            broken = play(bench)
            for line in broken:
                bench.record.note(f'BROKEN {line}')
                print(f'broken: {line}')
            bench.record.note('the rule was broken' if broken else 'the rule held')
    except CannotRunError as error:
        print(f'the case could not run: {error}', file=sys.stderr)
        os._exit(2)
    except BaseException:
        # Whatever else went wrong says nothing about the rule either.
        traceback.print_exc()
        os._exit(2)
    print('the rule was broken' if broken else 'the rule held')
    sys.stdout.flush()
    os._exit(1 if broken else 0)
