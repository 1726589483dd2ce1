"""Works on the segments that this instance holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.core.commit import CommitDoubt, commit, transaction
from citrondyke.decisions.core.ops import (
    Spawn,
    call_server,
    put_object,
    read_rows,
    sleep_until,
    wait_for,
)
from citrondyke.decisions.core.server_call import ReplyKind, ServerCall
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.jobs.frames import whole_answer
from citrondyke.decisions.jobs.item_set import ItemSet
from citrondyke.decisions.jobs.outcome import (
    FailureCode,
    ItemOutcome,
    failed_outcome,
    success_outcome,
)
from citrondyke.decisions.jobs.pool import Pool
from citrondyke.decisions.jobs.rows import (
    JobRow,
    JobState,
    PartKind,
    PartRow,
    TodoRow,
    job_row_key,
    part_row_key,
)
from citrondyke.ids import JobId, ObjectKey, RowKey, ServerId, TargetName
from citrondyke.platform.failure import PlatformFailure
from citrondyke.platform.table_service import Committed, Conflict

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.core.server_call import ServerReply
    from citrondyke.decisions.jobs.batch_item import BatchItem
    from citrondyke.decisions.jobs.claimer import Claimer
    from citrondyke.decisions.jobs.held_segment import HeldSegment
    from citrondyke.decisions.jobs.sweeper import Sweeper
    from citrondyke.decisions.sharing.server_share import ServerShare
    from citrondyke.decisions.steward import Steward
    from citrondyke.ids import RequestId

__all__ = ('Worker', 'WorkerLimits')

#: Attempts of one item that may fail, over all its holders.
ATTEMPTS_LIMIT = 3
#: How long one attempt of a batch item may take.
ITEM_LIMIT_MS = 600_000.0
#: Statuses that say nothing of the request itself.
PASSING_STATUSES = frozenset({408, 425, 429})
COMMIT_LIMIT_MS = 30_000.0
PUT_PAUSE_MS = 500.0
#: A server that took nothing is left alone by this item for so long.
REFUSED_PAUSE_MS = 50.0
#: Looks that find nothing get rarer by this factor at the most.
LONGEST_PAUSE_GROWTH = 8
#: Pause between two looks at the jobs whose segments are held.
JOB_LOOK_MS = 1000.0


class WorkerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of an instance's batch work."""

    #: Outcomes become visible at the latest so long after the first of them.
    part_every_ms: float
    #: Segments held at once for each target.
    held_limit: int
    #: Pause between two looks for work where there was none.
    look_every_ms: float


class Worker:
    """Claims, dispatches, commits; one instance's batch work for all its targets."""

    def __init__(
        self,
        context: Context,
        claimer: Claimer,
        sweeper: Sweeper,
        steward: Steward,
        limits: WorkerLimits,
    ) -> None:
        """Use the parts handed in."""
        self._context = context
        self._claimer = claimer
        self._sweeper = sweeper
        self._steward = steward
        self._limits = limits
        self._pools: dict[TargetName, Pool] = {}
        self._held: dict[RowKey, HeldSegment] = {}
        self._items: dict[RequestId, BatchItem] = {}
        #: Servers that run one item alone.
        self._alone: set[ServerId] = set()
        self._is_leaving = False
        self._emptied: Signal[None] = Signal()

    @property
    def held_count(self) -> int:
        """Count the segments held."""
        return len(self._held)

    def run_target(self, target: TargetName) -> Workflow[None]:
        """Work for one target while this instance looks after servers of it."""
        pool = self._pools[target] = Pool()
        yield Spawn(self._claim_for(target, pool))
        while not self._is_leaving and self._steward.serves(target):
            # Taken before the look: what happens after it fires this very signal.
            changed = pool.rest()
            for workflow in self._start_items(target, pool):
                yield Spawn(workflow)
            now_ms = self._context.now_ms()
            until_ms = now_ms + self._limits.look_every_ms
            if len(pool):
                until_ms = min(until_ms, self._steward.next_room_ms(target))
            yield from wait_for(changed, until_ms)
        del self._pools[target]
        for held in list(self._held.values()):
            if held.job.target == target:
                self._release(held)

    def look_at_jobs(self) -> Workflow[None]:
        """Learn of cancelled jobs whose notice was lost, for good."""
        while True:
            yield from sleep_until(self._context.now_ms() + JOB_LOOK_MS)
            keys = {job_row_key(held.job_id) for held in self._held.values()}
            if not keys:
                continue
            found = yield from read_rows(*sorted(keys))
            if isinstance(found, PlatformFailure):
                continue
            for held in list(self._held.values()):
                row = found.get(job_row_key(held.job_id))
                if row is None or _job_state(row.value) is not JobState.RUNNING:
                    self._lose(held)

    def stop_job(self, job_id: JobId) -> None:
        """Cut everything of a job that was cancelled."""
        for held in list(self._held.values()):
            if held.job_id == job_id:
                self._lose(held)

    def holds(self, key: RowKey) -> bool:
        """Tell whether a segment is held."""
        return key in self._held

    def cut(self, request_ids: list[RequestId]) -> None:
        """Cut items that stand in the way of online requests; they go on later."""
        for request_id in request_ids:
            item = self._items.get(request_id)
            if item is not None:
                item.cancel.fire(None)

    def wake(self, target: TargetName) -> None:
        """Look again whether an item can start."""
        pool = self._pools.get(target)
        if pool is not None:
            pool.wake.fire(None)

    def leave(self, until_ms: float) -> Workflow[None]:
        """Hand every segment back: running items may finish, the rest goes back unrun."""
        self._is_leaving = True
        for held in list(self._held.values()):
            self._release(held)
        if self._held:
            yield from wait_for(self._emptied, until_ms)
        for held in list(self._held.values()):
            held.cut_all()
        if self._held:
            yield from wait_for(self._emptied, until_ms + COMMIT_LIMIT_MS)

    def _claim_for(self, target: TargetName, pool: Pool) -> Workflow[None]:
        """Keep enough items ready for the servers."""
        pause_growth = 1
        while self._pools.get(target) is pool:
            held = None
            if self._wants_segment(target, pool):
                held = yield from self._claimer.claim(target)
            if held is None:
                pause_ms = pause_growth * self._steward.look_pause_ms(target)
                pause_growth = min(pause_growth * 2, LONGEST_PAUSE_GROWTH)
                yield from sleep_until(self._context.now_ms() + self._context.jittered_ms(pause_ms))
                continue
            pause_growth = 1
            self._held[held.key] = held
            # The target can go to another instance, or this one begin to leave, while the claim is
            # on its way. Nothing would ever take the segment's items out of a pool that is closed,
            # and nobody else may claim it as its holder lives: the job would stand still for good.
            held.is_releasing = self._is_leaving or self._pools.get(target) is not pool
            yield Spawn(self._tend(held, pool))

    def _wants_segment(self, target: TargetName, pool: Pool) -> bool:
        held = [each for each in self._held.values() if each.job.target == target]
        if len(held) >= self._limits.held_limit or not all(each.is_offered for each in held):
            return False
        return len(pool) < self._steward.room(target)

    def _start_items(self, target: TargetName, pool: Pool) -> list[Workflow[None]]:
        """Put items on every server that has room."""
        started: list[Workflow[None]] = []
        shares = self._steward.shares_of(target)
        reserved = self._reserve_for_suspects(pool, shares)
        for server_id, share in shares:
            if server_id == reserved:
                if share.batch_count == 0 and (suspect := pool.pop_suspect()) is not None:
                    started.append(self._begin_item(*suspect, server_id, share, pool))
                continue
            room = share.room(self._context.now_ms())
            while room > 0:
                taken = pool.pop()
                if taken is None:
                    return started
                room -= 1
                started.append(self._begin_item(*taken, server_id, share, pool))
        return started

    def _reserve_for_suspects(
        self, pool: Pool, shares: list[tuple[ServerId, ServerShare]]
    ) -> ServerId | None:
        """Keep one server for the items that must run alone, while there are any.

        An item that brings its server down takes what runs beside it along. After a few such
        deaths its neighbours would have used up their attempts too and be told "exhausted",
        though nothing is wrong with them; run alone, an item can only be cut by its own doing.
        """
        running = [server_id for server_id, _ in shares if server_id in self._alone]
        if running:
            return running[0]
        if not pool.has_suspects or not shares:
            return None
        return min(server_id for server_id, _ in shares)

    def _begin_item(
        self,
        held: HeldSegment,
        item: BatchItem,
        server_id: ServerId,
        share: ServerShare,
        pool: Pool,
    ) -> Workflow[None]:
        item.cancel = Signal()
        item.is_running = True
        if _must_run_alone(item):
            self._alone.add(server_id)
        self._items[item.request_id] = item
        share.on_batch_start(item.request_id, self._context.now_ms())
        return self._run_item(held, item, server_id, share, pool)

    def _run_item(
        self,
        held: HeldSegment,
        item: BatchItem,
        server_id: ServerId,
        share: ServerShare,
        pool: Pool,
    ) -> Workflow[None]:
        began_ms = self._context.now_ms()
        call = self._call_of(item, server_id, share, began_ms)
        reply = yield from call_server(call)
        now_ms = self._context.now_ms()
        item.is_running = False
        self._alone.discard(server_id)
        self._items.pop(item.request_id, None)
        share.on_batch_end(item.request_id, now_ms)
        if reply.kind is ReplyKind.COMPLETE:
            share.on_call_end(now_ms - began_ms)
        item.frames.extend(reply.frames)
        pool.wake.fire(None)
        if held.is_lost:
            return
        if reply.was_not_run and not held.is_releasing:
            yield from sleep_until(now_ms + REFUSED_PAUSE_MS)
        self._judge(held, item, reply, pool)
        if held.is_releasing:
            held.wake_up()

    def _call_of(
        self, item: BatchItem, server_id: ServerId, share: ServerShare, now_ms: float
    ) -> ServerCall:
        def on_frame(at_ms: float) -> None:
            share.on_frame(item.request_id, at_ms)

        return ServerCall(
            server_id=server_id,
            request_id=item.request_id,
            method=item.method,
            path=item.url,
            headers=(('Idempotency-Key', item.request_id),),
            body=item.body,
            is_streamed=item.is_model,
            refuses_by_status=item.is_model,
            resume_from_frame=len(item.frames),
            deadline_ms=now_ms + ITEM_LIMIT_MS,
            cancel=item.cancel,
            on_frame=on_frame,
        )

    def _judge(self, held: HeldSegment, item: BatchItem, reply: ServerReply, pool: Pool) -> None:
        """Decide what an attempt means for its item."""
        if reply.was_not_run:
            _put_back(held, item, pool)
            return
        item.may_have_run = True
        if reply.kind is ReplyKind.COMPLETE and self._judge_answer(held, item, reply):
            return
        if not held.is_repeatable:
            outcome = failed_outcome(
                item.request_id, item.custom_id, FailureCode.OUTCOME_UNKNOWN, 'unknown'
            )
            held.record(item.position, outcome)
            return
        if reply.kind is ReplyKind.CANCELLED:
            _put_back(held, item, pool)
            return
        held.record_attempt(item)
        if item.attempts < ATTEMPTS_LIMIT:
            _put_back(held, item, pool)
            return
        outcome = failed_outcome(
            item.request_id,
            item.custom_id,
            FailureCode.ATTEMPTS_EXHAUSTED,
            'unknown',
            status=reply.status,
            body=reply.body,
        )
        held.record(item.position, outcome)

    def _judge_answer(self, held: HeldSegment, item: BatchItem, reply: ServerReply) -> bool:
        """Take a whole answer; tell whether it settles the item."""
        if reply.status in PASSING_STATUSES or reply.status >= 500:  # noqa: PLR2004
            if held.is_repeatable:
                return False
            held.record(item.position, _rejected(item, reply, 'unknown'))
            return True
        if reply.status >= 400:  # noqa: PLR2004
            run = 'not_run' if item.is_model else 'ran'
            held.record(item.position, _rejected(item, reply, run))
            return True
        body = reply.body
        if item.is_model:
            whole = whole_answer(item.frames)
            if whole is None:
                # A stream that ended cleanly and is no whole answer: begin it anew.
                item.frames.clear()
                return False
            body = whole
        outcome = success_outcome(item.request_id, item.custom_id, reply.status, body)
        held.record(item.position, outcome)
        return True

    def _tend(self, held: HeldSegment, pool: Pool) -> Workflow[None]:
        """Look after a held segment until it is done, lost or handed back."""
        while not held.is_lost:
            # Taken before the look: what happens after it fires this very signal.
            changed = held.rest()
            if held.is_careful and not held.is_releasing:
                window = held.next_window()
                if window:
                    # The mark goes first: a holder that dies now leaves word of what it ran.
                    if not (yield from self._commit_part(held)):
                        break
                    _offer(held, window, pool)
            elif not held.is_releasing and (window := held.next_window()):
                _offer(held, window, pool)
            if not held.unfinished or (held.is_releasing and not held.running_count):
                yield from self._commit_part(held)
                break
            until_ms = self._context.now_ms() + self._limits.part_every_ms
            fired = yield from wait_for(changed, until_ms)
            if not fired and held.outcomes and not held.is_lost:
                yield from self._commit_part(held)
        self._forget(held)
        pool.wake.fire(None)
        if not held.is_lost and not held.remaining:
            yield from self._sweeper.finish(held.job_id)

    def _commit_part(self, held: HeldSegment) -> Workflow[bool]:
        """Make outcomes visible: the objects first, then one transaction.

        The transaction checks the segment's and the job's rows. If another instance took over
        or the job was cancelled meanwhile, it fails, and the objects stay unseen.
        """
        positions = sorted(held.outcomes)
        part = yield from self._store_part(held, positions)
        while not held.is_lost:
            row = self._row_after(held, positions)
            checks: list[tuple[RowKey, int | None]] = [
                (held.key, held.row_version),
                (job_row_key(held.job_id), held.job_version),
            ]
            writes: list[tuple[RowKey, msgspec.Struct | None]] = []
            if part is not None:
                part_key = part_row_key(held.job_id, held.segment, held.row.parts_count)
                checks.append((part_key, None))
                writes.append((part_key, part))
            writes.append((held.key, row if row.remaining else None))
            wanted = transaction(self._context, checks, writes)
            until_ms = self._context.now_ms() + COMMIT_LIMIT_MS
            result = yield from commit(self._context, wanted, until_ms)
            if isinstance(result, Committed):
                held.committed(row, result.version, positions)
                return True
            if isinstance(result, Conflict):
                self._lose(held)
                return False
            if isinstance(result, CommitDoubt):
                settled = yield from self._settle(held, wanted.write_id)
                if settled is not None:
                    held.committed(row, settled, positions)
                    return True
        return False

    def _settle(self, held: HeldSegment, write_id: str) -> Workflow[int | None]:
        """After a long outage, learn whether the commit in doubt took effect."""
        found = yield from read_rows(held.key)
        if isinstance(found, PlatformFailure):
            return None
        row = found.get(held.key)
        if row is not None and row.write_id == write_id:
            return row.version
        return None

    def _store_part(self, held: HeldSegment, positions: list[int]) -> Workflow[PartRow | None]:
        if not positions:
            return None
        good = [held.outcomes[each].line for each in positions if held.outcomes[each].is_success]
        bad = [held.outcomes[each].line for each in positions if not held.outcomes[each].is_success]
        # The fence in the name keeps a holder that was overtaken from writing over the
        # objects of the one that has the segment now.
        stem = f'result/{held.job_id}/{held.segment:06d}/{held.row.fence}-{held.row.parts_count}'
        output_key = yield from self._store_lines(held, f'{stem}.out', good)
        error_key = yield from self._store_lines(held, f'{stem}.err', bad)
        return PartRow(
            kind=PartKind.RESULTS,
            items=ItemSet.of(positions).text(),
            output_key=output_key,
            error_key=error_key,
            succeeded_count=len(good),
            failed_count=len(bad),
            finished_epoch_ms=self._context.epoch_ms(),
        )

    def _store_lines(
        self, held: HeldSegment, key: str, lines: list[bytes]
    ) -> Workflow[ObjectKey | str]:
        if not lines:
            return ''
        body = b'\n'.join(lines) + b'\n'
        while not held.is_lost:
            failure = yield from put_object(ObjectKey(key), body)
            if failure is None:
                return ObjectKey(key)
            pause_ms = self._context.jittered_ms(PUT_PAUSE_MS)
            yield from sleep_until(self._context.now_ms() + pause_ms)
        return ''

    def _row_after(self, held: HeldSegment, positions: list[int]) -> TodoRow:
        remaining = held.remaining - ItemSet.of(positions)
        is_released = held.is_releasing and not held.running_count
        started = held.started() if held.is_careful else ItemSet()
        if is_released:
            started = ItemSet()
        attempts = {each: count for each, count in held.attempts.items() if each in remaining}
        return msgspec.structs.replace(
            held.row,
            remaining=remaining.text(),
            owner='' if is_released else held.row.owner,
            started=started.text(),
            attempts=attempts,
            parts_count=held.row.parts_count + (1 if positions else 0),
        )

    def _release(self, held: HeldSegment) -> None:
        held.is_releasing = True
        held.wake_up()

    def _lose(self, held: HeldSegment) -> None:
        held.lose()
        self._forget(held)

    def _forget(self, held: HeldSegment) -> None:
        if self._held.get(held.key) is held:
            del self._held[held.key]
        if not self._held and self._is_leaving:
            self._emptied.fire(None)


def _offer(held: HeldSegment, window: list[BatchItem], pool: Pool) -> None:
    calm = [item for item in window if not _must_run_alone(item)]
    if calm:
        pool.push(held, calm)
    for item in window:
        if _must_run_alone(item):
            pool.push_suspect(held, item)


def _put_back(held: HeldSegment, item: BatchItem, pool: Pool) -> None:
    if _must_run_alone(item):
        pool.push_suspect(held, item)
    else:
        pool.push_back(held, item)


def _must_run_alone(item: BatchItem) -> bool:
    return item.attempts == ATTEMPTS_LIMIT - 1


def _rejected(item: BatchItem, reply: ServerReply, run: str) -> ItemOutcome:
    return failed_outcome(
        item.request_id,
        item.custom_id,
        FailureCode.REJECTED,
        run,
        status=reply.status,
        body=reply.body,
    )


def _job_state(value: msgspec.Raw) -> JobState:
    return msgspec.json.decode(value, type=JobRow).state
