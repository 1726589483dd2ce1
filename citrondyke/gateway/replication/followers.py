"""Followers of the tables that an instance replicates."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.gateway.peers.membership import INSTANCES_TABLE
from citrondyke.gateway.replication.table_follower import TableFollower

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.peers.membership import Membership
    from citrondyke.gateway.platform_adapters import PlatformAdapters
    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.gateway.replication.read_delegation import ReadDelegation
    from citrondyke.gateway.replication.replicated_state import ReplicatedState
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.storage.partitioned_table import PartitionedTable

__all__ = ('follow_instances', 'follow_replicated_state')


def follow_replicated_state(
    context: Context,
    adapters: PlatformAdapters,
    replicated: ReplicatedState,
    store: Dependency,
    interval_factor: Callable[[], float],
    config_delegation: ReadDelegation,
    servers_delegation: ReadDelegation,
) -> tuple[TableFollower, TableFollower]:
    """Create the followers of the configuration and of the server list.

    :param store: records the calls to the store and their responses.
    :param interval_factor: returns the factor by which polling intervals are longer than in a small
        fleet.
    :param config_delegation: whether another instance reads the configuration for this one.
    :param servers_delegation: the same for the server list.
    :returns: the follower of the configuration, and the follower of the server list.
    """
    config = TableFollower(
        context,
        adapters.table,
        adapters.config_table,
        store,
        replicated.on_config_changes,
        replicated.on_config_listing,
        interval_factor,
        replicated.on_config_current,
        delegation=config_delegation,
    )
    servers = TableFollower(
        context,
        adapters.table,
        adapters.servers_table,
        store,
        replicated.on_server_rows,
        replicated.on_server_listing,
        interval_factor,
        replicated.on_servers_current,
        delegation=servers_delegation,
        is_applied=lambda: replicated.is_reconciled,
    )
    return config, servers


def follow_instances(
    context: Context,
    table: PartitionedTable,
    membership: Membership,
    interval_factor: Callable[[], float],
    tasks: Tasks,
) -> None:
    """Follow the heartbeat rows by polling, without a feed.

    Every row changes all the time, and liveness timeouts are in seconds, so a feed gains nothing.

    :param table: calls go through peers if the store does not respond.
    """
    TableFollower(
        context,
        table,
        INSTANCES_TABLE,
        None,
        membership.on_rows,
        membership.on_listing,
        interval_factor,
        with_feed=False,
    ).start(tasks)
