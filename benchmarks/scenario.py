"""A fleet in virtual time under an online load, with or without batch work."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
import numpy as np

from citrondyke.decisions.configuration.entries import (
    ClassEntry,
    ClassKind,
    ConfigEntry,
    TenantEntry,
)
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.instance_limits import InstanceLimits
from citrondyke.decisions.online.request import OnlineRequest, OnlineResult, OnlineResultKind
from citrondyke.decisions.online.server_view import ServerView
from citrondyke.decisions.sharing.server_share import ServerShare
from citrondyke.driver.virtual.virtual_fleet import VirtualFleet
from citrondyke.driver.virtual.virtual_instance import VirtualInstance
from citrondyke.driver.virtual.virtual_server import VirtualEngine
from citrondyke.ids import AvailabilityZone, ClassName, RequestId, ServerId, TargetName, TenantId
from citrondyke.standin.engine_curve import EngineCurve
from citrondyke.storage.fleet_lists import ListedServer
from citrondyke.util.hashing import content_hash

__all__ = ('Arrival', 'Outcome', 'Scenario', 'ScenarioRun', 'poisson_arrivals')

MODEL = TargetName('model')
WARM_UP_MS = 4000.0


class Arrival(msgspec.Struct, frozen=True):
    """One online request of a workload."""

    at_ms: float
    tokens: int
    prompt_tokens: int
    tenant: str = 'tenant-0'
    prefix: str = ''
    prefix_tokens: int = 0


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """What is run."""

    seed: int = 1
    instances: int = 3
    engines: int = 3
    zones: int = 3
    curve: EngineCurve = EngineCurve()
    length_ms: float = 10_000.0
    #: Batch items that are there from the start; 0 for batch off.
    batch_items: int = 0
    batch_tokens: int = 80
    batch_prompt_tokens: int = 60
    first_token_target_ms: float = 50.0
    token_gap_target_ms: float = 4.9
    one_way_ms: float = 1.0
    datagram_loss: float = 0.01
    limits: InstanceLimits = InstanceLimits(
        held_segments_limit=8, shortest_look_ms=50.0, load_poll_every_ms=200.0
    )


class Outcome(msgspec.Struct):
    """What became of one online request."""

    arrival: Arrival
    end: OnlineResult | None = None
    ended_ms: float = 0.0
    token_times_ms: list[float] = msgspec.field(default_factory=list)

    @property
    def first_token_ms(self) -> float | None:
        """Give the time to the first token, from the arrival."""
        return self.token_times_ms[0] - self.arrival.at_ms if self.token_times_ms else None

    @property
    def is_answered(self) -> bool:
        """Tell whether the whole answer came."""
        return self.end is not None and self.end.kind is OnlineResultKind.ANSWERED


def poisson_arrivals(
    seed: int,
    per_s: float,
    until_ms: float,
    *,
    tokens: int = 40,
    prompt_tokens: int = 60,
    start_ms: float = WARM_UP_MS,
    burst_every_ms: float = 0.0,
    burst_factor: float = 1.0,
    burst_ms: float = 2000.0,
    tenants: int = 1,
) -> list[Arrival]:
    """Draw arrivals; bursts multiply the rate for ``burst_ms`` each ``burst_every_ms``."""
    random = Random(seed)
    arrivals: list[Arrival] = []
    now_ms = start_ms
    while True:
        rate = per_s
        if burst_every_ms and (now_ms - start_ms) % burst_every_ms < burst_ms:
            rate *= burst_factor
        now_ms += random.expovariate(rate / 1000)
        if now_ms >= until_ms:
            return arrivals
        arrivals.append(
            Arrival(
                at_ms=now_ms,
                tokens=max(2, int(random.expovariate(1 / tokens))),
                prompt_tokens=max(8, int(random.gauss(prompt_tokens, prompt_tokens / 4))),
                tenant=f'tenant-{random.randrange(tenants)}',
            )
        )


class ScenarioRun:
    """One run of a scenario."""

    def __init__(
        self,
        scenario: Scenario,
        arrivals: list[Arrival],
        new_share: Callable[[ServerView], ServerShare] | None = None,
    ) -> None:
        """Build the fleet; nothing runs before ``run``."""
        self.scenario = scenario
        self.fleet = VirtualFleet(
            scenario.seed,
            one_way_ms=scenario.one_way_ms,
            datagram_loss=scenario.datagram_loss,
            new_share=new_share,
        )
        self.outcomes = [Outcome(arrival) for arrival in arrivals]
        self.fleet.configure(self._entries({arrival.tenant for arrival in arrivals}))
        self.engines = [self._add_engine(number) for number in range(scenario.engines)]
        self.hosts = [
            self.fleet.add_instance(f'i{number}', self._zone(number), scenario.limits)
            for number in range(scenario.instances)
        ]
        self._batch_before = 0
        self._tokens_before = 0

    def run(self) -> None:
        """Run to the end of the scenario."""
        time = self.fleet.time
        time.run_until(500.0)
        if self.scenario.batch_items:
            lines = b''.join(self._line(n) for n in range(self.scenario.batch_items))
            self.fleet.accept_job(self.hosts[0], 'batch-tenant', 'nightly', lines)
        for number, outcome in enumerate(self.outcomes):
            time.at(outcome.arrival.at_ms, self._caller(number, outcome))
        time.run_until(WARM_UP_MS)
        self._tokens_before = sum(engine.tokens_count for engine in self.engines)
        time.run_until(self.scenario.length_ms)

    # What was measured

    @property
    def engine_tokens(self) -> int:
        """Count the tokens that the engines made after the warm-up."""
        return sum(engine.tokens_count for engine in self.engines) - self._tokens_before

    @property
    def online_tokens(self) -> int:
        """Count the online tokens that arrived."""
        return sum(len(outcome.token_times_ms) for outcome in self.outcomes)

    @property
    def batch_tokens(self) -> int:
        """Count the tokens that are not online ones."""
        return self.engine_tokens - self.online_tokens

    def first_tokens_ms(self) -> Any:
        """Give the first-token times of the answered requests."""
        found = [outcome.first_token_ms for outcome in self.outcomes]
        return np.array([each for each in found if each is not None])

    def gaps_ms(self) -> Any:
        """Give all gaps between tokens."""
        parts = [np.diff(outcome.token_times_ms) for outcome in self.outcomes]
        return np.concatenate([part for part in parts if len(part)] or [np.array([0.0])])

    def recomputed_tokens(self) -> int:
        """Count the tokens that resumed batch streams had to compute again."""
        return sum(engine.recomputed_tokens for engine in self.engines)

    def kept_share(self) -> float:
        """Give the share of requests within their class's target."""
        ended = [outcome for outcome in self.outcomes if outcome.end is not None]
        kept = sum(1 for outcome in ended if self.is_kept(outcome))
        return kept / max(1, len(ended))

    def is_kept(self, outcome: Outcome) -> bool:
        """Tell whether a request was answered within its class's target."""
        first_ms = outcome.first_token_ms
        if not outcome.is_answered or first_ms is None:
            return False
        if first_ms > self.scenario.first_token_target_ms:
            return False
        times = outcome.token_times_ms
        mean_gap = (times[-1] - times[0]) / max(1, len(times) - 1)
        return mean_gap <= self.scenario.token_gap_target_ms

    # Building

    def _caller(self, number: int, outcome: Outcome) -> Callable[[], None]:
        def begin() -> None:
            hosts = [host for host in self.hosts if host.is_alive and not host.is_frozen]
            self._call(hosts[number % len(hosts)], number, outcome)

        return begin

    def _call(self, host: VirtualInstance, number: int, outcome: Outcome) -> None:
        arrival = outcome.arrival
        request_id = RequestId(f'online-{number}')
        self.fleet.listen(request_id, outcome.token_times_ms.append)
        body = {
            'max_tokens': arrival.tokens,
            'prompt_tokens': arrival.prompt_tokens,
            'prefix': arrival.prefix,
            'prefix_tokens': arrival.prefix_tokens,
        }
        request = OnlineRequest(
            request_id=request_id,
            tenant_id=TenantId(arrival.tenant),
            class_name=ClassName('calls'),
            target=MODEL,
            method='POST',
            path='/v1/completions',
            body=msgspec.json.encode(body),
            is_streamed=True,
            is_model=True,
            is_repeatable=True,
            prefix_bucket=content_hash(arrival.prefix.encode()) if arrival.prefix else None,
            first_token_target_ms=self.scenario.first_token_target_ms,
            deadline_ms=self.fleet.time.now_ms() + 30_000.0,
            cancel=Signal(),
        )

        def end(found: OnlineResult) -> None:
            outcome.end = found
            outcome.ended_ms = self.fleet.time.now_ms()

        host.start(host.instance.online.serve(request), end)

    def _line(self, number: int) -> bytes:
        line = {
            'custom_id': f'b{number}',
            'url': '/v1/completions',
            'body': {
                'model': MODEL,
                'max_tokens': self.scenario.batch_tokens,
                'prompt_tokens': self.scenario.batch_prompt_tokens,
            },
        }
        return msgspec.json.encode(line) + b'\n'

    def _add_engine(self, number: int) -> VirtualEngine:
        listed = ListedServer(
            ServerId(f'e{number}'), '10.0.0.2', 1, AvailabilityZone(self._zone(number)), MODEL
        )
        engine = VirtualEngine(listed, self.fleet.time, self.scenario.curve, load_lag_ms=100.0)
        self.fleet.add_server(engine)
        return engine

    def _zone(self, number: int) -> str:
        return f'z{number % self.scenario.zones}'

    def _entries(self, tenants: set[str]) -> list[ConfigEntry]:
        calls, nightly = ClassName('calls'), ClassName('nightly')
        return [
            ClassEntry(
                name=calls,
                kind=ClassKind.ONLINE,
                first_token_target_ms=self.scenario.first_token_target_ms,
                token_gap_target_ms=self.scenario.token_gap_target_ms,
            ),
            ClassEntry(name=nightly, kind=ClassKind.BATCH),
            *(
                TenantEntry(
                    id=TenantId(name), key_hashes=(), online_class=calls, batch_class=nightly
                )
                for name in sorted(tenants | {'batch-tenant'})
            ),
        ]
