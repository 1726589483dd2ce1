"""Traces: recorded or hand-written sequences of events that can be replayed."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

import msgspec

from citrondyke.decisions.audit.record import OutcomeRecord, RecordKind
from citrondyke.decisions.configuration.entries import ClassEntry

__all__ = ('Trace', 'TraceEvent', 'TraceEventKind', 'TraceHeader', 'TraceServer', 'read_trace')

#: Bytes of a prompt per token; records hold only the bytes of a prompt.
BYTES_PER_TOKEN = 4


class TraceEventKind(Enum):
    """Kind of an event in a trace."""

    CHAT = 'chat'
    ORDER = 'order'
    JOB = 'job'
    CANCEL = 'cancel'
    KILL = 'kill'
    RESTART = 'restart'
    FREEZE = 'freeze'
    WAKE = 'wake'
    #: A planned stop; the instance is started again once it has exited.
    REPLACE = 'replace'
    #: The table service switches to the fault mode in ``name``.
    TABLE = 'table'
    SERVER_DOWN = 'server_down'
    SERVER_UP = 'server_up'


class TraceServer(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server in a trace."""

    id: str
    target: str
    zone: str = 'zone-1'
    base_ms: float = 4.0
    knee_streams: int = 32
    #: Time of one run; used only for plain services.
    run_ms: float = 20.0


class TraceHeader(msgspec.Struct, frozen=True, kw_only=True):
    """First line of a trace."""

    name: str
    #: Description of the incident, as reported by users.
    tells: str = ''
    seed: int = 1
    instances: int = 3
    length_ms: float
    servers: tuple[TraceServer, ...]
    classes: tuple[ClassEntry, ...]
    lease_ms: float = 2000.0


class TraceEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event; each line of a trace after the first holds one."""

    at_ms: float
    do: TraceEventKind
    tenant: str = 'coastal'
    class_name: str = ''
    #: Name of a job or server, key of an order, or fault mode.
    name: str = ''
    #: Number of the instance that receives the event; negative for round robin.
    instance: int = -1
    tokens: int = 20
    prompt_tokens: int = 50
    items: int = 0
    #: Numbers of a job's items that always fail.
    never: tuple[int, ...] = ()
    within_ms: float = 30_000.0


class Trace(msgspec.Struct, frozen=True):
    """Header and events of a trace."""

    header: TraceHeader
    events: tuple[TraceEvent, ...]


def read_trace(file: Path) -> Trace:
    """Read a trace.

    :raises msgspec.DecodeError: if a line cannot be decoded.
    """
    first, *rest = file.read_bytes().splitlines()
    header = msgspec.json.decode(first, type=TraceHeader)
    events = tuple(msgspec.json.decode(line, type=TraceEvent) for line in rest if line.strip())
    return Trace(header, events)


def events_from_records(records: list[OutcomeRecord]) -> list[TraceEvent]:
    """Convert outcome records of instances to events, timed from the first arrival."""
    kinds = {
        RecordKind.ONLINE: TraceEventKind.CHAT,
        RecordKind.ONCE: TraceEventKind.ORDER,
        RecordKind.JOB_ACCEPTED: TraceEventKind.JOB,
    }
    arrivals = sorted(
        (
            (record.at_epoch_ms - record.total_ms, record)
            for record in records
            if record.kind in kinds
        ),
        key=lambda pair: pair[0],
    )
    if not arrivals:
        return []
    start_epoch_ms = arrivals[0][0]
    return [
        TraceEvent(
            at_ms=round(at_ms - start_epoch_ms, 3),
            do=kinds[record.kind],
            tenant=record.tenant_id,
            class_name=record.class_name,
            name='' if record.kind is RecordKind.ONLINE else str(record.request_id),
            tokens=max(1, record.tokens_count),
            prompt_tokens=max(1, record.prompt_bytes // BYTES_PER_TOKEN),
            items=record.items_count,
            within_ms=record.within_ms or 30_000.0,
        )
        for at_ms, record in arrivals
    ]
