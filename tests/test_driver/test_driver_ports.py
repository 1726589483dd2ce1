"""Test processes beside each other take no port from one another."""

from __future__ import annotations

import os
import subprocess
import sys

ASK = 'from tests.support.fleet import free_ports; print(*free_ports(20), flush=True); input()'


def test_workers_of_the_same_name_have_ports_of_their_own() -> None:
    # Two runs beside each other, or a worker that replaces a lost one: with ranges by name and
    # parent both were given the same ports, and one's programs listened where the other's were to.
    asked = [
        subprocess.Popen(
            [sys.executable, '-c', ASK],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, 'PYTEST_XDIST_WORKER': 'gw0'},
        )
        for _ in range(2)
    ]
    ports = []
    for process in asked:
        assert process.stdout is not None
        ports.append({int(port) for port in process.stdout.readline().split()})
    for process in asked:
        process.communicate('\n')
    assert len(ports[0]) == len(ports[1]) == 20
    assert not ports[0] & ports[1]
