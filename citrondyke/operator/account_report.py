"""What instances say of client accounts and of suspected requests, put together for an operator."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.accounts.steward_count import StewardCount

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = (
    'AccountReport',
    'AccountState',
    'InstanceState',
    'SuspectState',
    'merge_states',
)


class AccountState(msgspec.Struct, frozen=True, kw_only=True):
    """An account by one instance."""

    id: str
    rate_per_s: float
    burst: float
    #: Requests here since its start, by what was said of the limit.
    verdicts: dict[str, int] = {}
    #: ``None`` where another instance counts the account.
    steward: StewardCount | None = None


class SuspectState(msgspec.Struct, frozen=True, kw_only=True):
    """A request under which servers have ended, by one instance."""

    #: Digest of what is asked for.
    content: str
    standing: str
    servers_ended: float
    trials: int


class InstanceState(msgspec.Struct, frozen=True, kw_only=True):
    """What one instance says."""

    instance: str
    config_version: int
    accounts: list[AccountState] = []
    suspects: list[SuspectState] = []


class AccountReport(msgspec.Struct, frozen=True, kw_only=True):
    """An account by all instances that answered."""

    id: str
    rate_per_s: float
    burst: float
    #: In the last window; ``None`` where its steward did not answer.
    uses: int | None
    refused_in_window: int | None
    #: Places that its steward keeps now, and what became of others since it counts.
    places_kept: int | None
    places_taken: int | None
    places_lapsed: int | None
    #: Since the instances' starts.
    verdicts: dict[str, int]


def merge_states(states: Iterable[InstanceState]) -> list[AccountReport]:
    """Put accounts together; limits are those of the newest configuration."""
    newest: dict[str, AccountState] = {}
    verdicts: dict[str, dict[str, int]] = {}
    stewards: dict[str, StewardCount] = {}
    for state in sorted(states, key=lambda each: each.config_version):
        for account in state.accounts:
            newest[account.id] = account
            counts = verdicts.setdefault(account.id, {})
            for verdict, count in account.verdicts.items():
                counts[verdict] = counts.get(verdict, 0) + count
            if account.steward is not None:
                stewards[account.id] = account.steward
    return [
        AccountReport(
            id=name,
            rate_per_s=account.rate_per_s,
            burst=account.burst,
            uses=stewards[name].uses if name in stewards else None,
            refused_in_window=stewards[name].refused if name in stewards else None,
            places_kept=stewards[name].places_kept if name in stewards else None,
            places_taken=stewards[name].places_taken if name in stewards else None,
            places_lapsed=stewards[name].places_lapsed if name in stewards else None,
            verdicts=verdicts[name],
        )
        for name, account in sorted(newest.items())
    ]
