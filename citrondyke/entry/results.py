"""Reads the input file and the result files of a job."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.core.ops import get_object
from citrondyke.decisions.jobs.item_set import ItemSet
from citrondyke.decisions.jobs.outcome import FailureCode, result_line
from citrondyke.decisions.jobs.rows import PartKind, input_object_key, segment_of_part
from citrondyke.errors import PlatformUnavailableError
from citrondyke.ids import ObjectKey
from citrondyke.storage.failure import PlatformFailure

if TYPE_CHECKING:
    from citrondyke.decisions.jobs.job_request import AcceptedJob
    from citrondyke.decisions.jobs.rows import FileRow, PartRow
    from citrondyke.entry.entry_context import EntryContext
    from citrondyke.ids import RowKey

__all__ = ('input_lines', 'result_lines')

UNFINISHED_CODES = {
    PartKind.CANCELLED: FailureCode.CANCELLED,
    PartKind.EXPIRED: FailureCode.EXPIRED,
}
PLATFORM_RETRY_MS = 2000.0


class _CustomId(msgspec.Struct, frozen=True):
    custom_id: str


def result_lines(
    context: EntryContext, job: AcceptedJob, parts: list[tuple[RowKey, PartRow]], *, is_error: bool
) -> Iterator[bytes]:
    """Yield the lines of a job's result file, part by part.

    :param is_error: whether to yield the failed items instead of the successful ones.
    :raises PlatformUnavailableError: if an object cannot be read.
    """
    for key, part in parts:
        if part.kind in UNFINISHED_CODES:
            if is_error:
                yield _unfinished_item_lines(context, job, segment_of_part(key), part)
            continue
        object_key = part.error_key if is_error else part.output_key
        if object_key:
            yield _read_object(context, ObjectKey(object_key))


def input_lines(context: EntryContext, row: FileRow) -> Iterator[bytes]:
    """Yield a job file as uploaded, segment by segment.

    :raises PlatformUnavailableError: if an object cannot be read.
    """
    for segment in range(row.segments_count):
        yield _read_object(context, input_object_key(row.upload_id, segment)) + b'\n'


def _unfinished_item_lines(
    context: EntryContext, job: AcceptedJob, segment: int, part: PartRow
) -> bytes:
    """Return the lines of items that were cancelled or expired; no stored object has them."""
    lines = _read_object(context, input_object_key(job.row.upload_id, segment)).split(b'\n')
    closed_lines: list[bytes] = []
    for position in ItemSet.parse(part.items):
        custom_id = msgspec.json.decode(lines[position], type=_CustomId).custom_id
        request_id = f'{job.job_id}-{segment}-{position}'
        # An item that was aborted while running has no outcome either, so the run state is
        # "unknown" and not "not run".
        closed_lines.append(
            result_line(request_id, custom_id, UNFINISHED_CODES[part.kind], 'unknown')
        )
    return b'\n'.join(closed_lines) + b'\n'


def _read_object(context: EntryContext, key: ObjectKey) -> bytes:
    body = context.driver.run(get_object(key))
    if isinstance(body, PlatformFailure):
        raise PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS)
    return body
