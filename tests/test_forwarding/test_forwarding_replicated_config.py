"""An accepted configuration is never replaced by an older one."""

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
    # The feed delivered version 9; a read that is seconds old, or a stale peer, shows version 7.
    # Routes that version 9 dropped would be served again.
    config = ReplicatedConfig()
    assert config.update_if_newer(table(7))
    assert config.update_if_newer(table(9))
    assert not config.update_if_newer(table(7))
    assert config.table == table(9)


def test_route_is_certainly_missing_only_while_the_config_is_confirmed() -> None:
    config = ReplicatedConfig()
    config.update_if_newer(table(7))
    assert not config.is_confirmed(0.0)
    config.confirm(100.0)
    assert config.is_confirmed(100.0 + CONFIRMATION_VALID_MS)
    assert not config.is_confirmed(101.0 + CONFIRMATION_VALID_MS)


def test_older_confirmation_of_a_peer_changes_nothing() -> None:
    # The store confirmed the configuration a moment ago; then a peer reports an older confirmation.
    # If it counted, a request for a route that does not exist would be answered as uncertain.
    config = ReplicatedConfig()
    config.update_if_newer(table(7))
    config.confirm(10_000.0)
    config.confirm(7_000.0)
    assert config.age_ms(10_000.0) == 0.0
    assert config.is_confirmed(10_000.0 + CONFIRMATION_VALID_MS)


def test_config_is_unconfirmed_once_a_peer_has_a_newer_version() -> None:
    # A key is added; a peer has the new version, and the update from the store is still on its way
    # here. A caller that gets 401 for the new key does not retry.
    config = ReplicatedConfig()
    config.update_if_newer(table(7))
    config.confirm(100.0)
    config.record_peer_version(ConfigVersion(8))
    assert not config.is_confirmed(100.0)
    config.update_if_newer(table(8))
    assert config.is_confirmed(100.0)
