"""A batch job, its items and their results."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import InstanceId, JobId, RouteName, TenantId

__all__ = ('ItemResult', 'ItemState', 'JobHead', 'JobItem', 'backlog_name_of', 'take_page')

#: Bytes of results in one answer; its limit is 1 MB.
PAGE_BYTES = 900_000
#: Around each result.
RESULT_OVERHEAD_BYTES = 64


class ItemState(Enum):
    """How an item ended."""

    COMPLETED = 'completed'
    ERRORED = 'errored'


class JobItem(msgspec.Struct, frozen=True, kw_only=True):
    """One item as it was handed in."""

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    #: Tokens of its prompt and its longest answer.
    tokens: int = 0


class ItemResult(msgspec.Struct, frozen=True):
    """How one item ended; its position in the job's list never changes."""

    id: str
    state: ItemState
    #: Data of all events in order, separated by line feeds.
    text: str = ''


class JobHead(msgspec.Struct, frozen=True, kw_only=True):
    """The row that owns a job: it changes hands, and ends, by a change of this row."""

    job_id: JobId
    route: RouteName
    host: str
    items_count: int
    #: Rows or objects that hold the items.
    chunks_count: int
    #: Whether the chunks are objects.
    in_objects: bool
    #: The instance that runs it, and which life of it.
    owner: InstanceId
    owner_life: str
    #: Wall clock, since it passes between instances: when it came, until when all results are
    #: due, and from when on items may be abandoned.
    accepted_epoch_ms: float
    due_epoch_ms: float
    abandon_epoch_ms: float
    attempts_limit: int
    #: Of all items: their prompts and longest answers.
    tokens: int = 0
    #: The life that owned it before this one; empty where there was none.
    life_before: str = ''
    is_ended: bool = False
    #: All items have a result.
    is_done: bool = False
    #: Whose job it is; empty for anybody's.
    account: TenantId = TenantId('')

    @property
    def backlog_name(self) -> RouteName:
        """Name the bound on waiting tokens that it counts in."""
        return backlog_name_of(self.route, self.account)


def backlog_name_of(route: RouteName, account: TenantId) -> RouteName:
    """Name the bound on waiting tokens of a route, or of an account on it."""
    return RouteName(f'{route} {account}') if account else route


def take_page(results: list[ItemResult]) -> list[ItemResult]:
    """Take as many results as one answer holds; one at least."""
    size = 0
    for count, result in enumerate(results):
        size += len(result.text) + len(result.id) + RESULT_OVERHEAD_BYTES
        if size > PAGE_BYTES and count:
            return results[:count]
    return results
