"""Executes a request at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.at_most_once.group_committer import GroupConflict
from citrondyke.decisions.at_most_once.intent_row import (
    IntentRow,
    IntentState,
    StoredReply,
    intent_row_key,
)
from citrondyke.decisions.at_most_once.once_result import OnceResult, OnceResultKind
from citrondyke.decisions.core.commit import MAYBE_WRITTEN, CommitFailure
from citrondyke.decisions.core.ops import Spawn, read_rows, sleep_until, wait_for
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.membership.session_row import (
    SessionRow,
    session_row_key,
    split_session_id,
)
from citrondyke.decisions.online.request import OnlineResultKind
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.table_service import Committed
from citrondyke.util.hashing import digest_hex

if TYPE_CHECKING:
    from citrondyke.decisions.at_most_once.group_committer import GroupCommitter, GroupResult
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.membership.lease_watch import LeaseWatch
    from citrondyke.decisions.membership.session_lease import SessionLease
    from citrondyke.decisions.online.online_dispatcher import OnlineDispatcher
    from citrondyke.decisions.online.rejection import Rejection
    from citrondyke.decisions.online.request import OnlineRequest, OnlineResult
    from citrondyke.ids import RowKey
    from citrondyke.storage.table_service import Row

__all__ = ('OnceExecutor',)

#: How long a claim may wait for the table service before the request is rejected.
CLAIM_TIMEOUT_MS = 4000.0
#: How long storing an outcome may take before the caller gets it as not durable.
OUTCOME_TIMEOUT_MS = 4000.0
FIRST_POLL_MS = 50.0
MAX_POLL_MS = 500.0
#: Pause between two attempts to store an outcome that the caller already has.
PERSIST_PAUSE_MS = 1000.0


class OnceExecutor:
    """Stores the intent before the dispatch and the outcome before the response.

    If the owner of an intent is dead, no other instance can know whether the request was
    dispatched. The intent is then closed as unknown and never dispatched again, so the request
    runs at most once, whichever process dies at whichever time.
    """

    def __init__(
        self,
        context: Context,
        session: SessionLease,
        committer: GroupCommitter,
        leases: LeaseWatch,
        online: OnlineDispatcher,
    ) -> None:
        """Create an executor."""
        self._context = context
        self._session = session
        self._committer = committer
        self._leases = leases
        self._online = online
        self._running: dict[RowKey, Signal[None]] = {}

    def serve(self, request: OnlineRequest, idempotency_key: str) -> Workflow[OnceResult]:
        """Execute a request, or return the outcome of an earlier one with the same key."""
        key = intent_row_key(request.tenant_id, idempotency_key)
        digest = digest_hex(request.method.encode(), request.path.encode(), request.body)
        expected_version: int | None = None
        while True:
            if not self._session.began.is_fired or not self._session.is_lease_valid():
                return OnceResult(OnceResultKind.PLATFORM_DOWN)
            claim = self._new_row(digest, IntentState.INTENT)
            result = yield from self._claim(key, expected_version, claim, request)
            if isinstance(result, Committed):
                return (yield from self._dispatch(request, key, claim, result.version))
            if isinstance(result, CommitFailure):
                yield Spawn(self._withdraw(key, claim))
                return OnceResult(OnceResultKind.PLATFORM_DOWN)
            followed = yield from self._follow(request, key, digest, result.row)
            if isinstance(followed, OnceResult):
                return followed
            expected_version = followed.version

    def _claim(
        self, key: RowKey, expected_version: int | None, claim: IntentRow, request: OnlineRequest
    ) -> Workflow[GroupResult]:
        signal = self._committer.submit(key, expected_version, claim)
        until_ms = min(request.deadline_ms, self._context.now_ms() + CLAIM_TIMEOUT_MS)
        if (yield from wait_for(signal, until_ms)):
            return signal.value
        return MAYBE_WRITTEN

    def _dispatch(
        self, request: OnlineRequest, key: RowKey, claim: IntentRow, version: int
    ) -> Workflow[OnceResult]:
        done: Signal[None] = Signal()
        self._running[key] = done
        try:
            if not self._session.is_lease_valid():
                # The process was frozen since the claim, and another instance may already have
                # closed the intent as unknown. A dispatch now would run a request that
                # was already reported as unknown.
                return (yield from self._close(key, claim, version, IntentState.NOT_RUN))
            online_result = yield from self._online.serve(request)
            return (yield from self._settle(key, claim, version, online_result))
        finally:
            del self._running[key]
            done.fire(None)

    def _settle(
        self, key: RowKey, claim: IntentRow, version: int, online_result: OnlineResult
    ) -> Workflow[OnceResult]:
        if online_result.kind is OnlineResultKind.ANSWERED and online_result.reply is not None:
            answer = online_result.reply
            body = answer.body or b''.join(b'data: ' + frame + b'\n\n' for frame in answer.frames)
            reply = StoredReply(
                answer.status, answer.content_type, body, answer.ends_with_connection
            )
            return (yield from self._close(key, claim, version, IntentState.DONE, reply=reply))
        if online_result.may_have_run:
            return (yield from self._close(key, claim, version, IntentState.UNKNOWN))
        return (
            yield from self._close(
                key, claim, version, IntentState.NOT_RUN, rejection=online_result.rejection
            )
        )

    def _close(
        self,
        key: RowKey,
        claim: IntentRow,
        version: int,
        state: IntentState,
        *,
        reply: StoredReply | None = None,
        rejection: Rejection | None = None,
    ) -> Workflow[OnceResult]:
        """Store the outcome, then return it."""
        row = msgspec.structs.replace(
            claim, state=state, reply=reply, changed_at_epoch_ms=self._context.epoch_ms()
        )
        signal = self._committer.submit(key, version, row)
        fired = yield from wait_for(signal, self._context.now_ms() + OUTCOME_TIMEOUT_MS)
        result = signal.value if fired else MAYBE_WRITTEN
        if isinstance(result, Committed):
            return _result_of(row, rejection=rejection)
        if isinstance(result, GroupConflict):
            if result.row is not None:
                stored = msgspec.json.decode(result.row.value, type=IntentRow)
                if stored.claim_id == claim.claim_id and stored.state is state:
                    return _result_of(row, rejection=rejection)
            # Another instance took this one for dead and closed the intent; its outcome stands.
            return OnceResult(OnceResultKind.UNKNOWN)
        yield Spawn(self._persist(key, row))
        if state is IntentState.DONE:
            return OnceResult(OnceResultKind.NOT_DURABLE)
        return _result_of(row, rejection=rejection)

    def _persist(self, key: RowKey, row: IntentRow) -> Workflow[None]:
        """Store an outcome once the table service is available again."""
        while True:
            yield from sleep_until(self._context.now_ms() + PERSIST_PAUSE_MS)
            found = yield from read_rows(key)
            if isinstance(found, PlatformFailure):
                continue
            stored = found.get(key)
            if stored is None:
                return
            value = msgspec.json.decode(stored.value, type=IntentRow)
            if value.claim_id != row.claim_id or value.state is not IntentState.INTENT:
                return
            signal = self._committer.submit(key, stored.version, row)
            yield from wait_for(signal, None)
            if isinstance(signal.value, Committed):
                return

    def _withdraw(self, key: RowKey, claim: IntentRow) -> Workflow[None]:
        """Make "not run" final after a claim with an uncertain outcome.

        The claim may have been written, or may still arrive. Once a closed row replaces it, or is
        created in its absence, the claim's version check fails and it cannot take effect.
        """
        closed = msgspec.structs.replace(claim, state=IntentState.NOT_RUN)
        while True:
            yield from sleep_until(self._context.now_ms() + PERSIST_PAUSE_MS)
            found = yield from read_rows(key)
            if isinstance(found, PlatformFailure):
                continue
            stored = found.get(key)
            if stored is not None:
                value = msgspec.json.decode(stored.value, type=IntentRow)
                if value.claim_id != claim.claim_id or value.state is not IntentState.INTENT:
                    return
            expected_version = None if stored is None else stored.version
            signal = self._committer.submit(key, expected_version, closed)
            yield from wait_for(signal, None)
            if isinstance(signal.value, Committed):
                return

    def _follow(
        self, request: OnlineRequest, key: RowKey, digest: str, row: Row | None
    ) -> Workflow[OnceResult | _ClaimableKey]:
        """Wait for the outcome of a request whose key is already claimed."""
        poll_ms = FIRST_POLL_MS
        while True:
            if row is None:
                return _ClaimableKey(None)
            stored = msgspec.json.decode(row.value, type=IntentRow)
            if stored.digest != digest:
                return OnceResult(OnceResultKind.CONFLICT)
            if stored.state is IntentState.NOT_RUN:
                return _ClaimableKey(row.version)
            if stored.state is not IntentState.INTENT:
                return _result_of(stored, is_replay=True)
            now_ms = self._context.now_ms()
            if now_ms >= request.deadline_ms:
                return OnceResult(OnceResultKind.IN_PROGRESS)
            resume_ms = min(now_ms + poll_ms, request.deadline_ms)
            local = self._running.get(key)
            if local is None:
                yield from sleep_until(resume_ms)
            else:
                yield from wait_for(local, resume_ms)
            poll_ms = min(poll_ms * 2, MAX_POLL_MS)
            polled = yield from self._poll_intent(key, row, stored)
            if polled is not None:
                row = polled.row

    def _poll_intent(
        self, key: RowKey, row: Row, stored: IntentRow
    ) -> Workflow[GroupConflict | None]:
        """Read the intent again; close it if its owner's lease has expired.

        :returns: the changed row, ``None`` if it is unchanged or could not be read.
        """
        owner_id, _ = split_session_id(stored.owner)
        owner_key = session_row_key(owner_id)
        found = yield from read_rows(key, owner_key)
        if isinstance(found, PlatformFailure):
            return None
        current = found.get(key)
        if current is None or current.version != row.version:
            return GroupConflict(current)
        owner_row = found.get(owner_key)
        session = (
            None if owner_row is None else msgspec.json.decode(owner_row.value, type=SessionRow)
        )
        if not self._leases.has_expired(stored.owner, session, self._context.now_ms()):
            return None
        closed = msgspec.structs.replace(
            stored, state=IntentState.UNKNOWN, changed_at_epoch_ms=self._context.epoch_ms()
        )
        signal = self._committer.submit(key, row.version, closed)
        yield from wait_for(signal, self._context.now_ms() + OUTCOME_TIMEOUT_MS)
        return None

    def _new_row(self, digest: str, state: IntentState) -> IntentRow:
        return IntentRow(
            digest=digest,
            state=state,
            owner=self._session.session,
            claim_id=self._context.new_write_id(),
            changed_at_epoch_ms=self._context.epoch_ms(),
        )


class _ClaimableKey(msgspec.Struct, frozen=True):
    """The key can be claimed at this version of its row; ``None`` for no row."""

    version: int | None


def _result_of(
    row: IntentRow, *, rejection: Rejection | None = None, is_replay: bool = False
) -> OnceResult:
    if row.state is IntentState.DONE:
        return OnceResult(OnceResultKind.ANSWERED, row.reply, is_replay=is_replay)
    if row.state is IntentState.NOT_RUN:
        return OnceResult(OnceResultKind.NOT_RUN, rejection=rejection)
    return OnceResult(OnceResultKind.UNKNOWN)
