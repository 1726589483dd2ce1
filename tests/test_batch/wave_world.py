"""Owners of batch items and online callers on one service, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from functools import partial

import msgspec

from citrondyke.decisions.batch.batch_demand import DemandNotice
from citrondyke.decisions.batch.batch_scheduler import BatchScheduler, RunningItem, urgency
from citrondyke.decisions.batch.item_priority import ItemPriority, batch_demand_of, priority_of
from citrondyke.decisions.batch.start_rate_limiter import StartRateLimiter
from citrondyke.decisions.forwarding.load_notices import TOTALS_EVERY_MS, LoadNotices, ServerLoad
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.ids import InstanceId, ServerId, ServiceName
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server

__all__ = ('Item', 'WaveWorld')

SERVICE = ServiceName('lm')
SLOTS = 8
TARGET_MS = 300.0
POLL_MS = 25.0
COUNT_MS = 100.0
#: Mean service time of a request, and time in which a resumed run processes its prompt again.
SERVICE_TIME_MS = 700.0
PREFILL_MS = 30.0
#: Time per event; an item has at least one more until it ends.
EVENT_MS = 30.0
LONGEST_MS = 120_000.0


class Item(msgspec.Struct, eq=False):
    """A batch item; an online request if ``due_ms`` is 0."""

    left_ms: float
    due_ms: float = 0.0
    server: ServerId | None = None
    at_instance: int = 0
    entered_ms: float = 0.0
    started_ms: float | None = None
    ended_ms: float | None = None
    done_ms: float = 0.0
    preemptions_count: int = 0


class ZoneTotals(msgspec.Struct):
    """Load of all instances on the servers of a zone."""

    loads: list[ServerLoad]


Notice = ZoneTotals | list[ServerLoad] | list[DemandNotice]


class Instance:
    """One owner of batch items that also receives online requests."""

    def __init__(self, clock: ManualClock, number: int, zone: str) -> None:
        context = manual_context(clock, f'i{number}', zone, seed=number)
        self.context = context
        self.book = ServerRegistry(context)
        self.book.on_choose(self.process_inbox)
        self.rate_limiter = StartRateLimiter(context, self.book.topology)
        self.scheduler = BatchScheduler(context, self.book, self.rate_limiter)
        self.notices = LoadNotices(context, self.book)
        self.inbox: list[tuple[InstanceId, Notice]] = []
        self.waiting: list[Item] = []
        self.running: list[Item] = []
        self.is_dead = False
        self.is_publishing = False

    def process_inbox(self) -> None:
        for sender, told in self.inbox:
            if isinstance(told, ZoneTotals):
                self.notices.record_totals(told.loads)
            elif told and isinstance(told[0], ServerLoad):
                self.notices.record_peer_counts(sender, told)
            else:
                self.rate_limiter.demand.record_peer_demand(sender, told)  # type: ignore[arg-type]
        self.inbox.clear()


class Server:
    """Running requests and a queue in order of arrival."""

    def __init__(self) -> None:
        self.running: list[Item] = []
        self.queue: deque[Item] = deque()
        self.is_down = False


class WaveWorld:
    """Items of some length in a fleet of several zones."""

    def __init__(
        self,
        instances_count: int,
        servers_count: int,
        zones_count: int = 1,
        item_ms: float = 1_000.0,
        spread: float = 0.25,
        loss: float = 0.0,
        slots_count: int = SLOTS,
    ) -> None:
        self.clock = ManualClock()
        self.random = random.Random(7)
        self.item_ms, self.spread, self.loss = item_ms, spread, loss
        self.slots_count = slots_count
        zones = [f'zone-{n}' for n in range(zones_count)]
        self.instances = [
            Instance(self.clock, n, zones[n % zones_count]) for n in range(instances_count)
        ]
        self.by_id = {each.context.instance_id: each for each in self.instances}
        listed = [
            listed_server(f's{n}', SERVICE, slots_count, zones[n % zones_count])
            for n in range(servers_count)
        ]
        self.servers = {each.id: Server() for each in listed}
        for each in self.instances:
            others = [other.context for other in self.instances if other is not each]
            each.book.topology.replace({other.instance_id: other.zone for other in others})
            each.book.replace(listed)
        self.items: list[Item] = []
        self.waits_ms: list[float] = []
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        for each in self.instances:
            self.after(self.random.uniform(0, POLL_MS), partial(self._poll, each))
            self.after(self.random.uniform(0, TOTALS_EVERY_MS), partial(self._publish_totals, each))

    def after(self, wait_ms: float, work: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.clock.ms + wait_ms, next(self._numbers), work))

    def run(self, until: Callable[[], bool]) -> None:
        while not until():
            assert self.clock.ms < LONGEST_MS
            self.clock.ms, _, work = heapq.heappop(self._heap)
            work()

    def add(self, instance: Instance, count: int, due_in_ms: float) -> None:
        """Submit a job."""
        for _ in range(count):
            length_ms = max(0.1, self.random.gauss(1.0, self.spread)) * self.item_ms
            item = Item(length_ms, self.clock.ms + due_in_ms)
            self.items.append(item)
            instance.waiting.append(item)

    def online(self, per_s: Callable[[float], float]) -> None:
        """Generate online requests from now on.

        :param per_s: returns the rate at a time.
        """

        def arrive() -> None:
            self.send_online(self.random.expovariate(1 / SERVICE_TIME_MS))
            self.after(self.random.expovariate(per_s(self.clock.ms) / 1e3), arrive)

        arrive()

    def send_online(self, length_ms: float) -> None:
        """Send one online request through any instance."""
        instance = self.random.choice(self.instances)
        state = instance.book.choose_server(SERVICE, (), '')
        if state is not None and not instance.is_dead:
            self._enter(instance, state.listed.id, Item(length_ms))

    def crash_server(self, server_id: ServerId) -> None:
        """Stop a server and remove it from the registries of all instances."""
        server = self.servers[server_id]
        server.is_down = True
        runs = [*server.running, *server.queue]
        for each in self.instances:
            each.book.replace(
                state.listed for state in list(each.book.states()) if state.listed.id != server_id
            )
            for item in [run for run in runs if run in each.running]:
                self._stop(each, item)

    def kill(self, instance: Instance, successor: Instance) -> None:
        """Stop an owner; another one claims its items after some time."""
        instance.is_dead = True
        items = instance.waiting + instance.running
        for item in list(instance.running):
            self._stop(instance, item)
        instance.waiting = []
        self.after(1_000.0, lambda: successor.waiting.extend(items))

    def _poll(self, each: Instance) -> None:
        if each.is_dead:
            return
        self.after(POLL_MS, lambda: self._poll(each))
        each.process_inbox()
        if not each.waiting and not each.running:
            return
        self._preempt(each)
        now_ms = self.clock.ms
        if each.waiting:
            each.scheduler.observe_online_load(SERVICE)
        if int(now_ms / COUNT_MS) != int((now_ms - POLL_MS) / COUNT_MS):
            priorities = [self._priority(item) for item in each.waiting]
            own = [batch_demand_of(SERVICE, priorities, now_ms)] if priorities else []
            each.rate_limiter.demand.record_own_demand(own)
            told = each.rate_limiter.demand.take_due_notices()
            if told is not None:
                self._send(each, told, each.book.topology.mesh_peers())
        self._start(each)

    def _priority(self, item: Item) -> ItemPriority:
        slack_ms = item.due_ms - self.clock.ms - self._expected_ms(item)
        has_begun = item.preemptions_count > 0
        return priority_of(slack_ms, self.item_ms * self.spread, has_begun=has_begun)

    def _expected_ms(self, item: Item) -> float:
        """Return the expected remaining run time; the true one is unknown until the item ends."""
        return max(1.0, self.item_ms - item.done_ms)

    def _start(self, each: Instance) -> None:
        each.waiting.sort(key=lambda item: self._priority(item).order)
        while each.waiting:
            item = each.waiting[0]
            urgency_now = urgency(item.due_ms, self.clock.ms, self._expected_ms(item))
            state = each.scheduler.choose_server(SERVICE, urgency_now)
            if state is None:
                return
            each.waiting.pop(0)
            each.running.append(item)
            self._enter(each, state.listed.id, item)

    def _preempt(self, each: Instance) -> None:
        lives = {
            state.incarnation: state
            for item in each.running
            if item.server and (state := each.book.state(item.server)) is not None
        }
        overloaded_servers = each.scheduler.overloaded_servers(lives)
        items = [
            (item, life)
            for item in each.running
            for life in sorted(overloaded_servers)
            if lives[life].listed.id == item.server
        ]
        running = []
        for number, (item, life) in enumerate(items):
            ran_ms = self.clock.ms - item.started_ms if item.started_ms else 0.0
            left_ms = max(EVENT_MS, self._expected_ms(item) - ran_ms)
            stands = urgency(item.due_ms, self.clock.ms, left_ms)
            running.append(RunningItem(number, life, item.entered_ms, stands, left_ms, TARGET_MS))
        for chosen in each.scheduler.items_to_preempt(running):
            item = items[chosen.number][0]
            item.preemptions_count += 1
            self._stop(each, item)

    def _enter(self, each: Instance, server_id: ServerId, item: Item) -> None:
        server = self.servers[server_id]
        item.server, item.entered_ms, item.started_ms = server_id, self.clock.ms, None
        item.at_instance = self.instances.index(each)
        self._count(each, item, 1)
        server.queue.append(item)
        self._begin(server)

    def _begin(self, server: Server) -> None:
        while server.queue and len(server.running) < self.slots_count and not server.is_down:
            item = server.queue.popleft()
            item.started_ms = self.clock.ms
            server.running.append(item)
            if not item.due_ms:
                self.waits_ms.append(self.clock.ms - item.entered_ms)
            at = (item.server, item.entered_ms)
            self.after(item.left_ms, partial(self._end, item, at))

    def _end(self, item: Item, at: tuple[ServerId | None, float]) -> None:
        if (item.server, item.entered_ms) == at:
            item.ended_ms = self.clock.ms
            owner = self.instances[item.at_instance]
            self._leave(owner, item)
            if item.due_ms and not owner.is_dead:
                self._start(owner)

    def _stop(self, each: Instance, item: Item) -> None:
        if item.started_ms is not None:
            ran_ms = self.clock.ms - item.started_ms
            item.left_ms += PREFILL_MS - ran_ms
            item.done_ms += ran_ms - PREFILL_MS
        self._leave(each, item)
        if not each.is_dead:
            each.waiting.append(item)

    def _leave(self, each: Instance, item: Item) -> None:
        assert item.server is not None
        server = self.servers[item.server]
        self._count(each, item, -1)
        if item in server.running:
            server.running.remove(item)
        elif item in server.queue:
            server.queue.remove(item)
        if item in each.running:
            each.running.remove(item)
        item.server = None
        self._begin(server)

    def _count(self, each: Instance, item: Item, change: int) -> None:
        state = each.book.state(item.server or ServerId(''))
        if state is None:
            return
        if item.due_ms:
            state.own.batch += change
        else:
            state.own.online += change
        if not each.is_publishing:
            each.is_publishing = True
            self.after(each.notices.next_pause_ms(), lambda: self._publish(each))

    def _publish(self, each: Instance) -> None:
        each.is_publishing = False
        if each.is_dead:
            return
        for addressed in each.notices.add_recipients(each.notices.take_due()):
            self._send(each, addressed.loads, addressed.recipients)

    def _publish_totals(self, each: Instance) -> None:
        self.after(TOTALS_EVERY_MS, lambda: self._publish_totals(each))
        # Counts that have not changed are renewed at the same interval.
        self._publish(each)
        totals = [] if each.is_dead else each.notices.take_totals()
        if totals:
            rotation = each.notices.totals_rotation
            recipients = each.book.topology.one_peer_per_remote_zone(rotation)
            self._send(each, ZoneTotals(totals), recipients)

    def _send(self, each: Instance, told: Notice, recipients: list[InstanceId]) -> None:
        sender = each.context.instance_id
        for recipient in recipients:
            if self.random.random() >= self.loss:
                self.after(1.0, partial(self.by_id[recipient].inbox.append, (sender, told)))
