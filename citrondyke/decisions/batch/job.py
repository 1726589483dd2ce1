"""A batch job, its items and their results."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import InstanceId, JobId, RouteName, TenantId

__all__ = ('ItemResult', 'ItemState', 'JobHead', 'JobItem', 'backlog_name_of', 'take_page')

#: Bytes of results in one answer; an answer is limited to 1 MB.
PAGE_BYTES = 900_000
#: Bytes of encoding around each result.
RESULT_OVERHEAD_BYTES = 64


class ItemState(Enum):
    """Final state of an item."""

    COMPLETED = 'completed'
    ERRORED = 'errored'


class JobItem(msgspec.Struct, frozen=True, kw_only=True):
    """One item as submitted."""

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    #: Tokens of its prompt and of its longest possible answer.
    tokens: int = 0


class ItemResult(msgspec.Struct, frozen=True):
    """Result of one item; its position in the job's list never changes."""

    id: str
    state: ItemState
    #: Data of all SSE events in order, separated by line feeds.
    text: str = ''


class JobHead(msgspec.Struct, frozen=True, kw_only=True):
    """The row that determines a job's owner and state.

    A transfer of ownership and the end of the job are changes of this row.
    """

    job_id: JobId
    route: RouteName
    host: str
    items_count: int
    #: Number of rows or objects that hold the items.
    chunks_count: int
    #: Whether the chunks are objects.
    in_objects: bool
    #: The instance that runs the job, and its incarnation.
    owner: InstanceId
    owner_life: str
    #: Times of the acceptance, at which all results are due, and from which items may be
    #: abandoned, by the wall clock of the instance that accepted the job; compared with those of
    #: ``JobClock``, as the wall clocks of other machines may differ.
    accepted_epoch_ms: float
    due_epoch_ms: float
    abandon_epoch_ms: float
    attempts_limit: int
    #: Sum over all items.
    tokens: int = 0
    #: The incarnation that owned the job before; empty if there was none.
    life_before: str = ''
    is_ended: bool = False
    #: Whether all items have a result.
    is_done: bool = False
    #: Account that submitted the job; empty if it may be read by any caller.
    account: TenantId = TenantId('')
    #: Digest of the object's content; left out if there is none, and by earlier versions.
    items_digest: str | msgspec.UnsetType = msgspec.UNSET
    #: Time of the acceptance by the store's clock; left out if it was not known, and by earlier
    #: versions.
    accepted_store_ms: float | msgspec.UnsetType = msgspec.UNSET

    @property
    def backlog_name(self) -> RouteName:
        """Return the name of the backlog in which the job is counted."""
        return backlog_name_of(self.route, self.account)


def backlog_name_of(route: RouteName, account: TenantId) -> RouteName:
    """Return the name of the token backlog of a route, or of an account on the route."""
    return RouteName(f'{route} {account}') if account else route


def take_page(results: list[ItemResult]) -> list[ItemResult]:
    """Return the leading results that fit into one answer; at least one."""
    size = 0
    for count, result in enumerate(results):
        size += len(result.text) + len(result.id) + RESULT_OVERHEAD_BYTES
        if size > PAGE_BYTES and count:
            return results[:count]
    return results
