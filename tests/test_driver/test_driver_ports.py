"""Test processes that run at the same time do not share ports."""

from __future__ import annotations

import os
import subprocess
import sys

PRINT_FREE_PORTS = (
    'from tests.support.fleet import free_ports; print(*free_ports(20), flush=True); input()'
)


def test_workers_with_the_same_name_get_different_ports() -> None:
    # Two test runs at the same time, or a worker that replaces a lost one, can have the same
    # worker name. With port ranges chosen by worker name and parent process, both got the same
    # ports, so that the programs of one listened on the ports of the other.
    processes = [
        subprocess.Popen(
            [sys.executable, '-c', PRINT_FREE_PORTS],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, 'PYTEST_XDIST_WORKER': 'gw0'},
        )
        for _ in range(2)
    ]
    ports = []
    for process in processes:
        assert process.stdout is not None
        ports.append({int(port) for port in process.stdout.readline().split()})
    for process in processes:
        process.communicate('\n')
    assert len(ports[0]) == len(ports[1]) == 20
    assert not ports[0] & ports[1]
