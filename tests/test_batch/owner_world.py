"""One owner of batch items and the servers that it knows, in virtual time."""

from __future__ import annotations

from citrondyke.decisions.batch.batch_demand import BatchDemand, CompletionLikelihood
from citrondyke.decisions.batch.batch_scheduler import BatchScheduler, RunningItem, Urgency
from citrondyke.decisions.batch.start_rate_limiter import StartRateLimiter
from citrondyke.decisions.forwarding.admission_rule import AdmissionRule
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.ids import ServiceName
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server, other_instances
from tests.test_batch.wave_world import POLL_MS, TARGET_MS

__all__ = ('SERVICE', 'OwnerWorld')

SERVICE = ServiceName('lm')


class OwnerWorld:
    """One owner of items, and servers with some slots each."""

    def __init__(
        self,
        slots: list[int],
        others_count: int = 0,
        zone: str = 'zone-a',
        seed: int = 1,
    ) -> None:
        self.clock = ManualClock()
        context = manual_context(self.clock, seed=seed)
        self.registry = ServerRegistry(context)
        self.list_servers(slots, zone)
        self.registry.topology.replace(other_instances(others_count))
        self.rate_limiter = StartRateLimiter(context, self.registry.topology)
        self.scheduler = BatchScheduler(context, self.registry, self.rate_limiter)
        self.admission = AdmissionRule(context, self.registry)

    def list_servers(self, slots: list[int], zone: str = 'zone-a') -> None:
        self.registry.replace(
            listed_server(f's{n}', SERVICE, count, zone) for n, count in enumerate(slots)
        )

    @property
    def states(self) -> list[ServerState]:
        return list(self.registry.states())

    @property
    def slots_count(self) -> int:
        return sum(state.listed.slots_count for state in self.states)

    @property
    def batch_count(self) -> int:
        return sum(state.own.batch for state in self.states)

    def poll(self, urgency: Urgency) -> None:
        """Do what the runner does at an interval: observe, then start as many as possible."""
        self.clock.ms += POLL_MS
        self.scheduler.observe_online_load(SERVICE)
        now_ms = self.clock.ms
        self.rate_limiter.demand.record_own_demand(
            [BatchDemand(SERVICE, CompletionLikelihood.LATE, 40, now_ms)]
        )
        while (state := self.scheduler.choose_server(SERVICE, urgency)) is not None:
            state.own.batch += 1

    def preempt(self, urgency: Urgency) -> None:
        items = [
            RunningItem(number, state.incarnation, 0.0, urgency, target_ms=TARGET_MS)
            for state in self.states
            for number in range(state.own.batch)
        ]
        overloaded = self.scheduler.overloaded_servers([item.incarnation for item in items])
        items = [item for item in items if item.incarnation in overloaded]
        for item in self.scheduler.items_to_preempt(items):
            state = self.registry.find_incarnation(item.incarnation)
            assert state is not None
            state.own.batch -= 1
