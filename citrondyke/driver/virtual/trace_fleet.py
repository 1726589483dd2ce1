"""The virtual fleet that a trace is replayed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.configuration.entries import (
    ClassKind,
    ConfigEntry,
    ServiceEntry,
    TenantEntry,
)
from citrondyke.decisions.instance_limits import InstanceLimits
from citrondyke.decisions.steward import SERVICE_PREFIX
from citrondyke.driver.virtual.virtual_fleet import VirtualFleet
from citrondyke.driver.virtual.virtual_server import VirtualEngine, VirtualService
from citrondyke.ids import AvailabilityZone, ServerId, TargetName, TenantId
from citrondyke.standin.engine_curve import EngineCurve
from citrondyke.storage.fleet_lists import ListedServer

if TYPE_CHECKING:
    from citrondyke.driver.virtual.trace import Trace, TraceServer
    from citrondyke.driver.virtual.virtual_instance import VirtualInstance

__all__ = ('TraceFleet',)

LOAD_LAG_MS = 100.0


class TraceFleet:
    """A virtual fleet with the servers, classes and tenants of a trace."""

    def __init__(self, trace: Trace) -> None:
        """Build the fleet and start its instances."""
        self._header = trace.header
        self.virtual_fleet = VirtualFleet(trace.header.seed)
        self._limits = InstanceLimits(
            lease_ms=trace.header.lease_ms,
            lease_renew_every_ms=trace.header.lease_ms / 5,
            segment_items=64,
            part_every_ms=500.0,
            lists_poll_every_ms=500.0,
            gossip_every_ms=300.0,
        )
        self.virtual_fleet.configure(_config_entries(trace))
        for server in trace.header.servers:
            self._add_server(server)
        for number in range(trace.header.instances):
            self.start(number)

    def start(self, number: int) -> VirtualInstance:
        """Start an instance, or its next incarnation."""
        return self.virtual_fleet.add_instance(f'i{number}', f'zone-{number % 3 + 1}', self._limits)

    def target(self, *, is_service: bool) -> str:
        """Return the target of the first service in the trace, or of its first model."""
        return next(
            server.target
            for server in self._header.servers
            if server.target.startswith(SERVICE_PREFIX) == is_service
        )

    def _add_server(self, server: TraceServer) -> None:
        listed = ListedServer(
            ServerId(server.id),
            '10.0.0.2',
            1,
            AvailabilityZone(server.zone),
            TargetName(server.target),
        )
        time = self.virtual_fleet.time
        if server.target.startswith(SERVICE_PREFIX):
            self.virtual_fleet.add_server(VirtualService(listed, time, server.run_ms))
            return
        curve = EngineCurve(base_ms=server.base_ms, knee_streams=server.knee_streams)
        self.virtual_fleet.add_server(VirtualEngine(listed, time, curve, LOAD_LAG_MS))


def _config_entries(trace: Trace) -> list[ConfigEntry]:
    classes = trace.header.classes
    online = next(each.name for each in classes if each.kind is ClassKind.ONLINE)
    batch = next(each.name for each in classes if each.kind is ClassKind.BATCH)
    tenants = sorted({event.tenant for event in trace.events})
    services = sorted(
        {
            server.target[len(SERVICE_PREFIX) :]
            for server in trace.header.servers
            if server.target.startswith(SERVICE_PREFIX)
        }
    )
    return [
        *classes,
        *(
            TenantEntry(id=TenantId(name), key_hashes=(), online_class=online, batch_class=batch)
            for name in tenants
        ),
        *(ServiceEntry(name=name, is_repeatable=False) for name in services),
    ]
