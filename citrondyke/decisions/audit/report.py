"""Report on met and missed targets from sealed records, with a check for tampering."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec
import zstandard

from citrondyke.decisions.audit.journal import EVIDENCE_PREFIX
from citrondyke.decisions.audit.record import OutcomeRecord, RecordKind, SealHeader
from citrondyke.decisions.core.ops import get_object, list_objects, scan_rows
from citrondyke.decisions.membership.session_row import SESSION_PREFIX, SessionRow
from citrondyke.storage.failure import PlatformFailure
from citrondyke.util.hashing import digest_hex
from citrondyke.util.numbers import parse_count

if TYPE_CHECKING:
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.ids import ObjectKey

__all__ = ('AuditFault', 'AuditReport', 'ClassReport', 'build_report', 'read_records')

SCAN_LIMIT = 1000
#: Largest uncompressed segment; a forged one must not exhaust the memory.
OBJECT_LIMIT_BYTES = 256 * 1024 * 1024


class AuditFault(msgspec.Struct, frozen=True):
    """A missing or altered part of the audit log."""

    instance_id: str
    number: int
    #: ``missing``, ``altered``, ``unreadable``, ``dropped`` or ``after_crash``.
    kind: str
    detail: str = ''


class ClassReport(msgspec.Struct, kw_only=True):
    """Figures of one class in a time range."""

    requests_count: int = 0
    kept_count: int = 0
    missed_count: int = 0
    #: Outcomes by code; they add up to the number of requests and ended jobs.
    outcomes: dict[str, int] = msgspec.field(default_factory=dict)
    jobs_accepted_count: int = 0
    jobs_ended_count: int = 0
    jobs_on_time_count: int = 0
    items_accepted_count: int = 0
    items_with_outcome_count: int = 0


class AuditReport(msgspec.Struct, kw_only=True):
    """Report for a regulator."""

    from_epoch_ms: float
    to_epoch_ms: float
    objects_count: int = 0
    classes: dict[str, ClassReport] = msgspec.field(default_factory=dict)
    faults: list[AuditFault] = msgspec.field(default_factory=list)


def read_records(
    from_epoch_ms: float, to_epoch_ms: float, limit: int
) -> Workflow[list[OutcomeRecord] | PlatformFailure]:
    """Read the sealed records of a time range, at most ``limit``."""
    segments = yield from _read_segments()
    if isinstance(segments, PlatformFailure):
        return segments
    found = [
        record
        for _, segment in segments
        if segment is not None
        for record in segment.records
        if from_epoch_ms <= record.at_epoch_ms < to_epoch_ms
    ]
    return found[:limit]


class _SealedSegment(msgspec.Struct, frozen=True):
    header: SealHeader
    digest: str
    records: list[OutcomeRecord]


def build_report(
    class_name: str | None, from_epoch_ms: float, to_epoch_ms: float
) -> Workflow[AuditReport | PlatformFailure]:
    """Read all segments, check their chains, and add up the records of a time range.

    :param class_name: only this class; ``None`` for all.
    """
    report = AuditReport(from_epoch_ms=from_epoch_ms, to_epoch_ms=to_epoch_ms)
    segments = yield from _read_segments()
    if isinstance(segments, PlatformFailure):
        return segments
    sessions = yield from scan_rows(SESSION_PREFIX, '', SCAN_LIMIT)
    if isinstance(sessions, PlatformFailure):
        return sessions
    chains: dict[str, dict[int, _SealedSegment]] = {}
    for key, segment in segments:
        report.objects_count += 1
        if segment is None:
            _, instance_id, number = key.rsplit('/', 2)
            report.faults.append(AuditFault(instance_id, parse_count(number) or 0, 'unreadable'))
            continue
        chains.setdefault(segment.header.instance_id, {})[segment.header.number] = segment
    newest = {
        row.key[len(SESSION_PREFIX) :]: msgspec.json.decode(row.value, type=SessionRow)
        for row in sessions
    }
    for instance_id in sorted(set(chains) | set(newest)):
        _check_chain(report, instance_id, chains.get(instance_id, {}), newest.get(instance_id))
    for chain in chains.values():
        for segment in chain.values():
            _add_counts(report, segment, class_name)
    return report


def _read_segments() -> Workflow[list[tuple[ObjectKey, _SealedSegment | None]] | PlatformFailure]:
    """Read all sealed segments; ``None`` stands for an unreadable one."""
    keys = yield from list_objects(EVIDENCE_PREFIX)
    if isinstance(keys, PlatformFailure):
        return keys
    segments: list[tuple[ObjectKey, _SealedSegment | None]] = []
    for key in keys:
        body = yield from get_object(key)
        if isinstance(body, PlatformFailure):
            return body
        segments.append((key, _decode_segment(body)))
    return segments


def _decode_segment(body: bytes) -> _SealedSegment | None:
    try:
        text = zstandard.ZstdDecompressor().decompress(body, max_output_size=OBJECT_LIMIT_BYTES)
        first, *rest = text.splitlines()
        header = msgspec.json.decode(first, type=SealHeader)
        records = [msgspec.json.decode(line, type=OutcomeRecord) for line in rest]
    except (zstandard.ZstdError, msgspec.DecodeError, ValueError):
        return None
    return _SealedSegment(header, digest_hex(body), records)


def _check_chain(
    report: AuditReport,
    instance_id: str,
    chain: dict[int, _SealedSegment],
    session: SessionRow | None,
) -> None:
    """Find missing and altered segments by the digest in each following header."""
    last_number = max(chain, default=0)
    if session is not None and session.sealed_number > last_number:
        last_number = session.sealed_number
    if session is not None and session.sealed_number in chain:
        _check_digest(report, chain[session.sealed_number], session.sealed_digest)
    for number in range(1, last_number + 1):
        segment = chain.get(number)
        if segment is None:
            report.faults.append(AuditFault(instance_id, number, 'missing'))
            continue
        before = chain.get(number - 1)
        if before is not None:
            _check_digest(report, before, segment.header.previous_digest)
        if len(segment.records) != segment.header.records_count:
            report.faults.append(AuditFault(instance_id, number, 'altered', 'record count'))
        if segment.header.dropped_count:
            detail = f'{segment.header.dropped_count} records'
            report.faults.append(AuditFault(instance_id, number, 'dropped', detail))
        if segment.header.is_after_crash:
            report.faults.append(AuditFault(instance_id, number, 'after_crash'))


def _check_digest(report: AuditReport, segment: _SealedSegment, digest: str) -> None:
    if segment.digest == digest:
        return
    fault = AuditFault(segment.header.instance_id, segment.header.number, 'altered', 'digest')
    if fault not in report.faults:
        report.faults.append(fault)


def _add_counts(report: AuditReport, segment: _SealedSegment, class_name: str | None) -> None:
    for record in segment.records:
        if not report.from_epoch_ms <= record.at_epoch_ms < report.to_epoch_ms:
            continue
        if class_name is not None and record.class_name != class_name:
            continue
        entry = report.classes.setdefault(record.class_name, ClassReport())
        if record.kind is RecordKind.JOB_ACCEPTED:
            entry.jobs_accepted_count += 1
            entry.items_accepted_count += record.items_count
            continue
        if record.kind is RecordKind.JOB_ENDED:
            entry.jobs_ended_count += 1
            entry.items_with_outcome_count += record.succeeded_count + record.failed_count
        else:
            entry.requests_count += 1
        entry.outcomes = dict(Counter(entry.outcomes) + Counter([record.outcome]))
        if record.is_kept is not None:
            entry.kept_count += record.is_kept
            entry.missed_count += not record.is_kept
            if record.kind is RecordKind.JOB_ENDED:
                entry.jobs_on_time_count += record.is_kept
