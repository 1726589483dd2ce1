"""What control costs a node, in virtual time with real bytes."""

from __future__ import annotations

import time
from collections import Counter

import msgspec

from benchmarks.figure import Figure, Relation
from benchmarks.scenario import Scenario, ScenarioRun, poisson_arrivals
from citrondyke.decisions.instance_limits import InstanceLimits
from citrondyke.ids import ConfigVersion
from citrondyke.peer.codec import Envelope, PeerCodec
from citrondyke.standin.engine_curve import EngineCurve

__all__ = ('ControlCost', 'control_cost', 'control_figures')

#: Bytes of the IP and UDP headers of each datagram.
HEADER_BYTES = 28
WARM_UP_MS = 3000.0
LENGTH_MS = 9000.0


class ControlCost(msgspec.Struct, frozen=True):
    """Control of one node, on average over the fleet."""

    instances: int
    engines: int
    requests_per_s: float
    #: Sent and received together.
    bytes_per_s: float
    datagrams_per_s: float
    #: Encoding and decoding them, measured on this machine.
    codec_us_per_s: float
    table_reads_per_s: float
    table_writes_per_s: float
    #: Bytes by kind of message, a second and node.
    bytes_by_kind: dict[str, float]


def control_cost(instances: int, engines: int, per_s: float, limits: InstanceLimits) -> ControlCost:
    """Run a fleet in virtual time and weigh every datagram as it would be on the wire."""
    scenario = Scenario(
        instances=instances,
        engines=engines,
        zones=7,
        length_ms=LENGTH_MS,
        curve=EngineCurve(base_ms=20.0),
        limits=limits,
        datagram_loss=0.0,
    )
    arrivals = poisson_arrivals(1, per_s, LENGTH_MS, tokens=3, start_ms=1000.0)
    run = ScenarioRun(scenario, arrivals)
    codec = PeerCodec([b'a-key-for-benchmarks'])
    sizes: Counter[str] = Counter()
    counts: Counter[str] = Counter()
    spent_s = 0.0
    send = run.fleet.send_peer

    def weighing(sender, receiver_id, message):  # type: ignore[no-untyped-def]  # noqa: ANN001, ANN202
        nonlocal spent_s
        if run.fleet.time.now_ms() >= WARM_UP_MS:
            envelope = Envelope(sender.listed.id, 12, 1_000_000, ConfigVersion(1900), message)
            began = time.perf_counter()
            data = codec.encode(envelope)
            codec.decode(data)
            spent_s += time.perf_counter() - began
            kind = type(message).__name__
            sizes[kind] += len(data) + HEADER_BYTES
            counts[kind] += 1
        send(sender, receiver_id, message)

    run.fleet.send_peer = weighing  # type: ignore[method-assign]
    table = run.fleet.platform.table
    before: list[int] = []
    run.fleet.time.at(
        WARM_UP_MS,
        lambda: before.extend((table.reads_count + table.scans_count, table.transactions_count)),
    )
    run.run()
    span_s = (LENGTH_MS - WARM_UP_MS) / 1e3
    per_node = 1 / span_s / instances
    return ControlCost(
        instances=instances,
        engines=engines,
        requests_per_s=per_s,
        bytes_per_s=2 * sizes.total() * per_node,
        datagrams_per_s=2 * counts.total() * per_node,
        codec_us_per_s=spent_s * 1e6 * per_node,
        table_reads_per_s=(table.reads_count + table.scans_count - before[0]) / span_s,
        table_writes_per_s=(table.transactions_count - before[1]) / span_s,
        bytes_by_kind={kind: 2 * size * per_node for kind, size in sizes.items()},
    )


def control_figures() -> list[Figure]:
    """Weigh control at a tenth of the target size and at the target size."""
    small = control_cost(37, 60, 230.0, InstanceLimits())
    large = control_cost(370, 600, 2300.0, InstanceLimits())
    return [
        Figure(
            name='control bytes a node at 370 instances ÷ at 37',
            value=large.bytes_per_s / small.bytes_per_s,
            bound=1.3,
            relation=Relation.AT_MOST,
        ),
        Figure(
            name='control traffic a node at 370 instances, 600 servers, 2,300 requests/s',
            value=large.bytes_per_s / 1000,
            unit='KB/s',
            goal=3.0,
            relation=Relation.AT_MOST,
        ),
        Figure(
            name='processor time for its encoding and decoding, of a core',
            value=large.codec_us_per_s / 1e4,
            unit='%',
            goal=1.1,
            relation=Relation.AT_MOST,
        ),
    ]
