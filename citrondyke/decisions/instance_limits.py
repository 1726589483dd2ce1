"""Limits and intervals of one instance's decision components."""

from __future__ import annotations

import msgspec

__all__ = ('InstanceLimits',)


class InstanceLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits and intervals of one instance's decision components."""

    #: How long an instance's lease counter must stay unchanged before others take over its work.
    lease_ms: float = 10_000.0
    #: Pause between two renewals of the lease.
    lease_renew_every_ms: float = 3000.0
    #: Pause between two polls of the configuration log, in addition to changes pushed by peers.
    config_poll_every_ms: float = 1500.0
    #: Pause between two polls of the platform's lists.
    lists_poll_every_ms: float = 1000.0
    #: Pause between two pings; each is sent to one peer.
    gossip_every_ms: float = 1000.0
    #: Pause between two load polls of each server that this instance is the steward of.
    load_poll_every_ms: float = 1000.0
    #: Timeout of one load poll.
    load_poll_timeout_ms: float = 400.0
    #: Online requests that may wait for a permit, for each target.
    waiting_limit: int = 256
    #: Online limit assumed for a server before its steward has learned one.
    first_online_limit: int = 64
    #: Items per segment; a segment is claimed and committed as a whole.
    segment_items: int = 256
    #: Longest time from the first uncommitted outcome of a job until it is visible.
    part_every_ms: float = 5000.0
    #: Segments held concurrently for each target.
    held_segments_limit: int = 4
    #: Polls for batch work per second, summed over all instances.
    fleet_looks_per_s: float = 200.0
    #: Shortest pause between two polls for batch work.
    shortest_look_ms: float = 250.0
    #: Group transactions per second for at-most-once requests, summed over all instances.
    fleet_intent_transactions_per_s: float = 55.0
    #: Pause between two sealed segments of audit records.
    evidence_every_ms: float = 60_000.0
    #: Audit records that may wait for the object store.
    evidence_records_limit: int = 100_000
