"""One instance's outcome counts of one server, as sent to peers."""

from __future__ import annotations

import msgspec

__all__ = ('ServerEvidence',)


class ServerEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome counts since the server's first failure; they replace the sender's earlier ones."""

    #: Digest of the server's incarnation.
    server: int
    failed: int = 0
    unanswered: int = 0
    succeeded: int = 0
    #: Successes after the last failure that the sender knows of, observed by any instance.
    recovered: int = 0
    #: Time since the sender observed its last failure and its last success; ``None`` for none.
    failure_age_ms: float | None = None
    success_age_ms: float | None = None
