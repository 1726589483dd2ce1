"""Merges the reports of instances about client accounts and poison suspects."""

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
    """State of an account at one instance."""

    id: str
    rate_per_s: float
    burst: float
    #: Requests at this instance since its start, by the verdict of the limit check.
    verdicts: dict[str, int] = {}
    #: ``None`` where another instance counts the account.
    steward: StewardCount | None = None


class SuspectState(msgspec.Struct, frozen=True, kw_only=True):
    """A poison suspect at one instance: a request or prompt part under which servers exited."""

    #: Digest of the request content, or of the prompt part.
    content: str
    is_prompt_part: bool = False
    standing: str
    servers_ended: float
    trials: int


class InstanceState(msgspec.Struct, frozen=True, kw_only=True):
    """State of accounts and suspects at one instance."""

    instance: str
    config_version: int
    accounts: list[AccountState] = []
    suspects: list[SuspectState] = []


class AccountReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of an account, merged over all instances that answered."""

    id: str
    rate_per_s: float
    burst: float
    #: Counts of the last window; ``None`` when the steward of the account did not answer.
    uses: int | None
    refused_in_window: int | None
    #: Reservations that its steward holds now, and those used and lapsed since it became the
    #: steward.
    places_kept: int | None
    places_taken: int | None
    places_lapsed: int | None
    #: Counts since the start of each instance.
    verdicts: dict[str, int]


def merge_states(states: Iterable[InstanceState]) -> list[AccountReport]:
    """Merge the states of accounts; use the limits of the newest configuration."""
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
