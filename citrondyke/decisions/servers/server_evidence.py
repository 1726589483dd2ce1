"""What one instance tells the others of one server."""

from __future__ import annotations

import msgspec

__all__ = ('ServerEvidence',)


class ServerEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """Sums of the sender since the server came into doubt; they replace its earlier ones."""

    #: Digest of the server's life.
    server: int
    failed: int = 0
    unanswered: int = 0
    succeeded: int = 0
    #: Successes after the last failure that the sender knows of, whoever saw that.
    recovered: int = 0
    #: Time since its last failure and its last success; ``None`` where it saw none.
    failure_age_ms: float | None = None
    success_age_ms: float | None = None
