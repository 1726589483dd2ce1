"""Which other instances live: the platform's list, corrected by what peers say and by silence."""

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

#: Facts that ride on one ping or ack.
FACTS_PER_MESSAGE = 6
#: How often a fact is passed on, for each doubling of the fleet.
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
    """Probes one peer at a time and passes on what it learns, at a cost that does not grow.

    Each round one peer is pinged, in shuffled turns; two pings without an answer make their
    target a suspect, and the news rides on the pings and acks that are sent anyway. What is
    decided from it is advice only: it may be wrong, at the price of latency.
    """

    def __init__(self, context: Context) -> None:
        """Start alone."""
        self.incarnation = 1
        self.is_leaving = False
        #: Raised whenever the set of live instances changes.
        self.revision = 0
        self._context = context
        self._members: dict[InstanceId, _Member] = {}
        self._updates: dict[InstanceId, _MemberUpdate] = {}
        self._ping_order: list[InstanceId] = []
        self._number = 0
        #: Whom the last ping was sent to, while it is not answered.
        self._awaited: InstanceId | None = None
        #: Who did not answer one ping.
        self._missed_once: InstanceId | None = None

    def update_list(self, instances: Iterable[ListedInstance]) -> None:
        """Take in the platform's list, which may be old."""
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
        """Close the last round and begin the next; ``None`` without peers.

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
                # One lost datagram must not move servers to another steward: ask once more.
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
        """Answer a ping."""
        self._record_contact(sender)
        self._apply_facts(ping.facts)
        return Ack(ping.number, self._facts_to_send(sender))

    def on_ack(self, sender: InstanceId, ack: Ack) -> None:
        """Take in an answer."""
        if sender == self._awaited and ack.number == self._number:
            self._awaited = None
        self._record_contact(sender)
        self._apply_facts(ack.facts)

    def leave(self) -> None:
        """Tell all that this instance takes on nothing more."""
        self.is_leaving = True
        self.incarnation += 1
        self._spread(self._own_fact())

    def leaving_ping(self) -> Ping:
        """Make a ping that tells one peer directly that this instance leaves."""
        self._number += 1
        return Ping(self._number, (self._own_fact(),))

    def peers(self) -> list[ListedInstance]:
        """List all instances worth a message, suspects included."""
        return [member.listed for member in self._members.values()]

    def address(self, instance_id: InstanceId) -> ListedInstance | None:
        """Give an instance's entry in the list."""
        member = self._members.get(instance_id)
        return None if member is None else member.listed

    def state_of(self, instance_id: InstanceId) -> MemberState | None:
        """Give what is believed of an instance."""
        member = self._members.get(instance_id)
        return None if member is None else member.state

    def alive(self) -> set[InstanceId]:
        """Give the instances that are not suspected, those that are leaving included."""
        found = {
            instance_id
            for instance_id, member in self._members.items()
            if member.state is not MemberState.SUSPECT
        }
        found.add(self._context.instance_id)
        return found

    def live(self) -> list[tuple[InstanceId, AvailabilityZone]]:
        """List the instances that can look after a server, this one included."""
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
        """Believe in a peer that speaks, until it says itself that it leaves."""
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
        """Answer a rumour of one's own death; after a freeze it is how stewardship comes back."""
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
        """Choose what rides along; a suspect is always told, so that it can refute."""
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
