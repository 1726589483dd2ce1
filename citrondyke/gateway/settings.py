"""Settings of a gateway instance, in the product's own words."""

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
    """The platform's store and its bounds."""

    address: Address
    #: Of one call; a transaction takes 5 ms, and the store can be 60 times as slow.
    call_timeout_ms: float = 1_200.0
    #: Largest value of a row.
    row_bytes: int = 65_536
    #: Reads a second that it takes from all instances together.
    reads_per_s: float = 2_000.0


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Who and where an instance is, and the bounds that it keeps."""

    instance_id: InstanceId
    zone: AvailabilityZone
    ip: str
    callers: Address
    health: Address
    #: UDP and TCP port for other instances, the same on all of them.
    peer_port: int
    #: 0 for no metrics.
    metrics_port: int
    #: Some instances that may be up, for when the store is out of reach.
    seed_ips: tuple[str, ...]
    store: StoreSettings
    memory_bytes: int
    connections_limit: int
    #: From SIGTERM until the process is killed.
    stop_within_ms: float
    #: After an outage of the store, until a missing server counts as gone.
    lapsed_grace_ms: float
    #: How long a job stays readable after it was submitted.
    job_kept_ms: float
    #: Part by which accepted tokens may pass a route's bound.
    tokens_overshoot: float = 0.1
    #: What may pass an account's limit on requests.
    limit_tolerance: OvershootBudget = OvershootBudget()
