"""Gauges that are read from an instance when its metrics are requested."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Protocol

from citrondyke.decisions.batch.batch_demand import CompletionLikelihood
from citrondyke.decisions.memory.byte_budget import HeldKind
from citrondyke.decisions.servers.server_health import ServerHealth
from citrondyke.gateway.jobs.job_rows import unreadable_rows

if TYPE_CHECKING:
    from citrondyke.decisions.crashes.suspect_registry import SuspectRegistry
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.decisions.memory.byte_budget import ByteBudget
    from citrondyke.gateway.accounts.limit_exchange import LimitExchange
    from citrondyke.gateway.callers.caller_frontend import CallerFrontend
    from citrondyke.gateway.callers.startup_gate import StartupGate
    from citrondyke.gateway.jobs.batch_subsystem import BatchSubsystem
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.peers.membership import Membership
    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.gateway.replication.replicated_state import ReplicatedState
    from citrondyke.gateway.servers.suspect_store import SuspectStore
    from citrondyke.gateway.streams.origin_exchange import OriginExchange
    from citrondyke.util.clock import SystemClock

__all__ = ('GaugeSource', 'add_gauges')


class GaugeSource(Protocol):
    """Parts of an instance that the gauges read."""

    clock: SystemClock
    metrics: Metrics
    replicated: ReplicatedState
    membership: Membership
    book: ServerRegistry
    frontend: CallerFrontend
    gate: StartupGate
    batch: BatchSubsystem
    suspects: SuspectRegistry
    suspect_store: SuspectStore
    limits: LimitExchange
    store: Dependency
    origins: OriginExchange
    budget: ByteBudget


def add_gauges(instance: GaugeSource) -> None:
    """Add gauges of the instance's replicated state, requests, jobs and memory."""
    config = instance.replicated.config
    for name, read in (
        ('config_version', lambda: float(config.table.version)),
        ('config_age_ms', lambda: min(1e9, config.age_ms(instance.clock.now_ms()))),
        ('list_age_ms', lambda: min(1e9, instance.replicated.list_age_ms)),
        ('list_failures_total', lambda: float(instance.replicated.failures.count)),
        ('rows_unreadable_total', lambda: _unreadable_count(instance)),
        ('servers', lambda: float(len(list(instance.book.states())))),
        *(
            (f'servers_{standing.value}', lambda standing=standing: _count(instance, standing))
            for standing in ServerHealth
        ),
        ('open_connections', lambda: float(instance.frontend.open_count)),
        ('owned_jobs', lambda: float(len(instance.batch.owned.by_id))),
        ('free_places', lambda: float(instance.batch.runner.free_count())),
        ('kept_places', lambda: float(instance.batch.runner.headroom_count())),
        ('suspects', lambda: float(len(instance.suspects))),
        ('limit_slots', lambda: float(len(instance.limits.held_slots()))),
        ('held_request_bytes', lambda: float(instance.budget.bytes_of(HeldKind.REQUEST))),
        ('held_answer_bytes', lambda: float(instance.budget.bytes_of(HeldKind.ANSWER))),
        ('start_ms', lambda: instance.gate.opened_after_ms),
        ('store_silent_ms', lambda: instance.store.unanswered_ms),
    ):
        instance.metrics.add_gauge(name, read)
    for prospect in CompletionLikelihood:
        instance.metrics.add_gauge(
            f'items_waiting_{prospect.name.lower()}',
            partial(instance.batch.runner.waiting_count, prospect),
        )


def _unreadable_count(instance: GaugeSource) -> float:
    others = (
        instance.membership.unreadable,
        instance.suspect_store.unreadable,
        instance.batch.claimer.unreadable,
        instance.origins.versions.unreadable,
        instance.origins.versions.exceptions.unreadable,
        unreadable_rows,
    )
    return float(instance.replicated.unreadable_rows_count + sum(each.count for each in others))


def _count(instance: GaugeSource, standing: ServerHealth) -> float:
    states = instance.book.states()
    return float(sum(state.health_record.health is standing for state in states))
