"""Accounts in the operator's configuration: invalid ones are rejected by the name of the field."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from citrondyke.decisions.accounts.account import (
    ANONYMOUS_ACCOUNT,
    Account,
    NoAccount,
    NoAccountReason,
)
from citrondyke.decisions.forwarding.route_table import RouteTable
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.platform.rows import MAX_ACCOUNTS, decode_config
from citrondyke.util.hashing import key_hash


def table(*accounts: dict[str, Any]) -> RouteTable:
    return decode_config(msgspec.json.encode({'version': 3, 'tenants': list(accounts)}))


def test_accounts_are_found_by_the_digest_of_any_of_their_keys() -> None:
    route_table = table(
        {'name': 'acme', 'api_keys': ['a', 'b'], 'priority': 1, 'rate_per_s': 54, 'burst': 5}
    )
    for key in ('a', 'b'):
        account = route_table.authenticate(key_hash(key), is_public=False)
        assert isinstance(account, Account)
        assert (account.id, account.priority, account.rate_per_s) == ('acme', 1, 54.0)
    unknown = route_table.authenticate(key_hash('c'), is_public=False)
    assert unknown == NoAccount(NoAccountReason.UNKNOWN_KEY)
    assert route_table.authenticate('', is_public=False) == NoAccount(NoAccountReason.NO_KEY)
    assert route_table.authenticate('', is_public=True) is ANONYMOUS_ACCOUNT


def test_empty_list_of_accounts_still_requires_keys() -> None:
    # The operator removes the last account. If this were treated like a configuration without a
    # list of accounts, the whole fleet would accept requests without a key.
    assert not table().authenticate('', is_public=False)
    open_table = decode_config(msgspec.json.encode({'version': 3}))
    assert open_table.authenticate('', is_public=False) is ANONYMOUS_ACCOUNT


@pytest.mark.parametrize(
    ('accounts', 'field'),
    [
        ([{'name': 'a', 'api_keys': ['k1']}, {'name': 'b', 'api_keys': ['k1']}], 'tenants[1].api'),
        ([{'name': 'a', 'api_keys': ['']}], 'tenants[0].api_keys'),
        ([{'name': '', 'api_keys': ['k1']}], 'tenants[0].name'),
        ([{'name': 'a b', 'api_keys': ['k1']}], 'tenants[0].name'),
        ([{'name': 'a', 'api_keys': []}, {'name': 'a', 'api_keys': []}], 'tenants[1].name'),
        ([{'name': 'a', 'api_keys': ['k1'], 'rate_per_s': -1}], 'tenants[0].rate_per_s'),
        ([{'name': 'a', 'api_keys': ['k1'], 'burst': 'x'}], 'tenants[0].burst'),
        ([{'name': f'a{n}', 'api_keys': []} for n in range(MAX_ACCOUNTS + 1)], 'tenants'),
    ],
)
def test_error_for_invalid_account_names_the_field_but_not_the_key(
    accounts: list[dict[str, Any]], field: str
) -> None:
    with pytest.raises(UnreadableBytesError) as caught:
        table(*accounts)
    assert field in caught.value.message
    assert 'k1' not in caught.value.message
