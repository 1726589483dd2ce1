"""Measures how state and work grow with size, and fits a line to each."""

from __future__ import annotations

import gc
import sys
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from benchmarks.call_cost import cpu_ms
from benchmarks.control import control_cost
from benchmarks.fitted_line import Slope, fit
from benchmarks.scenario import MODEL, Scenario, ScenarioRun
from citrondyke.decisions.configuration.configuration import ConfigSnapshot, Configuration
from citrondyke.decisions.configuration.entries import ConfigEntry, TenantEntry
from citrondyke.decisions.core.context import Context
from citrondyke.decisions.instance_limits import InstanceLimits
from citrondyke.decisions.jobs.job_file_reader import JobFileReader
from citrondyke.decisions.membership.members import Members
from citrondyke.decisions.online.fleet import Fleet
from citrondyke.driver.virtual.virtual_time import VirtualTime
from citrondyke.ids import (
    AvailabilityZone,
    ClassName,
    ConfigVersion,
    InstanceId,
    ServerId,
    TenantId,
)
from citrondyke.operator.request_metrics import RequestMetrics, RequestSample
from citrondyke.storage.fleet_lists import ListedInstance, ListedServer
from citrondyke.util.hashing import key_hash
from tests.support.fleet import Fleet as RealFleet
from tests.support.job_lines import chat_lines

__all__ = ('main',)

PAGE = Path(__file__).parent.parent / 'docs' / 'capacity_slopes.md'
RESULTS = Path(__file__).parent / 'slopes.json'


def _memory(build: Callable[[], Any]) -> float:
    """Give the bytes that stay allocated while what ``build`` gives is held."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    held = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return float(after - before)


def _configuration(tenants: int) -> Configuration:
    entries: list[ConfigEntry] = [
        TenantEntry(
            id=TenantId(f'tenant-{n}'),
            key_hashes=(key_hash(str(n)),),
            online_class=ClassName('calls'),
            batch_class=ClassName('nightly'),
        )
        for n in range(tenants)
    ]
    made = Configuration()
    made.restore(ConfigSnapshot(ConfigVersion(1), tuple(entries)))
    return made


def _histograms(tenants: int) -> RequestMetrics:
    made = RequestMetrics(tenants)
    random = Random(1)
    for n in range(tenants):
        for _ in range(50):
            made.add(
                RequestSample(
                    tenant_id=TenantId(f'tenant-{n}'),
                    class_name=ClassName('calls'),
                    outcome='ok',
                    total_ms=random.lognormvariate(6, 0.6),
                    first_token_ms=random.lognormvariate(4, 0.6),
                    tokens_count=100,
                )
            )
    return made


def _members(instances: int) -> Members:
    context = Context(InstanceId('own'), AvailabilityZone('z'), VirtualTime(), Random(1))
    made = Members(context)
    made.update_list(
        ListedInstance(
            InstanceId(f'i{n}'), f'10.0.{n // 250}.{n % 250}', 1, 1, AvailabilityZone('z')
        )
        for n in range(instances)
    )
    return made


def _fleet(servers: int) -> Fleet:
    made = Fleet(64)
    made.update_list(
        ListedServer(
            ServerId(f's{n}'), f'10.1.{n // 250}.{n % 250}', 1, AvailabilityZone('z'), MODEL
        )
        for n in range(servers)
    )
    target = made.target(MODEL)
    if target is not None:
        for bucket in range(512):
            target.preferred(bucket)
    return made


def memory_slopes() -> list[Slope]:
    """Measure memory by tenants, instances and servers."""
    builders: list[tuple[str, str, Callable[[int], Any], tuple[int, ...]]] = [
        ('configuration', 'tenant', _configuration, (1000, 4000, 13_000)),
        ('histograms', 'tenant with 50 requests', _histograms, (250, 500, 1000)),
        ('membership', 'instance', _members, (37, 111, 370)),
        ('servers and their prefix table', 'server', _fleet, (60, 200, 600)),
    ]
    return [
        fit(
            f'memory: {name}',
            per,
            'bytes',
            [(size, _memory(lambda build=build, size=size: build(size))) for size in sizes],  # type: ignore[misc]
        )
        for name, per, build, sizes in builders
    ]


def reader_slope() -> Slope:
    """Measure the processor time of taking in a job file."""
    points: list[tuple[float, float]] = []
    for count in (5000, 20_000, 80_000):
        data = chat_lines(count)
        reader = JobFileReader(256, 1_000_000, 1_000_000)
        began = time.process_time()
        for start in range(0, len(data), 65_536):
            reader.feed(data[start : start + 65_536])
        reader.finish()
        points.append((count, (time.process_time() - began) * 1e3))
    return fit('processor: taking in a job file', 'item', 'ms', points)


def table_slopes() -> list[Slope]:
    """Count what a job costs the table service, in virtual time."""
    writes: list[tuple[float, float]] = []
    reads: list[tuple[float, float]] = []
    for count in (2000, 8000, 32_000):
        run = ScenarioRun(
            Scenario(
                instances=4,
                engines=4,
                batch_items=count,
                batch_tokens=8,
                length_ms=60_000.0,
                limits=InstanceLimits(),
            ),
            [],
        )
        run.run()
        table = run.fleet.platform.table
        renewals = 4 * 60_000 / InstanceLimits().lease_renew_every_ms
        segments = count / 256
        writes.append((segments, table.transactions_count - renewals))
        reads.append((segments, table.reads_count + table.scans_count))
    return [
        fit('table service: writes of a job', 'segment of 256 items', 'transactions', writes),
        fit('table service: reads in a minute with a job', 'segment', 'reads', reads),
    ]


def control_slopes() -> list[Slope]:
    """Weigh control by fleet size, with requests and servers in proportion."""
    sizes = ((37, 60, 230.0), (111, 180, 690.0), (222, 360, 1380.0), (370, 600, 2300.0))
    with ProcessPoolExecutor(4) as pool:
        costs = list(pool.map(_control_cost, sizes))
    by_instances: list[tuple[str, str, Callable[[Any], float]]] = [
        ('control: bytes a node and second', 'bytes/s', lambda cost: cost.bytes_per_s),
        ('control: datagrams a node and second', '1/s', lambda cost: cost.datagrams_per_s),
        ('control: processor for the codec, a node', 'µs/s', lambda cost: cost.codec_us_per_s),
        ('table service: reads, no jobs', '1/s', lambda cost: cost.table_reads_per_s),
        ('table service: writes, no jobs', '1/s', lambda cost: cost.table_writes_per_s),
    ]
    return [
        fit(name, 'instance', unit, [(cost.instances, value(cost)) for cost in costs])
        for name, unit, value in by_instances
    ]


def _control_cost(size: tuple[int, int, float]) -> Any:
    return control_cost(*size, InstanceLimits())


def process_slopes() -> list[Slope]:
    """Measure the processor time of one real instance by tokens and by batch items."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = RealFleet(Path(folder))
        try:
            fleet.start_engine('engine-0', base_ms=1.0, max_running=128)
            fleet.start_instance('instance-0')
            fleet.wait_ready('instance-0')
            return [_token_slope(fleet), _batch_slope(fleet)]
        finally:
            fleet.end()


def _token_slope(fleet: RealFleet) -> Slope:
    pid = fleet.program('instance-0').pid
    points: list[tuple[float, float]] = []
    for tokens in (10, 20, 40, 80):
        before = cpu_ms(pid)
        threads = [threading.Thread(target=_ask, args=(fleet, tokens, 75)) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        points.append((tokens, (cpu_ms(pid) - before) / 300))
    return fit('processor: a streamed call', 'token', 'ms', points)


def _ask(fleet: RealFleet, tokens: int, calls: int) -> None:
    caller = fleet.caller()
    for n in range(calls):
        caller.chat(f'ask {n}', tokens, stream=True)


def _batch_slope(fleet: RealFleet) -> Slope:
    pid = fleet.program('instance-0').pid
    points: list[tuple[float, float]] = []
    for number, count in enumerate((500, 1500, 3000)):
        before = cpu_ms(pid)
        lines = chat_lines(count, tokens=8, name=f'job-{number}')
        job_id = fleet.submit(fleet.caller(), lines, '/v1/chat/completions')
        fleet.wait_final(fleet.caller(), job_id)
        points.append((count, cpu_ms(pid) - before))
    return fit('processor: a batch item of 8 tokens', 'item', 'ms', points)


def main() -> int:
    """Measure everything and write it down."""
    slopes = [*memory_slopes(), reader_slope(), *table_slopes()]
    slopes += control_slopes()
    slopes += process_slopes()
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(slopes), indent=2) + b'\n')
    PAGE.write_text(_page(slopes))
    print(PAGE.read_text())
    return 0


def _page(slopes: list[Slope]) -> str:
    lines = [
        '| what | for each | measured at | values | slope | at zero | error of the fit |',
        '| --- | --- | --- | --- | --- | --- | --- |',
    ]
    for slope in slopes:
        sizes = ', '.join(f'{size:g}' for size in slope.sizes)
        values = ', '.join(f'{value:.4g}' for value in slope.values)
        lines.append(
            f'| {slope.name} | {slope.per} | {sizes} | {values} {slope.unit} | '
            f'{slope.slope:.4g} {slope.unit} | {slope.intercept:.4g} | {slope.error * 100:.1f}% |'
        )
    return '\n'.join(lines) + '\n'


if __name__ == '__main__':
    sys.exit(main())
