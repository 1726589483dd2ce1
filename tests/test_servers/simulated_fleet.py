"""Instances that send requests to servers and tell each other how they ended."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from random import Random

import msgspec

from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.decisions.servers.evidence_notices import EvidenceNotices
from citrondyke.decisions.servers.outcomes import Outcome
from citrondyke.decisions.servers.server_evidence import ServerEvidence
from citrondyke.decisions.servers.server_health import ServerHealth
from citrondyke.ids import AvailabilityZone, ServerId, ServerIncarnation, ServiceName
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server

__all__ = ('Asked', 'Fleet', 'Lost', 'View')

SERVICE = ServiceName('s')
ZONES = ('zone-a', 'zone-b', 'zone-c')
#: What a peer's datagram takes, with what it waits to be read.
TELL_MS = 20.0
WORK_MS = 60.0
STEP_MS = 2.0


class Asked(msgspec.Struct, frozen=True):
    """One send of a request."""

    instance: str
    zone: str
    server: ServerId
    ms: float


class Lost(msgspec.Struct):
    """Requests by what became of them."""

    once: int = 0
    repeatable: int = 0


class View:
    """One instance."""

    def __init__(self, clock: ManualClock, name: str, zone: str, seed: int) -> None:
        self.context = manual_context(clock, name, zone, seed)
        self.book = ServerRegistry(self.context)
        self.notices = EvidenceNotices(self.context, self.book)

    def standings(self) -> Counter[ServerHealth]:
        return Counter(state.health_record.health for state in self.book.states())

    def state(self, server: ServerId) -> ServerState:
        state = self.book.state(server)
        assert state is not None
        return state


class Fleet:
    """Instances in three zones, servers in all of them, and even traffic."""

    def __init__(
        self,
        answer: Callable[[Asked], Outcome],
        instances: int = 65,
        servers: int = 45,
        per_s: float = 250.0,
        seed: int = 1,
        loss: float = 0.01,
    ) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.answer = answer
        self.per_s = per_s
        self.loss = loss
        self.lost = Lost()
        self.asked: Counter[ServerId] = Counter()
        self.by_zone: Counter[tuple[str, ServerId]] = Counter()
        self.datagrams = 0
        self._telling: set[View] = set()
        self._running: deque[tuple[float, ServerState]] = deque()
        self._on_way: deque[tuple[float, View, list[ServerEvidence]]] = deque()
        self.views = [
            View(self.clock, f'i-{n}', ZONES[n % 3], seed * 1_000 + n) for n in range(instances)
        ]
        zones = {view.context.instance_id: view.context.zone for view in self.views}
        for view in self.views:
            own = view.context.instance_id
            view.book.replace(
                listed_server(f's-{n}', SERVICE, zone=ZONES[n % 3]) for n in range(servers)
            )
            others = {each: AvailabilityZone(zone) for each, zone in zones.items() if each != own}
            view.book.topology.replace(others)

    def run(self, for_ms: float) -> Lost:
        """Send requests for some time; give what was lost in it."""
        self.lost = Lost()
        until_ms = self.clock.ms + for_ms
        while self.clock.ms < until_ms:
            self.clock.ms += STEP_MS
            self._tell()
            if self.random.random() < self.per_s * STEP_MS / 1e3:
                self._request()
        return self.lost

    def seen(self, server: ServerId) -> Counter[ServerHealth]:
        """Count the instances by how they see a server."""
        return Counter(view.state(server).health_record.health for view in self.views)

    def _request(self) -> None:
        view = self.random.choice(self.views)
        self._telling.add(view)
        # A quarter of the requests may run once only.
        is_once = self.random.random() < 0.25
        avoid: set[ServerIncarnation] = set()
        for _ in range(1 if is_once else 2):
            state = view.book.choose_server(SERVICE, avoid, '', is_once=is_once)
            if state is None:
                break
            avoid.add(state.incarnation)
            outcome = self._send(view, state)
            if outcome is Outcome.SUCCEEDED:
                return
        if is_once:
            self.lost.once += 1
        else:
            self.lost.repeatable += 1

    def _send(self, view: View, state: ServerState) -> Outcome:
        context = view.context
        self.asked[state.listed.id] += 1
        self.by_zone[context.zone, state.listed.id] += 1
        outcome = self.answer(
            Asked(context.instance_id, context.zone, state.listed.id, self.clock.ms)
        )
        if outcome is Outcome.SUCCEEDED:
            state.record_answered(self.clock.ms)
            state.record_success()
            state.own.online += 1
            self._running.append((self.clock.ms + WORK_MS, state))
        else:
            state.record_failure(self.clock.ms, outcome)
        return outcome

    def _tell(self) -> None:
        now_ms = self.clock.ms
        while self._running and self._running[0][0] <= now_ms:
            self._running.popleft()[1].own.online -= 1
        while self._on_way and self._on_way[0][0] <= now_ms:
            _, sender, rows = self._on_way.popleft()
            for view in self.views:
                if view is not sender and self.random.random() >= self.loss:
                    view.notices.record_peer_evidence(sender.context.instance_id, rows)
        for view in list(self._telling):
            pause_ms = view.notices.next_pause_ms()
            if pause_ms is None:
                self._telling.remove(view)
            elif pause_ms == 0.0:
                self._on_way.append((now_ms + TELL_MS, view, view.notices.take_due()))
                self.datagrams += len(self.views) - 1
