"""The lease of a slot: at most one instance at a time counts its accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.accounts.limit_messages import (
    Addressed,
    LeaseAnswered,
    LeaseAsked,
    SlotCopy,
)
from citrondyke.ids import InstanceId
from citrondyke.util.hashing import content_hash

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.slot_placement import SlotPlacement
    from citrondyke.decisions.core.context import Context

__all__ = ('LEASE_MS', 'RENEW_MS', 'SlotLease')

#: Time for which a lease is valid, from the moment of its request. It covers three renewals, so two
#: lost datagrams do no harm. A longer lease would delay the successor of a dead steward.
LEASE_MS = 600.0
RENEW_MS = 200.0
#: Time for which a voter keeps its vote. Longer than the lease by more than clocks drift apart.
VOTE_HOLD_MS = 700.0
#: A replica requests the lease itself after the replicas ranked before it have sent no request for
#: this time.
TAKEOVER_MS = 800.0
#: A replica set that hasn't changed for this time is known to all instances: the heartbeats of new
#: instances are read every three seconds in the largest fleets.
STABLE_VIEW_MS = 4_000.0
#: A copy of a lease whose holder hasn't sent a message for this time may be stale: other instances
#: may have become replicas meanwhile, unknown to this one.
COPY_EXPIRY_MS = 3_000.0


class _LeaseRequest(msgspec.Struct):
    asked_ms: float
    #: Time since which each replica that granted the request has voted for no other instance.
    granted_since_ms: dict[InstanceId, float] = {}
    #: Copy of the last lease at each of these replicas.
    copies: dict[InstanceId, SlotCopy | None] = {}
    is_rejected: bool = False


class _ReceivedCopy(msgspec.Struct):
    copy: SlotCopy
    holder: InstanceId
    #: Time of receipt, and time of the last message from the holder.
    received_ms: float
    holder_seen_ms: float


class SlotLease:
    """State of one slot's lease at a holder, candidate or voter.

    Prevents two instances from counting the same account, which would grant twice its limit. A
    lease needs the votes of two of the slot's three replicas, and a replica votes for one instance
    at a time. While views of the fleet differ, the majorities of two replica sets may have no
    member in common: a new instance may have a vote of its set while the current holder has votes
    of another set. So a lease is acquired only if no replica rejects the request, and without the
    vote of an unresponsive replica only by a replica set that has been stable for some time.

    All times are those of the fence clock, which goes on while the machine is suspended.
    """

    def __init__(
        self, context: Context, placement: SlotPlacement, slot: int, began_ms: float
    ) -> None:
        """Initialize the lease state; withhold votes at first.

        The previous incarnation may have voted until its end, and its vote must expire first.

        :param began_ms: a time at which this incarnation had already begun, by the fence clock.
        """
        self._context = context
        self._placement = placement
        self._slot = slot
        self._voted_for = InstanceId('')
        self._vote_until_ms = began_ms + VOTE_HOLD_MS
        #: Time since which no other instance has had this replica's vote.
        self._no_other_vote_since_ms = began_ms
        self._began_ms = began_ms
        #: Time of the last lease request, and of the last message of any kind, from each replica.
        self._last_request_ms: dict[InstanceId, float] = {}
        self._last_message_ms: dict[InstanceId, float] = {}
        self._replicas: list[InstanceId] = []
        self._replicas_since_ms = began_ms
        self._held_until_ms = float('-inf')
        self._requests: dict[int, _LeaseRequest] = {}
        self._next_number = 0
        #: Time since which no other instance can have counted the slot's accounts. It differs for
        #: each acquisition of the lease.
        self.held_since_ms = float('-inf')
        #: Confirmed copy of the lease before this one; ``None`` if there is none.
        self.previous_copy: SlotCopy | None = None
        self._received_copy: _ReceivedCopy | None = None

    @property
    def is_held(self) -> bool:
        """Whether this instance holds the lease now."""
        return self._now_ms() < self._held_until_ms

    @property
    def held_until_ms(self) -> float:
        """Time at which the lease expires unless it is renewed."""
        return self._held_until_ms

    def other_replicas(self) -> list[InstanceId]:
        """Return the other replicas of the slot."""
        return [each for each in self._current_replicas() if each != self._context.instance_id]

    def replica_set_id(self) -> int:
        """Return an identifier of the replica set, the same at all its members."""
        return content_hash('\n'.join(sorted(self._current_replicas())).encode()) & 0xFFFF_FFFF

    def record_own_copy(self, copy: SlotCopy) -> None:
        """Record the copy of this instance's own lease."""
        now_ms = self._now_ms()
        self._received_copy = _ReceivedCopy(copy, self._context.instance_id, now_ms, now_ms)

    def merge_copy(self, sender: InstanceId, copy: SlotCopy) -> bool:
        """Merge a copy from the holder.

        :returns: whether this replica will pass the copy on to the next holder.
        """
        if self._voted_for != sender or self.is_held:
            return False
        known = self._received_copy
        now_ms = self._now_ms()
        if known is None or known.copy.era != copy.era or known.copy.number <= copy.number:
            self._received_copy = _ReceivedCopy(copy, sender, now_ms, now_ms)
        return True

    def tick(self) -> list[Addressed]:
        """Request or renew the lease if this instance is the candidate."""
        replicas = self._current_replicas()
        own_id = self._context.instance_id
        if own_id not in replicas or not self._may_request(replicas.index(own_id), replicas):
            return []
        now_ms = self._now_ms()
        if not self._vote_for(own_id):
            # The previous incarnation's vote may still be valid. Replicas that know of the coming
            # request don't request the lease themselves, which would split the votes.
            is_new = not self._voted_for
            announcement = LeaseAsked(self._slot, 0, is_early=True)
            return [Addressed(each, announcement) for each in self.other_replicas() if is_new]
        if len(replicas) == 1:
            self._acquire_or_renew(_LeaseRequest(now_ms), replicas)
            return []
        self._next_number += 1
        self._requests[self._next_number] = _LeaseRequest(now_ms)
        for number in [
            n for n, request in self._requests.items() if request.asked_ms < now_ms - LEASE_MS
        ]:
            del self._requests[number]
        message = LeaseAsked(self._slot, self._next_number, self.is_held)
        return [Addressed(replica, message) for replica in replicas if replica != own_id]

    def on_lease_request(self, sender: InstanceId, message: LeaseAsked) -> list[Addressed]:
        """Handle a lease request as a voter."""
        replicas = self._current_replicas()
        if message.is_early:
            self._last_message_ms[sender] = self._now_ms()
            if not self.is_held:
                self._last_request_ms[sender] = self._now_ms()
            return []
        self._last_request_ms[sender] = self._last_message_ms[sender] = self._now_ms()
        if self._received_copy is not None and self._received_copy.holder == sender:
            self._received_copy.holder_seen_ms = self._now_ms()
        is_known = sender in replicas and self._context.instance_id in replicas
        is_granted = is_known and not self.is_held and self._vote_for(sender)
        free_ms = self._now_ms() - self._no_other_vote_since_ms
        copy = self._current_copy() if is_granted and not message.is_renewal else None
        answer = LeaseAnswered(self._slot, message.number, is_granted, free_ms, copy)
        return [Addressed(sender, answer)]

    def on_lease_reply(self, sender: InstanceId, reply: LeaseAnswered) -> None:
        """Handle a voter's reply, and acquire or renew the lease on a majority."""
        self._last_message_ms[sender] = self._now_ms()
        request = self._requests.get(reply.number)
        replicas = self._current_replicas()
        if request is None or sender not in replicas:
            return
        if reply.is_granted:
            request.granted_since_ms[sender] = self._now_ms() - reply.free_ms
            request.copies[sender] = reply.copy
        else:
            request.is_rejected = True
        has_majority = len(request.granted_since_ms) + 1 > len(replicas) / 2
        if has_majority and (self.is_held or self._may_acquire(request, replicas)):
            self._acquire_or_renew(request, replicas)

    def _may_acquire(self, request: _LeaseRequest, replicas: list[InstanceId]) -> bool:
        if request.is_rejected:
            return False
        now_ms = self._now_ms()
        missing = self._missing_votes(request, replicas)
        if missing and now_ms < self._replicas_since_ms + STABLE_VIEW_MS:
            return False
        return all(
            now_ms > self._last_message_ms.get(replica, self._began_ms) + VOTE_HOLD_MS
            for replica in missing
        )

    def _current_replicas(self) -> list[InstanceId]:
        replicas = self._placement.replicas(self._slot)
        if replicas is not self._replicas and replicas != self._replicas:
            self._replicas_since_ms = self._now_ms()
        self._replicas = replicas
        return replicas

    def _may_request(self, rank: int, replicas: list[InstanceId]) -> bool:
        """Return whether all replicas ranked before this one have stopped requesting the lease.

        A holder yields to a replica ranked before it.
        """
        now_ms = self._now_ms()
        return all(
            now_ms - self._last_request_ms.get(replica, self._began_ms)
            > TAKEOVER_MS * (position + 1)
            for position, replica in enumerate(reversed(replicas[:rank]))
        )

    def _vote_for(self, candidate: InstanceId) -> bool:
        now_ms = self._now_ms()
        if self._voted_for != candidate and now_ms < self._vote_until_ms:
            return False
        if self._voted_for != candidate:
            if self._voted_for:
                self._no_other_vote_since_ms = max(
                    self._no_other_vote_since_ms, self._vote_until_ms
                )
            if self._received_copy is not None and self._received_copy.holder != self._voted_for:
                # The instance that had the vote meanwhile may have held the lease too.
                self._received_copy = None
        self._voted_for = candidate
        self._vote_until_ms = now_ms + VOTE_HOLD_MS
        return True

    def _acquire_or_renew(self, request: _LeaseRequest, replicas: list[InstanceId]) -> None:
        if not self.is_held:
            self.held_since_ms = self._unheld_since_ms(request, replicas)
            self.previous_copy = self._agreed_copy(request)
        self._held_until_ms = max(self._held_until_ms, request.asked_ms + LEASE_MS)

    def _current_copy(self) -> SlotCopy | None:
        """Return this replica's copy of the last lease; ``None`` if it may be stale."""
        known = self._received_copy
        now_ms = self._now_ms()
        if known is None:
            return None
        holder_seen_ms = known.holder_seen_ms
        if known.holder == self._context.instance_id:
            holder_seen_ms = max(holder_seen_ms, min(now_ms, self._held_until_ms))
        if now_ms - holder_seen_ms > COPY_EXPIRY_MS:
            return None
        filled_ms = known.copy.filled_ms + now_ms - known.received_ms
        return msgspec.structs.replace(known.copy, filled_ms=filled_ms)

    def _agreed_copy(self, request: _LeaseRequest) -> SlotCopy | None:
        """Return the newest copy if all replicas that granted the request know the same lease.

        A replica that knows another lease, or none, may have missed the last one, or may be the
        only one that knows the last one.
        """
        copies = [self._current_copy(), *request.copies.values()]
        own_set_id = self.replica_set_id()
        known = [each for each in copies if each is not None and each.keepers == own_set_id]
        if len(known) < len(copies) or len({each.era for each in known}) != 1:
            return None
        return max(known, key=lambda each: each.number)

    def _unheld_since_ms(self, request: _LeaseRequest, replicas: list[InstanceId]) -> float:
        """Return the time since which no instance has held the lease; now if votes are missing.

        After a crash of all instances this is the time at which the last replica started, so the
        account quotas have refilled since then.
        """
        now_ms = self._now_ms()
        if self._missing_votes(request, replicas):
            return now_ms
        return min(
            now_ms,
            max(
                self._no_other_vote_since_ms,
                self._held_until_ms,
                *request.granted_since_ms.values(),
                0.0,
            ),
        )

    def _missing_votes(self, request: _LeaseRequest, replicas: list[InstanceId]) -> set[InstanceId]:
        return set(replicas) - request.granted_since_ms.keys() - {self._context.instance_id}

    def _now_ms(self) -> float:
        return self._context.clock.fence_ms()
