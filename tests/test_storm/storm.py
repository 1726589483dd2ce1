"""A seeded storm over a fleet, and what was seen of it from outside."""

from __future__ import annotations

import threading
import time
from random import Random
from typing import Any

from citrondyke.standin.engine_text import expected_text
from tests.support.caller import Answer
from tests.support.fleet import Fleet
from tests.support.job_lines import chat_lines, service_lines
from tests.test_entry.test_entry_answers import DONE, stream_text
from tests.test_operator.test_operator_config import class_edit, propose, version

__all__ = ('Storm',)

CHAT = '/v1/chat/completions'
PLACE = '/services/orders/place'


class Storm:
    """Callers, operators and faults; all choices come from the seed."""

    def __init__(self, fleet: Fleet, seed: int, seconds: float) -> None:
        self.names = [f'instance-{n}' for n in range(4)]
        self.engines = [f'engine-{n}' for n in range(4)]
        self.job_ids: set[str] = set()
        self.answered_keys: set[str] = set()
        self.keys: set[str] = set()
        self.faults: list[str] = []
        self.wrong: list[str] = []
        self._fleet = fleet
        self._seed = seed
        self._until = time.monotonic() + seconds
        self._lock = threading.Lock()

    def run(self) -> None:
        """Let everybody loose until the time is over, then quieten everything."""
        acts = [
            self._stream,
            self._stream,
            self._order,
            self._order,
            self._jobs,
            self._operate,
            self._operate,
            self._watch_versions,
            self._break_things,
        ]
        threads = [
            threading.Thread(target=act, args=(Random(self._seed * 100 + n),), daemon=True)
            for n, act in enumerate(acts)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self._quieten()

    def _goes_on(self) -> bool:
        return time.monotonic() < self._until

    def _complain(self, what: str) -> None:
        with self._lock:
            self.wrong.append(what)

    def _stream(self, random: Random) -> None:
        n = 0
        while self._goes_on():
            n += 1
            prompt = f'storm {random.getrandbits(40)}'
            body = {
                'model': 'demo-model',
                'messages': [{'role': 'user', 'content': prompt}],
                'max_tokens': 15,
                'stream': True,
            }
            caller = self._fleet.caller(random.choice(self.names))
            answer = caller.try_call('POST', CHAT, body, {'Citrondyke-Within-Ms': '8000'})
            if answer is None or answer.status != 200 or not answer.body.endswith(DONE):
                continue
            if stream_text(answer) != expected_text(f'user: {prompt}', 15):
                self._complain(f'a stream that looks whole is not: {prompt}')

    def _order(self, random: Random) -> None:
        while self._goes_on():
            key = f'order-{random.getrandbits(40)}'
            self.keys.add(key)
            for _ in range(random.choice((1, 1, 2, 3))):
                answer = self._send_order(random.choice(self.names), key)
                if answer is not None and answer.status == 200:
                    self.answered_keys.add(key)

    def _send_order(self, name: str, key: str) -> Answer | None:
        headers = {'Idempotency-Key': key, 'Citrondyke-Within-Ms': '4000'}
        return self._fleet.caller(name).try_call('POST', PLACE, {'order': key}, headers)

    def _jobs(self, random: Random) -> None:
        number = 0
        while self._goes_on():
            number += 1
            is_orders = number % 3 == 0
            lines = service_lines(90) if is_orders else chat_lines(200, name=f'job-{number}')
            endpoint = PLACE if is_orders else CHAT
            for _ in range(random.choice((1, 2))):
                self._submit(random, lines, endpoint, f'job-{number}')
            time.sleep(random.uniform(0.2, 1.0))
            if number % 4 == 0 and self.job_ids:
                job_id = random.choice(sorted(self.job_ids))
                caller = self._fleet.caller(random.choice(self.names))
                caller.try_call('POST', f'/v1/batches/{job_id}/cancel')

    def _submit(self, random: Random, lines: bytes, endpoint: str, key: str) -> None:
        caller = self._fleet.caller(random.choice(self.names))
        try:
            file = caller.upload(lines)
            if file.status != 200:
                return
            made = self._fleet.create(caller, file.json['id'], endpoint, key)
        except OSError:
            return
        except Exception as error:
            if 'urllib3' not in type(error).__module__:
                raise
            return
        if made.status == 200:
            self.job_ids.add(made.json['id'])

    def _operate(self, random: Random) -> None:
        while self._goes_on():
            name = random.choice(self.names)
            try:
                expect = version(self._fleet, name)
                propose(self._fleet, name, expect, class_edit(f'c{random.randrange(5)}'))
            except Exception as error:
                if 'urllib3' not in type(error).__module__:
                    raise
            time.sleep(random.uniform(0.1, 0.5))

    def _watch_versions(self, random: Random) -> None:
        """See that no instance that runs on shows an older version after a newer one."""
        seen: dict[str, int] = {}
        while self._goes_on():
            name = random.choice(self.names)
            found = version(self._fleet, name)
            if found and found < seen.get(name, 0):
                self._complain(f'{name} went back from {seen[name]} to {found}')
            seen[name] = max(found, seen.get(name, 0))
            time.sleep(0.02)

    def _break_things(self, random: Random) -> None:
        breakers: list[Any] = [
            self._kill,
            self._kill,
            self._freeze,
            self._table,
            self._table,
            self._objects,
            self._cut_streams,
            self._crash_engine,
            self._replace,
        ]
        while self._goes_on():
            random.choice(breakers)(random)
            time.sleep(random.uniform(0.1, 0.6))

    def _kill(self, random: Random) -> None:
        name = random.choice(self.names[:3])
        self.faults.append(f'kill {name}')
        self._fleet.program(name).end()
        time.sleep(random.uniform(0.0, 1.0))
        self._fleet.start_instance(name)

    def _freeze(self, random: Random) -> None:
        name = random.choice(self.names)
        self.faults.append(f'freeze {name}')
        self._fleet.program(name).freeze()
        time.sleep(random.uniform(0.2, 4.0))
        self._fleet.program(name).wake()

    def _replace(self, random: Random) -> None:
        name = random.choice(self.names[:3])
        self.faults.append(f'replace {name}')
        program = self._fleet.program(name)
        program.ask_to_stop()
        if program.wait() != 0:
            self._complain(f'{name} ended a planned stop with a failure')
        self._fleet.start_instance(name)

    def _table(self, random: Random) -> None:
        mode = random.choice(('down', 'hang', 'lost_reply', 'lost_reply', 'slow'))
        self.faults.append(f'table {mode}')
        self._fleet.fault('table', mode, delay_ms=200)
        time.sleep(random.uniform(0.2, 2.0))
        self._fleet.fault('table', 'none')

    def _objects(self, random: Random) -> None:
        mode = random.choice(('down', 'lost_reply'))
        self.faults.append(f'objects {mode}')
        self._fleet.fault('objects', mode)
        time.sleep(random.uniform(0.2, 1.0))
        self._fleet.fault('objects', 'none')

    def _cut_streams(self, random: Random) -> None:
        engine = random.choice(self.engines)
        self.faults.append(f'cut streams of {engine}')
        self._fleet.server_faults(engine, cut_streams_left=5, cut_after_tokens=random.randrange(9))

    def _crash_engine(self, random: Random) -> None:
        engine = random.choice(self.engines)
        self.faults.append(f'crash {engine}')
        self._fleet.program(engine).end()
        time.sleep(random.uniform(0.0, 0.5))
        self._fleet.start_engine(engine)

    def _quieten(self) -> None:
        for service in ('table', 'objects'):
            self._fleet.fault(service, 'none')
        for name in self.names:
            if not self._fleet.program(name).is_running:
                self._complain(f'{name} ended by itself: {self._fleet.program(name).log_text}')
                self._fleet.start_instance(name)
            self._fleet.wait_ready(name)
