"""The outcome of a replayed trace."""

from __future__ import annotations

import msgspec

__all__ = ('JobOutcome', 'TraceOutcome')


class JobOutcome(msgspec.Struct, frozen=True):
    """Final state of a job in the trace."""

    state: str
    succeeded: int
    failed: int
    is_on_time: bool


class TraceOutcome(msgspec.Struct, kw_only=True):
    """Outcome of a replay, which is the same for each replay of a trace."""

    #: Number of chats by kind of result.
    chats: dict[str, int]
    #: Chats whose first token arrived within the target of their class.
    chats_in_time: int
    orders: dict[str, int]
    #: Largest number of times that a single order ran.
    order_runs_most: int
    jobs: dict[str, JobOutcome]
