"""A recorded or written course of events that can be run again."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

import msgspec

from citrondyke.decisions.audit.record import OutcomeRecord, RecordKind
from citrondyke.decisions.configuration.entries import ClassEntry

__all__ = ('Trace', 'TraceEvent', 'TraceEventKind', 'TraceHeader', 'TraceServer', 'read_trace')

#: Bytes of a prompt for each of its tokens.
BYTES_PER_TOKEN = 4


class TraceEventKind(Enum):
    """What happens."""

    CHAT = 'chat'
    ORDER = 'order'
    JOB = 'job'
    CANCEL = 'cancel'
    KILL = 'kill'
    RESTART = 'restart'
    FREEZE = 'freeze'
    WAKE = 'wake'
    #: A planned stop; the instance is started anew once it has ended.
    REPLACE = 'replace'
    #: The table service changes to the mode in ``name``.
    TABLE = 'table'
    SERVER_DOWN = 'server_down'
    SERVER_UP = 'server_up'


class TraceServer(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server of the trace."""

    id: str
    target: str
    zone: str = 'zone-1'
    base_ms: float = 4.0
    knee_streams: int = 32
    #: Plain services only.
    run_ms: float = 20.0


class TraceHeader(msgspec.Struct, frozen=True, kw_only=True):
    """First line of a trace."""

    name: str
    #: What the users told of it.
    tells: str = ''
    seed: int = 1
    instances: int = 3
    length_ms: float
    servers: tuple[TraceServer, ...]
    classes: tuple[ClassEntry, ...]
    lease_ms: float = 2000.0


class TraceEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One further line."""

    at_ms: float
    do: TraceEventKind
    tenant: str = 'coastal'
    class_name: str = ''
    #: A job's or server's name, an order's key, or a mode.
    name: str = ''
    #: Through or to which instance; the next one in turn where it is negative.
    instance: int = -1
    tokens: int = 20
    prompt_tokens: int = 50
    items: int = 0
    #: Items of a job that can never be done.
    never: tuple[int, ...] = ()
    within_ms: float = 30_000.0


class Trace(msgspec.Struct, frozen=True):
    """A whole trace."""

    header: TraceHeader
    events: tuple[TraceEvent, ...]


def read_trace(file: Path) -> Trace:
    """Read a trace.

    :raises msgspec.DecodeError: when a line is none.
    """
    first, *rest = file.read_bytes().splitlines()
    header = msgspec.json.decode(first, type=TraceHeader)
    events = tuple(msgspec.json.decode(line, type=TraceEvent) for line in rest if line.strip())
    return Trace(header, events)


def events_from_records(records: list[OutcomeRecord]) -> list[TraceEvent]:
    """Turn what instances recorded into a trace's events, counted from the first of them."""
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
    began_ms = arrivals[0][0]
    return [
        TraceEvent(
            at_ms=round(at_ms - began_ms, 3),
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
