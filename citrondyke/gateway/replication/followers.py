"""Which tables an instance follows, and who takes in what they show."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.gateway.peers.membership import INSTANCES_TABLE
from citrondyke.gateway.replication.table_follower import TableFollower

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.outside import Environment
    from citrondyke.gateway.peers.membership import Membership
    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.gateway.replication.read_delegation import ReadDelegation
    from citrondyke.gateway.replication.replicated_state import ReplicatedState
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.storage.partitioned_table import PartitionedTable

__all__ = ('follow_beliefs', 'follow_instances')


def follow_beliefs(
    context: Context,
    outside: Environment,
    beliefs: ReplicatedState,
    store: Dependency,
    pace: Callable[[], float],
    config_cover: ReadDelegation,
    servers_cover: ReadDelegation,
) -> tuple[TableFollower, TableFollower]:
    """Follow the configuration and the list of servers.

    :param store: told whether the store answers.
    :param pace: gives the factor by which calls are rarer than in a small fleet.
    :param config_cover: tells whether others read the configuration for this instance.
    :param servers_cover: the same for the list of servers.
    :returns: what follows the configuration, and what the list of servers.
    """
    config = TableFollower(
        context,
        outside.table,
        outside.config_table,
        store,
        beliefs.on_config_changes,
        beliefs.on_config_listing,
        pace,
        beliefs.on_config_current,
        cover=config_cover,
    )
    servers = TableFollower(
        context,
        outside.table,
        outside.servers_table,
        store,
        beliefs.on_server_rows,
        beliefs.on_server_listing,
        pace,
        beliefs.on_servers_current,
        cover=servers_cover,
    )
    return config, servers


def follow_instances(
    context: Context,
    table: PartitionedTable,
    membership: Membership,
    pace: Callable[[], float],
    tasks: Tasks,
) -> None:
    """Follow the heartbeats, without a feed.

    They change all the time, and silences are judged by the second.

    :param table: by way of peers where the store does not answer.
    """
    TableFollower(
        context,
        table,
        INSTANCES_TABLE,
        None,
        membership.on_rows,
        membership.on_listing,
        pace,
        with_feed=False,
    ).start(tasks)
