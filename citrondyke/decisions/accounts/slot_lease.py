"""The lease of a slot: one instance at a time counts its accounts."""

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
from citrondyke.util.hashing import content_bucket

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.slot_placement import SlotPlacement
    from citrondyke.decisions.core.context import Context

__all__ = ('LEASE_MS', 'RENEW_MS', 'SlotLease')

#: Time for which a lease holds from when it was asked for. Three renewals, so that two lost
#: datagrams cost nothing; an account waits so long for the next steward.
LEASE_MS = 600.0
RENEW_MS = 200.0
#: A witness keeps its word longer than the lease holds: clocks run apart by less.
VOTE_HOLD_MS = 700.0
#: Silence of the keepers before it after which one asks for the lease itself.
TAKEOVER_MS = 800.0
#: Keepers that have been the same for so long are the same to everybody: heartbeats of newcomers
#: are read every three seconds in the largest fleets.
STABLE_VIEW_MS = 4_000.0
#: A copy of a lease that was last heard of so long ago may not be that of the last one: others may
#: have become keepers meanwhile, unknown to this one.
COPY_EXPIRY_MS = 3_000.0


class _LeaseRequest(msgspec.Struct):
    asked_ms: float
    #: Since when each keeper that gave its word has promised nobody else.
    granted: dict[InstanceId, float] = {}
    #: What each of them knows of the last lease.
    copies: dict[InstanceId, SlotCopy | None] = {}
    is_rejected: bool = False


class _ReceivedCopy(msgspec.Struct):
    copy: SlotCopy
    holder: InstanceId
    #: When it came, and when its holder was last heard of.
    taken_ms: float
    heard_ms: float


class SlotLease:
    """Holder, candidate and witness of one slot, by the clock that runs on in a suspended machine.

    Two instances that both count an account let through twice its limit. A lease needs the word of
    two of the slot's three keepers, and a keeper gives its word to one at a time. While views of
    the fleet differ, two sets of keepers may have no such two in common: a newcomer to the fleet
    has one word of its set, the holder before it has others. So a lease is taken over only if no
    keeper refuses, and without a silent one's word only by keepers that are long known.
    """

    def __init__(
        self, context: Context, placement: SlotPlacement, slot: int, began_ms: float
    ) -> None:
        """Promise nothing for a while: the life before may have given its word until its end.

        :param began_ms: when this life certainly had begun, by the fence clock.
        """
        self._context = context
        self._placement = placement
        self._slot = slot
        self._voted_for = InstanceId('')
        self._vote_until_ms = began_ms + VOTE_HOLD_MS
        #: Since when nobody else has had this keeper's word.
        self._no_other_vote_since_ms = began_ms
        self._began_ms = began_ms
        #: When each keeper last asked for the lease, and when it last said anything.
        self._last_request_ms: dict[InstanceId, float] = {}
        self._last_message_ms: dict[InstanceId, float] = {}
        self._replicas: list[InstanceId] = []
        self._replicas_since_ms = began_ms
        self._held_until_ms = float('-inf')
        self._requests: dict[int, _LeaseRequest] = {}
        self._next_number = 0
        #: Since when certainly nobody else has counted the slot's accounts; each time that the
        #: lease is taken over it is another one.
        self.held_since_ms = float('-inf')
        #: What is certainly known of the lease before this one.
        self.previous_copy: SlotCopy | None = None
        self._received_copy: _ReceivedCopy | None = None

    @property
    def is_held(self) -> bool:
        """Tell whether this instance counts the slot's accounts now."""
        return self._now_ms() < self._held_until_ms

    @property
    def held_until_ms(self) -> float:
        """Give when the lease ends if it is not renewed."""
        return self._held_until_ms

    def other_replicas(self) -> list[InstanceId]:
        """List who keeps the slot beside this instance."""
        return [each for each in self._current_replicas() if each != self._context.instance_id]

    def replica_set_id(self) -> int:
        """Name the set of keepers; all of one set give it the same name."""
        return content_bucket('\n'.join(sorted(self._current_replicas())).encode()) & 0xFFFF_FFFF

    def record_own_copy(self, copy: SlotCopy) -> None:
        """Take in what this instance, as the holder, knows of its lease."""
        now_ms = self._now_ms()
        self._received_copy = _ReceivedCopy(copy, self._context.instance_id, now_ms, now_ms)

    def merge_copy(self, sender: InstanceId, copy: SlotCopy) -> bool:
        """Take in a holder's floors; tell whether this keeper will hand them on."""
        if self._voted_for != sender or self.is_held:
            return False
        known = self._received_copy
        now_ms = self._now_ms()
        if known is None or known.copy.era != copy.era or known.copy.number <= copy.number:
            self._received_copy = _ReceivedCopy(copy, sender, now_ms, now_ms)
        return True

    def tick(self) -> list[Addressed]:
        """Ask for the lease where it is this instance's turn."""
        replicas = self._current_replicas()
        own_id = self._context.instance_id
        if own_id not in replicas or not self._may_request(replicas.index(own_id), replicas):
            return []
        now_ms = self._now_ms()
        if not self._vote_for(own_id):
            # The life before may have given its word. Others that know who is about to ask do not
            # ask themselves meanwhile, which would split the words of the keepers.
            is_new = not self._voted_for
            early = LeaseAsked(self._slot, 0, is_early=True)
            return [Addressed(each, early) for each in self.other_replicas() if is_new]
        if len(replicas) == 1:
            self._acquire_or_renew(_LeaseRequest(now_ms), replicas)
            return []
        self._next_number += 1
        self._requests[self._next_number] = _LeaseRequest(now_ms)
        for number in [
            n for n, request in self._requests.items() if request.asked_ms < now_ms - LEASE_MS
        ]:
            del self._requests[number]
        asked = LeaseAsked(self._slot, self._next_number, self.is_held)
        return [Addressed(replica, asked) for replica in replicas if replica != own_id]

    def on_lease_request(self, sender: InstanceId, asked: LeaseAsked) -> list[Addressed]:
        """Answer as a witness."""
        replicas = self._current_replicas()
        if asked.is_early:
            self._last_message_ms[sender] = self._now_ms()
            if not self.is_held:
                self._last_request_ms[sender] = self._now_ms()
            return []
        self._last_request_ms[sender] = self._last_message_ms[sender] = self._now_ms()
        if self._received_copy is not None and self._received_copy.holder == sender:
            self._received_copy.heard_ms = self._now_ms()
        is_known = sender in replicas and self._context.instance_id in replicas
        is_granted = is_known and not self.is_held and self._vote_for(sender)
        free_ms = self._now_ms() - self._no_other_vote_since_ms
        copy = self._current_copy() if is_granted and not asked.is_renewal else None
        answer = LeaseAnswered(self._slot, asked.number, is_granted, free_ms, copy)
        return [Addressed(sender, answer)]

    def on_lease_reply(self, sender: InstanceId, answered: LeaseAnswered) -> None:
        """Take a witness's word in."""
        self._last_message_ms[sender] = self._now_ms()
        request = self._requests.get(answered.number)
        replicas = self._current_replicas()
        if request is None or sender not in replicas:
            return
        if answered.is_granted:
            request.granted[sender] = self._now_ms() - answered.free_ms
            request.copies[sender] = answered.copy
        else:
            request.is_rejected = True
        has_majority = len(request.granted) + 1 > len(replicas) / 2
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
        """Tell whether all keepers before this one are silent; the holder gives way to them."""
        now_ms = self._now_ms()
        return all(
            now_ms - self._last_request_ms.get(replica, self._began_ms) > TAKEOVER_MS * (place + 1)
            for place, replica in enumerate(reversed(replicas[:rank]))
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
                # Whoever had the word since may have had the lease too.
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
        """Give what this keeper knows of the last lease; ``None`` where it may not be the last."""
        known = self._received_copy
        now_ms = self._now_ms()
        if known is None:
            return None
        heard_ms = known.heard_ms
        if known.holder == self._context.instance_id:
            heard_ms = max(heard_ms, min(now_ms, self._held_until_ms))
        if now_ms - heard_ms > COPY_EXPIRY_MS:
            return None
        filled_ms = known.copy.filled_ms + now_ms - known.taken_ms
        return msgspec.structs.replace(known.copy, filled_ms=filled_ms)

    def _agreed_copy(self, request: _LeaseRequest) -> SlotCopy | None:
        """Give the newest copy if all keepers that gave their word know the same lease.

        One that knows another lease, or none, may have missed the last one or be the only one
        that has not.
        """
        copies = [self._current_copy(), *request.copies.values()]
        name = self.replica_set_id()
        known = [each for each in copies if each is not None and each.keepers == name]
        if len(known) < len(copies) or len({each.era for each in known}) != 1:
            return None
        return max(known, key=lambda each: each.number)

    def _unheld_since_ms(self, request: _LeaseRequest, replicas: list[InstanceId]) -> float:
        """Give since when nobody has held the lease, by the words of all keepers.

        After a loss of all instances that is since the last of them began: what an account may
        have had meanwhile is not taken from it.
        """
        now_ms = self._now_ms()
        if self._missing_votes(request, replicas):
            return now_ms
        return min(
            now_ms,
            max(
                self._no_other_vote_since_ms,
                self._held_until_ms,
                *request.granted.values(),
                0.0,
            ),
        )

    def _missing_votes(self, request: _LeaseRequest, replicas: list[InstanceId]) -> set[InstanceId]:
        return set(replicas) - request.granted.keys() - {self._context.instance_id}

    def _now_ms(self) -> float:
        return self._context.clock.fence_ms()
