"""Interface to the header and body formats of callers and backend servers; replaceable."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.ids import JobId, PromptPart, RequestId, ServerId, TenantId

if TYPE_CHECKING:
    from collections.abc import Sequence

    from citrondyke.decisions.batch.job import ItemResult, JobItem
    from citrondyke.gateway.callers.caller_request import CallerRequest
    from citrondyke.gateway.http_head import Headers
    from citrondyke.gateway.servers.reply_reader import ReplyHead

__all__ = ('Dialect', 'JobCall', 'JobCallKind', 'JobPage', 'ReplyMetadata', 'RequestMetadata')


class RequestMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller states about its request."""

    #: Empty if the caller states none.
    request_id: RequestId
    #: Time from the send for which the caller waits; ``None`` if it states none.
    within_ms: float | None = None
    #: Id of the last event of a stream that the caller has received.
    last_event_id: int | None = None
    #: Whether it states an event that can't be read, so that its stream can't be resumed.
    has_invalid_event_id: bool = False
    #: Request that brought the caller the first event of the stream that it resumes.
    begun_by: RequestId | None = None
    #: Identifies the shared prefix of the prompt; empty if there is none.
    prefix: str = ''
    #: Parts of the prompt that other requests may share, in order.
    prompt_parts: tuple[PromptPart, ...] = ()
    #: Digest of the caller's API key; empty if it sends none.
    key_digest: str = ''


class ReplyMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """What a server states about its response."""

    #: Id of the request that it belongs to; empty if none is stated.
    request_id: str
    is_signed: bool
    was_not_run: bool
    #: Whether the address belongs to another server than the expected one.
    is_misplaced: bool
    #: Running and waiting requests; ``None`` if the server does not report them.
    load: tuple[int, int] | None = None
    #: Slowdown factor of the server's machine, relative to its usual speed; ``None`` if it is not
    #: reported, NaN if the value is not a number.
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
    #: Position from which results are read; ``None`` if the stated one can't be read.
    after: int | None = 0
    item_id: str = ''
    #: How long the response may wait for a result.
    wait_ms: float = 0.0


class JobPage(msgspec.Struct, frozen=True):
    """Results of a job after a position."""

    total: int
    after: int
    results: Sequence[ItemResult]


class Dialect(ABC):
    """Parses and writes the headers and bodies exchanged with callers and servers."""

    @abstractmethod
    def request_metadata(self, request: CallerRequest) -> RequestMetadata:
        """Read the metadata of a caller's request."""

    @abstractmethod
    def server_headers(
        self,
        headers: Headers,
        server_id: ServerId,
        left_ms: float | None,
        last_event_id: int | None,
        account_id: TenantId,
    ) -> Headers:
        """Make the headers of a request to a server from the caller's, without its API key.

        :param left_ms: time that the server may take; ``None`` for no limit.
        :param last_event_id: event after which the stream resumes; ``None`` to start it.
        :param account_id: account of the request; empty if it has none.
        """

    @abstractmethod
    def reply_metadata(self, head: ReplyHead, sent: Headers) -> ReplyMetadata:
        """Read the metadata of a server's response.

        :param sent: headers of the request as the server got them.
        """

    @abstractmethod
    def response_id(self, head: ReplyHead) -> str:
        """Read the id of the request that a response belongs to; empty if it states none."""

    @abstractmethod
    def response_headers(self, head: ReplyHead) -> Headers:
        """Make the headers of a response to a caller from a server's response."""

    @abstractmethod
    def own_response_headers(self, request_id: RequestId, retry_in_ms: float | None) -> Headers:
        """Make the headers of a response that this instance generates.

        :param retry_in_ms: retry time for the caller; ``None`` for none.
        """

    @abstractmethod
    def job_call(self, request: CallerRequest) -> JobCall | None:
        """Read a call about a batch job; ``None`` if the request is not one."""

    @abstractmethod
    def job_items(self, body: bytes) -> list[JobItem]:
        """Read the items of a submitted job.

        :raises InvalidFieldError: if the body is not a valid job.
        """

    @abstractmethod
    def job_page(self, page: JobPage) -> bytes:
        """Encode results of a job."""

    @abstractmethod
    def item_headers(self, item: JobItem, host: str) -> Headers:
        """Make the initial headers of a batch item's request."""

    @abstractmethod
    def item_prompt_parts(self, item: JobItem) -> tuple[PromptPart, ...]:
        """Read the parts of a batch item's prompt that other requests may share, in order."""
