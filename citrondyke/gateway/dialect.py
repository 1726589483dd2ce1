"""What callers and backend servers say beside HTTP itself; a replaceable part."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.ids import JobId, RequestId, ServerId, TenantId

if TYPE_CHECKING:
    from collections.abc import Sequence

    from citrondyke.decisions.batch.job import ItemResult, JobItem
    from citrondyke.gateway.callers.caller_request import CallerRequest
    from citrondyke.gateway.http_head import Headers
    from citrondyke.gateway.servers.reply_reader import ReplyHead

__all__ = ('Dialect', 'JobCall', 'JobCallKind', 'JobPage', 'ReplyMetadata', 'RequestMetadata')


class RequestMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller says of its request."""

    #: Empty when the caller names none.
    request_id: RequestId
    #: Time that the caller will wait, from its send; ``None`` where it states none.
    within_ms: float | None = None
    #: The last event of a stream that the caller has.
    last_event_id: int | None = None
    #: Names the shared part of the prompt; empty where there is none.
    prefix: str = ''
    #: Digest of the key that it brings; empty where it brings none.
    key_digest: str = ''


class ReplyMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """What a server says of its answer."""

    #: Empty when it names no request.
    request_id: str
    is_signed: bool
    was_not_run: bool
    #: Another server has the address that was asked.
    is_misplaced: bool
    #: Running and waiting requests, where the server tells.
    load: tuple[int, int] | None = None
    #: How many times as long as usual work takes on its machine now; ``None`` where it does not
    #: say, NaN where what it says is no number.
    pace: float | None = None


class JobCallKind(Enum):
    """Calls about a batch job."""

    READ = 'read'
    ITEM_BODY = 'item_body'
    END = 'end'


class JobCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call about a batch job that was submitted before."""

    kind: JobCallKind
    job_id: JobId
    after: int = 0
    item_id: str = ''
    #: How long the caller lets the answer wait for a result.
    wait_ms: float = 0.0


class JobPage(msgspec.Struct, frozen=True):
    """Results of a job from a position on."""

    total: int
    after: int
    results: Sequence[ItemResult]


class Dialect(ABC):
    """Reads and writes the headers and bodies that callers, servers and this instance share."""

    @abstractmethod
    def request_metadata(self, request: CallerRequest) -> RequestMetadata:
        """Read what a caller says."""

    @abstractmethod
    def server_headers(
        self,
        headers: Headers,
        server_id: ServerId,
        left_ms: float | None,
        last_event_id: int | None,
        account_id: TenantId,
    ) -> Headers:
        """Make the headers of a request to a server from a caller's, whose key stays here.

        :param left_ms: what the server may take; ``None`` for no bound.
        :param last_event_id: the stream goes on behind it; ``None`` from its start.
        :param account_id: whose request it is; empty for anybody's.
        """

    @abstractmethod
    def reply_metadata(self, head: ReplyHead) -> ReplyMetadata:
        """Read what a server says."""

    @abstractmethod
    def response_headers(self, head: ReplyHead) -> Headers:
        """Make the headers of an answer to a caller from a server's."""

    @abstractmethod
    def own_response_headers(self, request_id: RequestId, retry_in_ms: float | None) -> Headers:
        """Make the headers of this instance's own answer."""

    @abstractmethod
    def job_call(self, request: CallerRequest) -> JobCall | None:
        """Read a call about a batch job; ``None`` when the request is another."""

    @abstractmethod
    def job_items(self, body: bytes) -> list[JobItem]:
        """Read the items of a submitted job.

        :raises InvalidFieldError: when the body is none.
        """

    @abstractmethod
    def job_page(self, page: JobPage) -> bytes:
        """Write results of a job."""

    @abstractmethod
    def item_headers(self, item: JobItem, host: str) -> Headers:
        """Make the headers that a batch item's request starts from."""
