"""Membership of the fleet: the platform's list, corrected by pings and gossip."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.membership.peer_messages import Ack, MemberFact, MemberState, Ping
from citrondyke.ids import AvailabilityZone, InstanceId
from citrondyke.storage.fleet_lists import ListedInstance, ListedState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.decisions.core.context import Context

__all__ = ('Members',)

#: Facts piggybacked on one ping or ack.
FACTS_PER_MESSAGE = 6
#: How often a fact is sent, for each doubling of the fleet size.
REPEATS_PER_DOUBLING = 3


class _Member(msgspec.Struct):
    listed: ListedInstance
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    is_listed: bool = True


class _MemberUpdate(msgspec.Struct):
    fact: MemberFact
    repeats_left: int


class Members:
    """SWIM-style membership whose cost per instance does not grow with the fleet.

    Each round one peer is pinged, in shuffled order. Two unanswered pings in a row make a peer a
    suspect, and this fact is piggybacked on the regular pings and acks. Decisions based on
    membership must tolerate errors: a wrong state costs latency only.
    """

    def __init__(self, context: Context) -> None:
        """Start without peers."""
        self.incarnation = 1
        self.is_leaving = False
        #: Incremented whenever the set of live instances changes.
        self.revision = 0
        self._context = context
        self._members: dict[InstanceId, _Member] = {}
        self._updates: dict[InstanceId, _MemberUpdate] = {}
        self._ping_order: list[InstanceId] = []
        self._number = 0
        #: Target of the last ping, until it is answered.
        self._awaited: InstanceId | None = None
        #: Peer that did not answer its last ping.
        self._missed_once: InstanceId | None = None

    def update_list(self, instances: Iterable[ListedInstance]) -> None:
        """Apply the platform's list, which may be stale."""
        listed = {each.id: each for each in instances if each.id != self._context.instance_id}
        for instance_id, entry in listed.items():
            member = self._members.get(instance_id)
            if member is None:
                self._members[instance_id] = _Member(entry)
                self.revision += 1
                continue
            if member.listed != entry:
                member.listed = entry
                self.revision += 1
        for instance_id in [each for each in self._members if each not in listed]:
            del self._members[instance_id]
            self._updates.pop(instance_id, None)
            self.revision += 1

    def next_ping(self) -> tuple[InstanceId, Ping] | None:
        """Finish the last round and return the next ping; ``None`` without peers.

        Call once a round.
        """
        unresponsive = self._awaited
        self._awaited = None
        if unresponsive is not None and unresponsive in self._members:
            if unresponsive == self._missed_once:
                self._missed_once = None
                self._mark_suspect(unresponsive)
                unresponsive = None
            else:
                # A single lost datagram must not move servers to another steward: ping once more.
                self._missed_once = unresponsive
        else:
            unresponsive = self._missed_once = None
        target = unresponsive or self._next_target()
        if target is None:
            return None
        self._number += 1
        self._awaited = target
        return target, Ping(self._number, self._facts_to_send(target))

    def on_ping(self, sender: InstanceId, ping: Ping) -> Ack:
        """Handle a ping and return the ack."""
        self._record_contact(sender)
        self._apply_facts(ping.facts)
        return Ack(ping.number, self._facts_to_send(sender))

    def on_ack(self, sender: InstanceId, ack: Ack) -> None:
        """Handle an ack."""
        if sender == self._awaited and ack.number == self._number:
            self._awaited = None
        self._record_contact(sender)
        self._apply_facts(ack.facts)

    def leave(self) -> None:
        """Publish that this instance is leaving and accepts no new work."""
        self.is_leaving = True
        self.incarnation += 1
        self._spread(self._own_fact())

    def leaving_ping(self) -> Ping:
        """Return a ping that notifies one peer directly that this instance is leaving."""
        self._number += 1
        return Ping(self._number, (self._own_fact(),))

    def peers(self) -> list[ListedInstance]:
        """List all other instances, including suspects."""
        return [member.listed for member in self._members.values()]

    def address(self, instance_id: InstanceId) -> ListedInstance | None:
        """Return an instance's entry in the list."""
        member = self._members.get(instance_id)
        return None if member is None else member.listed

    def state_of(self, instance_id: InstanceId) -> MemberState | None:
        """Return the known state of an instance."""
        member = self._members.get(instance_id)
        return None if member is None else member.state

    def alive(self) -> set[InstanceId]:
        """Return the instances that are not suspects, including leaving ones."""
        found = {
            instance_id
            for instance_id, member in self._members.items()
            if member.state is not MemberState.SUSPECT
        }
        found.add(self._context.instance_id)
        return found

    def live(self) -> list[tuple[InstanceId, AvailabilityZone]]:
        """List the instances that can be stewards, including this one.

        Unlike ``alive``, this excludes leaving instances.
        """
        found = [
            (member.listed.id, member.listed.zone)
            for member in self._members.values()
            if member.state is MemberState.ALIVE and member.listed.state is ListedState.LIVE
        ]
        if not self.is_leaving:
            found.append((self._context.instance_id, self._context.zone))
        return found

    def _next_target(self) -> InstanceId | None:
        while self._ping_order:
            candidate = self._ping_order.pop()
            if candidate in self._members:
                return candidate
        self._ping_order = sorted(self._members)
        self._context.random.shuffle(self._ping_order)
        return self._ping_order.pop() if self._ping_order else None

    def _record_contact(self, sender: InstanceId) -> None:
        """Mark a suspect as alive after a message from it; a leaving instance stays leaving."""
        member = self._members.get(sender)
        if member is None or member.state is not MemberState.SUSPECT:
            return
        member.state = MemberState.ALIVE
        self.revision += 1

    def _mark_suspect(self, instance_id: InstanceId) -> None:
        member = self._members.get(instance_id)
        if member is None or member.state is not MemberState.ALIVE:
            return
        member.state = MemberState.SUSPECT
        self.revision += 1
        self._spread(MemberFact(instance_id, MemberState.SUSPECT, member.incarnation))

    def _apply_facts(self, facts: Iterable[MemberFact]) -> None:
        for fact in facts:
            if fact.instance_id == self._context.instance_id:
                self._refute(fact)
                continue
            self._apply_fact(fact)

    def _refute(self, fact: MemberFact) -> None:
        """Refute a fact about this instance with a higher incarnation.

        After a freeze this is how the instance regains its stewardship.
        """
        if fact.state is MemberState.ALIVE or fact.incarnation < self.incarnation:
            return
        if self.is_leaving and fact.state is MemberState.LEAVING:
            return
        self.incarnation = fact.incarnation + 1
        self._spread(self._own_fact())

    def _apply_fact(self, fact: MemberFact) -> None:
        member = self._members.get(fact.instance_id)
        if member is None or fact.incarnation < member.incarnation:
            return
        is_newer = fact.incarnation > member.incarnation
        is_worse = fact.state is not MemberState.ALIVE and member.state is MemberState.ALIVE
        if not is_newer and not is_worse:
            return
        member.incarnation = fact.incarnation
        if member.state is not fact.state:
            member.state = fact.state
            self.revision += 1
        self._spread(fact)

    def _own_fact(self) -> MemberFact:
        state = MemberState.LEAVING if self.is_leaving else MemberState.ALIVE
        return MemberFact(self._context.instance_id, state, self.incarnation)

    def _spread(self, fact: MemberFact) -> None:
        doublings = max(1, len(self._members)).bit_length()
        self._updates[fact.instance_id] = _MemberUpdate(fact, REPEATS_PER_DOUBLING * doublings)

    def _facts_to_send(self, receiver: InstanceId) -> tuple[MemberFact, ...]:
        """Choose facts to piggyback; a suspect always gets its own, so that it can refute it."""
        chosen = sorted(self._updates.values(), key=lambda update: -update.repeats_left)
        chosen = chosen[:FACTS_PER_MESSAGE]
        for update in chosen:
            update.repeats_left -= 1
            if update.repeats_left <= 0:
                del self._updates[update.fact.instance_id]
        facts = [update.fact for update in chosen]
        member = self._members.get(receiver)
        if member is not None and member.state is MemberState.SUSPECT:
            facts.append(MemberFact(receiver, MemberState.SUSPECT, member.incarnation))
        return tuple(facts)
