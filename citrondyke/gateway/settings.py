"""Settings of a gateway instance, independent of the platform's configuration format."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.accounts.overshoot_budget import OvershootBudget
from citrondyke.ids import AvailabilityZone, InstanceId

__all__ = ('Address', 'GatewaySettings', 'StoreSettings')


class Address(msgspec.Struct, frozen=True):
    """An address to listen on or to connect to."""

    ip: str
    port: int


class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Address and limits of the platform's store."""

    address: Address
    #: Timeout of one call; a transaction takes 5 ms, and the store can be 60 times as slow.
    call_timeout_ms: float = 1_200.0
    #: Limit on the size of a row's value.
    row_bytes: int = 65_536
    #: Read rate that the store accepts from all instances together.
    reads_per_s: float = 2_000.0


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Identity, addresses and limits of an instance."""

    instance_id: InstanceId
    zone: AvailabilityZone
    ip: str
    callers: Address
    health: Address
    #: UDP and TCP port for other instances, the same on all of them.
    peer_port: int
    #: 0 disables metrics.
    metrics_port: int
    #: Instances to contact if the store is unreachable at the start.
    seed_ips: tuple[str, ...]
    store: StoreSettings
    memory_bytes: int
    connections_limit: int
    #: Time from SIGTERM until the process is killed.
    stop_within_ms: float
    #: Time after an outage of the store until a missing server is removed.
    lapsed_grace_ms: float
    #: Time for which a job is kept after it was submitted.
    job_kept_ms: float
    #: Share by which accepted tokens may exceed a route's backlog limit.
    tokens_overshoot: float = 0.1
    #: Permitted excess over an account's rate limit.
    limit_tolerance: OvershootBudget = OvershootBudget()
