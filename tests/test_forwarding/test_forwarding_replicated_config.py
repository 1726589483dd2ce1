"""An accepted configuration never goes back."""

from __future__ import annotations

from citrondyke.decisions.forwarding.replicated_config import (
    CONFIRMATION_VALID_MS,
    ReplicatedConfig,
)
from citrondyke.decisions.forwarding.route_table import RouteTable
from citrondyke.ids import ConfigVersion


def table(version: int) -> RouteTable:
    return RouteTable(ConfigVersion(version))


def test_older_version_from_a_late_read_changes_nothing() -> None:
    # The feed brought version 9; a read that is seconds old, or a peer that is behind, shows 7.
    # Routes that version 9 dropped would be served again.
    holder = ReplicatedConfig()
    assert holder.update_if_newer(table(7))
    assert holder.update_if_newer(table(9))
    assert not holder.update_if_newer(table(7))
    assert holder.table == table(9)


def test_absence_of_a_route_is_certain_only_while_confirmed() -> None:
    holder = ReplicatedConfig()
    holder.update_if_newer(table(7))
    assert not holder.is_confirmed(0.0)
    holder.confirm(100.0)
    assert holder.is_confirmed(100.0 + CONFIRMATION_VALID_MS)
    assert not holder.is_confirmed(101.0 + CONFIRMATION_VALID_MS)


def test_older_confirmation_of_a_peer_changes_nothing() -> None:
    # The store confirmed the configuration a moment ago; then a peer tells when it last heard from
    # the store, which is longer ago. A caller who asks for a route that does not exist is told so
    # and not to come back.
    holder = ReplicatedConfig()
    holder.update_if_newer(table(7))
    holder.confirm(10_000.0)
    holder.confirm(7_000.0)
    assert holder.age_ms(10_000.0) == 0.0
    assert holder.is_confirmed(10_000.0 + CONFIRMATION_VALID_MS)


def test_absence_is_not_certain_once_a_peer_has_a_newer_version() -> None:
    # A key is added; a peer has the new version and the store's news is still on its way here. A
    # caller with the new key who is told 401 never comes back with it.
    holder = ReplicatedConfig()
    holder.update_if_newer(table(7))
    holder.confirm(100.0)
    holder.record_peer_version(ConfigVersion(8))
    assert not holder.is_confirmed(100.0)
    holder.update_if_newer(table(8))
    assert holder.is_confirmed(100.0)
