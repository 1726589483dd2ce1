"""Hypothesis drives a fleet in virtual time through generated faults."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from citrondyke.decisions.at_most_once.once_result import OnceResultKind
from citrondyke.decisions.jobs.job_request import AcceptedJob
from citrondyke.driver.virtual.virtual_instance import VirtualInstance
from citrondyke.standin.faults import FaultMode
from tests.support.virtual import LIMITS, job_outcomes, make_fleet, model_lines, order, wait_for_job

NUMBERS = st.integers(0, 2)
KEYS = st.sampled_from(['a', 'b', 'c'])
MODES = st.sampled_from([FaultMode.DOWN, FaultMode.HANG, FaultMode.LOST_REPLY])


class FleetMachine(RuleBasedStateMachine):
    """Orders, jobs, cancels, kills, freezes and outages in any order."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        self.fleet = make_fleet(seed, instances=3)
        self.results: dict[str, list[Any]] = {}
        self.jobs: list[AcceptedJob] = []
        self.versions: dict[int, int] = {}

    def host(self, number: int) -> VirtualInstance | None:
        hosts = self.fleet.live_instances()
        return hosts[number % len(hosts)] if hosts else None

    @rule(number=NUMBERS, key=KEYS)
    def send_order(self, number: int, key: str) -> None:
        host = self.host(number)
        if host is not None and host.instance.is_ready:
            order(host, self.fleet, key, self.results.setdefault(key, []))

    @rule(number=NUMBERS)
    def submit_job(self, number: int) -> None:
        host = self.host(number)
        is_up = self.fleet.platform.table_fault.mode is FaultMode.NONE
        if host is not None and host.instance.is_ready and is_up and len(self.jobs) < 3:
            lines = model_lines(10 + len(self.jobs), tokens=6)
            self.jobs.append(self.fleet.accept_job(host, 'coastal', 'nightly', lines))

    @rule(number=NUMBERS, which=NUMBERS)
    def cancel_job(self, number: int, which: int) -> None:
        host = self.host(number)
        if host is not None and self.jobs:
            job = self.jobs[which % len(self.jobs)]
            host.start(host.instance.cancel_job(None, job.job_id))

    @rule(number=NUMBERS)
    def kill_and_restart(self, number: int) -> None:
        host = self.host(number)
        if host is not None:
            host.kill()
            self.fleet.add_instance(host.listed.id, 'z', LIMITS)

    @rule(number=NUMBERS)
    def freeze(self, number: int) -> None:
        host = self.host(number)
        if host is not None:
            host.freeze()

    @rule()
    def wake_all(self) -> None:
        for host in list(self.fleet.instances.values()):
            if host.is_alive and host.is_frozen:
                host.wake()

    @rule(mode=MODES, calls=st.integers(1, 6))
    def break_table(self, mode: FaultMode, calls: int) -> None:
        self.fleet.platform.table_fault.mode = mode
        self.fleet.platform.table_fault.calls_left = calls

    @rule(ms=st.sampled_from([1.0, 5.0, 30.0, 200.0, 1500.0]))
    def let_time_pass(self, ms: float) -> None:
        self.fleet.time.run_until(self.fleet.time.now_ms() + ms)
        if not self.fleet.platform.table_fault.calls_left:
            self.fleet.platform.table_fault.mode = FaultMode.NONE

    @invariant()
    def no_order_runs_twice(self) -> None:
        if not hasattr(self, 'fleet'):
            return
        for server in self.fleet.servers.values():
            if server.listed.target.startswith('service:'):
                assert all(count == 1 for count in server.runs.values()), server.runs

    @invariant()
    def versions_never_decrease(self) -> None:
        for host in (getattr(self, 'fleet', None) and self.fleet.instances.values()) or ():
            found = host.instance.config_replica.current.version
            assert found >= self.versions.get(id(host), 0)
            self.versions[id(host)] = found

    def teardown(self) -> None:
        if not hasattr(self, 'fleet'):
            return
        self.fleet.platform.table_fault.mode = FaultMode.NONE
        self.wake_all()
        for job in self.jobs:
            wait_for_job(self.fleet, job)
            outcomes = job_outcomes(self.fleet, job)
            assert len(outcomes) == job.row.items_count
        self.no_order_runs_twice()
        for results in self.results.values():
            kinds = {end.kind for end in results}
            assert not {OnceResultKind.ANSWERED, OnceResultKind.UNKNOWN} <= kinds, kinds


FleetMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)
TestFleetMachine = FleetMachine.TestCase
