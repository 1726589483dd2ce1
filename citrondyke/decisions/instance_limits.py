"""The bounds and pauses of one instance's decisions."""

from __future__ import annotations

import msgspec

__all__ = ('InstanceLimits',)


class InstanceLimits(msgspec.Struct, frozen=True, kw_only=True):
    """The bounds and pauses of one instance's decisions."""

    #: How long an instance's lease counter must stand still before others take its work over.
    lease_ms: float = 10_000.0
    #: Pause between two renewals of the lease.
    lease_renew_every_ms: float = 3000.0
    #: Pause between two looks at the configuration's log, beside what peers push.
    config_poll_every_ms: float = 1500.0
    #: Pause between two looks at the platform's lists.
    lists_poll_every_ms: float = 1000.0
    #: Pause between two pings; each goes to one peer.
    gossip_every_ms: float = 1000.0
    #: Pause between two looks at the load of each server that this instance looks after.
    load_poll_every_ms: float = 1000.0
    #: Timeout of such a look.
    load_poll_timeout_ms: float = 400.0
    #: Online requests that may wait for a place, for each target.
    waiting_limit: int = 256
    #: Online requests that a server is taken to bear before its steward has learned it.
    first_online_limit: int = 64
    #: Items of a job that are claimed and committed together.
    segment_items: int = 256
    #: Outcomes of a job become visible at the latest so long after the first of them.
    part_every_ms: float = 5000.0
    #: Segments held at once for each target.
    held_segments_limit: int = 4
    #: Looks for batch work, over all instances, a second.
    fleet_looks_per_s: float = 200.0
    #: Shortest pause between two looks for batch work.
    shortest_look_ms: float = 250.0
    #: Group transactions for requests that run at most once, over all instances, a second.
    fleet_intent_transactions_per_s: float = 55.0
    #: Pause between two objects of outcome records.
    evidence_every_ms: float = 60_000.0
    #: Outcome records that may wait for the object store.
    evidence_records_limit: int = 100_000
