"""Encoding of the outcome counts of failing servers: one fixed-size row per server."""

from __future__ import annotations

import struct

from citrondyke.decisions.servers.server_evidence import ServerEvidence

__all__ = ('pack_evidence', 'unpack_evidence')

#: A server's digest, four numbers and two ages in ms, little-endian.
_ROW = struct.Struct('<IBBBBHH')
COUNT_LIMIT = 255
#: Stands for no age; larger ages are encoded as one less.
NO_AGE = 65_535


def pack_evidence(rows: list[ServerEvidence]) -> bytes:
    """Encode rows; numbers and ages beyond the range are encoded as the largest value."""
    return b''.join(
        _ROW.pack(
            row.server,
            min(row.failed, COUNT_LIMIT),
            min(row.unanswered, COUNT_LIMIT),
            min(row.succeeded, COUNT_LIMIT),
            min(row.recovered, COUNT_LIMIT),
            _age(row.failure_age_ms),
            _age(row.success_age_ms),
        )
        for row in rows
    )


def unpack_evidence(data: bytes) -> list[ServerEvidence]:
    """Decode rows.

    :raises struct.error: if the data is not a sequence of whole rows.
    """
    return [
        ServerEvidence(
            server=server,
            failed=failed,
            unanswered=unanswered,
            succeeded=succeeded,
            recovered=recovered,
            failure_age_ms=None if failure_age == NO_AGE else float(failure_age),
            success_age_ms=None if success_age == NO_AGE else float(success_age),
        )
        for (
            server,
            failed,
            unanswered,
            succeeded,
            recovered,
            failure_age,
            success_age,
        ) in _ROW.iter_unpack(data)
    ]


def _age(age_ms: float | None) -> int:
    return NO_AGE if age_ms is None else min(NO_AGE - 1, max(0, int(age_ms)))
