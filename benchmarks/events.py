"""How fast the fleet answers to events: a burst, a lost zone, deadlines."""

from __future__ import annotations

from random import Random

import msgspec
import numpy as np

from benchmarks.figure import Figure, Relation
from benchmarks.scenario import MODEL, Arrival, Scenario, ScenarioRun, poisson_arrivals
from citrondyke.decisions.configuration.entries import ClassEntry, ClassKind
from citrondyke.decisions.instance_limits import InstanceLimits
from citrondyke.decisions.jobs.job_request import AcceptedJob
from citrondyke.decisions.jobs.rows import JobRow, JobState, job_row_key
from citrondyke.driver.virtual.virtual_fleet import VirtualFleet
from citrondyke.driver.virtual.virtual_server import VirtualEngine
from citrondyke.ids import AvailabilityZone, ClassName, ServerId
from citrondyke.standin.engine_curve import EngineCurve
from citrondyke.storage.fleet_lists import ListedServer

__all__ = ('deadline_figures', 'reaction_figures', 'zone_figures')

BURST_MS = 8000.0
BURST_CALLS = 30
ZONE_LOST_MS = 8000.0
WINDOW_MS = 500.0
JOBS = 40


def reaction_figures() -> list[Figure]:
    """Time from the first call of a burst to the last batch stream that it cuts."""
    scenario = Scenario(engines=1, instances=2, length_ms=8400.0, batch_items=20_000)
    arrivals = [Arrival(at_ms=BURST_MS, tokens=40, prompt_tokens=20)] * BURST_CALLS
    run = ScenarioRun(scenario, arrivals)
    cuts: list[float] = []
    for host in run.hosts:
        worker = host.instance.worker
        cut = worker.preempt

        def noting(request_ids, cut=cut):  # type: ignore[no-untyped-def]  # noqa: ANN001, ANN202
            cuts.append(run.fleet.time.now_ms())
            cut(request_ids)

        worker.preempt = noting  # type: ignore[method-assign]
    run.run()
    in_burst = [at_ms for at_ms in cuts if BURST_MS <= at_ms < BURST_MS + 100.0]
    allowed_ms = 2 * scenario.curve.step_ms(scenario.curve.knee_streams) + 2 * scenario.one_way_ms
    return [
        Figure(
            name='burst: first call to last batch stream cut ÷ (2 steps + 2 one-way delays)',
            value=(max(in_burst, default=float('inf')) - BURST_MS) / allowed_ms,
            bound=1.0,
            goal=1.0,
            relation=Relation.AT_MOST,
        )
    ]


def zone_figures() -> list[Figure]:
    """Lose a zone with its instances and servers, and wait for the first tokens to recover."""
    scenario = Scenario(
        engines=9, instances=6, length_ms=18_000.0, token_gap_target_ms=8.0, batch_items=5000
    )
    arrivals = poisson_arrivals(12, 350, scenario.length_ms)
    run = ScenarioRun(scenario, arrivals)

    def lose() -> None:
        for number, engine in enumerate(run.engines):
            if number % scenario.zones == 0:
                engine.is_up = False
                engine.crash()
        for number, host in enumerate(run.hosts):
            if number % scenario.zones == 0:
                host.kill()

    run.fleet.time.at(ZONE_LOST_MS, lose)
    run.run()
    before = _first_token_p99(run, ZONE_LOST_MS - 2000.0, ZONE_LOST_MS)
    starts = np.arange(ZONE_LOST_MS, scenario.length_ms - 1000.0, WINDOW_MS)
    slow = [at for at in starts if _first_token_p99(run, at, at + WINDOW_MS) > 1.2 * before]
    back_ms = (max(slow) + WINDOW_MS - ZONE_LOST_MS) if slow else 0.0
    sent = sum(each.end.attempts for each in run.outcomes if each.end is not None)
    return [
        Figure(
            name='zone lost: time until first-token p99 is within 1.2 of before ÷ 5 s',
            value=float(back_ms) / 5000.0,
            bound=1.0,
            goal=1.0,
            relation=Relation.AT_MOST,
        ),
        Figure(
            name='zone lost: requests sent ÷ asked',
            value=sent / len(run.outcomes),
            bound=1.1,
            relation=Relation.AT_MOST,
        ),
    ]


def deadline_figures() -> list[Figure]:
    """Give jobs of mixed deadlines that an offline plan just meets, at 90% of the capacity."""
    fleet = VirtualFleet(5)
    curve = EngineCurve()
    kinds = {f'within-{n}': 4000.0 + 1500.0 * n for n in range(8)}
    fleet.configure(
        ClassEntry(name=ClassName(name), kind=ClassKind.BATCH, finish_within_ms=within_ms)
        for name, within_ms in kinds.items()
    )
    for number in range(2):
        listed = ListedServer(ServerId(f'e{number}'), 'x', 1, AvailabilityZone('z'), MODEL)
        fleet.add_server(VirtualEngine(listed, fleet.time, curve, 100.0))
    limits = InstanceLimits(segment_items=32, shortest_look_ms=50.0, part_every_ms=500.0)
    hosts = [fleet.add_instance(f'i{number}', 'z', limits) for number in range(3)]
    fleet.time.run_until(1500.0)
    random = Random(6)
    tokens_per_ms = 2 * curve.knee_streams / curve.step_ms(curve.knee_streams)
    jobs: list[AcceptedJob] = []
    plan: list[tuple[float, float, float]] = []
    for number in range(JOBS):
        name = random.choice(sorted(kinds))
        items = random.randrange(60, 200)
        job = fleet.accept_job(hosts[number % 3], f't{number % 4}', name, _lines(number, items))
        jobs.append(job)
        work_ms = items * 30 / (0.9 * tokens_per_ms)
        plan.append((job.row.created_epoch_ms, job.row.deadline_epoch_ms, work_ms))
        fleet.time.run_until(fleet.time.now_ms() + work_ms * random.uniform(0.8, 1.2))
    fleet.time.run_until(fleet.time.now_ms() + 30_000.0)
    feasible = _feasible(plan)
    on_time = sum(1 for number in feasible if _is_on_time(fleet, jobs[number]))
    return [
        Figure(
            name='jobs on time ÷ feasible by offline earliest deadline first, 90% load',
            value=on_time / max(1, len(feasible)),
            bound=0.9,
            goal=0.99,
            relation=Relation.AT_LEAST,
        )
    ]


def _lines(number: int, items: int) -> bytes:
    lines = [
        {
            'custom_id': f'{number}-{n}',
            'url': '/v1/completions',
            'body': {'model': MODEL, 'max_tokens': 30, 'prompt_tokens': 20},
        }
        for n in range(items)
    ]
    return b'\n'.join(msgspec.json.encode(line) for line in lines)


def _feasible(plan: list[tuple[float, float, float]]) -> list[int]:
    """Run the jobs one after the other, the earliest deadline first; give those in time."""
    waiting = set(range(len(plan)))
    now_ms = min(created for created, _, _ in plan)
    met: list[int] = []
    while waiting:
        there = [number for number in waiting if plan[number][0] <= now_ms]
        if not there:
            now_ms = min(plan[number][0] for number in waiting)
            continue
        chosen = min(there, key=lambda number: plan[number][1])
        waiting.remove(chosen)
        now_ms += plan[chosen][2]
        if now_ms <= plan[chosen][1]:
            met.append(chosen)
    return met


def _is_on_time(fleet: VirtualFleet, job: AcceptedJob) -> bool:
    row = fleet.platform.table.read([job_row_key(job.job_id)])[0]
    found = msgspec.json.decode(row.value, type=JobRow)
    if found.state is not JobState.COMPLETED or found.finished_epoch_ms is None:
        return False
    return found.finished_epoch_ms <= found.deadline_epoch_ms


def _first_token_p99(run: ScenarioRun, from_ms: float, to_ms: float) -> float:
    times = [
        first_ms
        for outcome in run.outcomes
        if from_ms <= outcome.arrival.at_ms < to_ms
        and (first_ms := outcome.first_token_ms) is not None
    ]
    return float(np.percentile(times, 99)) if times else float('inf')
