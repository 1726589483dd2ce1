"""Items that are late never run at servers of one slot, though these are idle."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common2'))

from fleet import TROUBLE, Fleet, batch_route, finish, make_job  # noqa: E402

SERVERS, ITEMS = 3, 3
#: Jobs in the 3 s of a burst, at its factor and at the usual rate.
BURST_JOBS, USUAL_JOBS, BURST_S = 6, 1, 3.0
DUE_S, FINISH_S, CALM_S = 18.0, 18.0, 5.0


async def main() -> int:
    """Play the case once."""
    fleet = Fleet(HERE)
    await fleet.start(
        2,
        [{'slots': 1, 'events': 120, 'event_ms': 25.0} for _ in range(SERVERS)],
        [batch_route(max_wait_s=60.0)],
    )
    draw = random.Random(6)
    count = BURST_JOBS if TROUBLE else USUAL_JOBS
    began = time.monotonic()
    jobs: dict[str, int] = {}
    for number in range(count):
        job_id, items = make_job(draw, ITEMS, 300)
        answer = await fleet.submit(fleet.instances[number % 2], job_id, items)
        if answer is None or answer.status != 202:  # noqa: PLR2004
            return await finish(fleet, None, 'a job was not accepted')
        jobs[job_id] = 0
        await asyncio.sleep(BURST_S / count)
    until = began + DUE_S + FINISH_S + CALM_S + BURST_S
    while time.monotonic() < until and any(found < ITEMS for found in jobs.values()):
        await asyncio.sleep(1.0)
        for job_id in jobs:
            found = await fleet.results(fleet.instances[0], job_id)
            if not isinstance(found, list):
                return await finish(fleet, None, f'a job cannot be read: {found}')
            jobs[job_id] = len(found)
        running = [server.running for server in fleet.servers]
        fleet.record(f'listed of {ITEMS} each: {list(jobs.values())}; at the servers {running}')
    runs = [run for server in fleet.servers for run in server.runs]
    for run in runs:
        at_s, ended_s = run['at'] - fleet.began, run['ended'] - fleet.began
        fleet.record(f'item {run["id"]} ran from {at_s:.2f} s to {ended_s:.2f} s')
    missing = sum(ITEMS - found for found in jobs.values())
    idle_s = time.monotonic() - max((run['ended'] for run in runs), default=began)
    if not missing:
        took_s = time.monotonic() - began
        return await finish(fleet, False, f'all {count * ITEMS} items listed after {took_s:.0f} s')
    if idle_s < CALM_S or any(server.running for server in fleet.servers):
        return await finish(fleet, False, f'{missing} items are open and still being run')
    return await finish(
        fleet,
        True,
        f'LOST: {missing} of {count * ITEMS} items are neither completed nor errored; '
        f'all servers have been idle for {idle_s:.0f} s',
    )


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
