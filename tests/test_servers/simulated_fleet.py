"""Simulated instances that send requests to servers and exchange outcome counts."""

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

__all__ = ('Asked', 'Fleet', 'Lost', 'SimulatedInstance')

SERVICE = ServiceName('s')
ZONES = ('zone-a', 'zone-b', 'zone-c')
#: Delay of a peer's datagram, including the time until it is read.
DATAGRAM_DELAY_MS = 20.0
WORK_MS = 60.0
STEP_MS = 2.0


class Asked(msgspec.Struct, frozen=True):
    """One send of a request."""

    instance: str
    zone: str
    server: ServerId
    ms: float


class Lost(msgspec.Struct):
    """Lost requests by kind."""

    once: int = 0
    repeatable: int = 0


class SimulatedInstance:
    """One instance."""

    def __init__(self, clock: ManualClock, name: str, zone: str, seed: int) -> None:
        self.context = manual_context(clock, name, zone, seed)
        self.registry = ServerRegistry(self.context)
        self.notices = EvidenceNotices(self.context, self.registry)

    def health_counts(self) -> Counter[ServerHealth]:
        return Counter(state.health_record.health for state in self.registry.states())

    def state(self, server: ServerId) -> ServerState:
        state = self.registry.state(server)
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
        self._publishing: set[SimulatedInstance] = set()
        self._running: deque[tuple[float, ServerState]] = deque()
        self._in_flight: deque[tuple[float, SimulatedInstance, list[ServerEvidence]]] = deque()
        self.instances = [
            SimulatedInstance(self.clock, f'i-{n}', ZONES[n % 3], seed * 1_000 + n)
            for n in range(instances)
        ]
        zones = {instance.context.instance_id: instance.context.zone for instance in self.instances}
        for instance in self.instances:
            own = instance.context.instance_id
            instance.registry.replace(
                listed_server(f's-{n}', SERVICE, zone=ZONES[n % 3]) for n in range(servers)
            )
            others = {each: AvailabilityZone(zone) for each, zone in zones.items() if each != own}
            instance.registry.topology.replace(others)

    def run(self, for_ms: float) -> Lost:
        """Send requests for some time; return what was lost in it."""
        self.lost = Lost()
        until_ms = self.clock.ms + for_ms
        while self.clock.ms < until_ms:
            self.clock.ms += STEP_MS
            self._exchange_notices()
            if self.random.random() < self.per_s * STEP_MS / 1e3:
                self._request()
        return self.lost

    def health_of(self, server: ServerId) -> Counter[ServerHealth]:
        """Count the instances by the health that they assign to a server."""
        return Counter(instance.state(server).health_record.health for instance in self.instances)

    def _request(self) -> None:
        instance = self.random.choice(self.instances)
        self._publishing.add(instance)
        # A quarter of the requests may run at most once.
        is_once = self.random.random() < 0.25
        excluded: set[ServerIncarnation] = set()
        for _ in range(1 if is_once else 2):
            state = instance.registry.choose_server(SERVICE, excluded, '', is_once=is_once)
            if state is None:
                break
            excluded.add(state.incarnation)
            outcome = self._send(instance, state)
            if outcome is Outcome.SUCCEEDED:
                return
        if is_once:
            self.lost.once += 1
        else:
            self.lost.repeatable += 1

    def _send(self, instance: SimulatedInstance, state: ServerState) -> Outcome:
        context = instance.context
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

    def _exchange_notices(self) -> None:
        now_ms = self.clock.ms
        while self._running and self._running[0][0] <= now_ms:
            self._running.popleft()[1].own.online -= 1
        while self._in_flight and self._in_flight[0][0] <= now_ms:
            _, sender, rows = self._in_flight.popleft()
            for instance in self.instances:
                if instance is not sender and self.random.random() >= self.loss:
                    instance.notices.record_peer_evidence(sender.context.instance_id, rows)
        for instance in list(self._publishing):
            pause_ms = instance.notices.next_pause_ms()
            if pause_ms is None:
                self._publishing.remove(instance)
            elif pause_ms == 0.0:
                self._in_flight.append(
                    (now_ms + DATAGRAM_DELAY_MS, instance, instance.notices.take_due())
                )
                self.datagrams += len(self.instances) - 1
