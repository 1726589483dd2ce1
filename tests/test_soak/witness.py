"""What callers and servers saw, and which promises it breaks."""

from __future__ import annotations

import re
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

import msgspec

from citrondyke.standin.platform_server import AnswerMode, PlatformServer, ServerRun
from citrondyke.standin.stream_faults import UNFRAMED_ENDS
from tests.support.gateway import Reply
from tests.support.streams import StreamPart, events_of, is_one_text
from tests.test_soak.soak_fleet import HOT_ALLOWED, WINDOW_S

__all__ = ('Asked', 'JobSeen', 'TakenUp', 'Witness')

#: Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
EVENTS = 6
#: Streams taken up from which on their share counts.
TAKEN_UP_ENOUGH = 12
#: A leaving server may get requests for so long after it said so, in s; more than the platform's
#: 2 s, as the entry goes through proxies here.
LEAVE_S = 4.0
#: Servers that may end under one request, and sends beyond them, once the news of the last end had
#: this long to come round; an instance that nobody reaches is cut off for less.
EXITS_LIMIT = 3
#: The same for a prompt part of requests that differ.
PART_EXITS_LIMIT = 5
#: Sound requests from which on their share of answers counts.
SOUND_ENOUGH = 20
SENDS_BEYOND = 3
NEWS_S = 3.0
#: Streams without a fault from which on their share counts.
SOUND_STREAMS_ENOUGH = 20
COMMENT_BLOCK = re.compile(rb'(?m)^:[^\n]*\n\n')
#: What servers write that state no version.
TEXT = '\n'.join(f'text {number}' for number in range(1, EVENTS + 1))
STREAM = b''.join(b'id: %d\ndata: text %d\n\n' % (n, n) for n in range(1, EVENTS + 1))


class Asked(msgspec.Struct):
    """One request of a caller and its answer."""

    request_id: str
    kind: str
    body: bytes
    reply: Reply
    sent_s: float = 0.0


class TakenUp(msgspec.Struct):
    """One attempt of a caller to go on with a stream."""

    request_id: str
    #: What the caller has of the stream after it.
    events: list[StreamPart]
    reply: Reply
    #: Whether servers of its version served all the while.
    could_go_on: bool = True


class JobSeen(msgspec.Struct):
    """One batch job as its caller saw it."""

    job_id: str
    item_ids: list[str]
    statuses: list[int] = []
    #: Results by position, as first read.
    results: dict[int, dict[str, Any]] = {}
    is_ended: bool = False
    #: Item with a prompt part that ends its servers; nobody waits for it.
    harmful_id: str = ''

    @property
    def owed_count(self) -> int:
        """Count the items that must get a result."""
        return len(self.item_ids) - bool(self.harmful_id)

    def prompt_of(self, item_id: str, shared: str, harmful: str) -> str:
        """Name the prompt parts of an item."""
        parts = [shared, harmful] if item_id == self.harmful_id else [shared]
        return ','.join(f'{part}:100' for part in [*parts, item_id])

    @property
    def is_accepted(self) -> bool:
        """Tell whether the caller was told that it is kept."""
        return 202 in self.statuses


class Witness:
    """Collects, and judges at the end."""

    def __init__(self) -> None:
        """Start having seen nothing."""
        self.asked: list[Asked] = []
        self.taken_up: list[TakenUp] = []
        self.jobs: dict[str, JobSeen] = {}
        self.wrong: list[str] = []
        #: Bodies under which servers end.
        self.crash_bodies: set[bytes] = set()
        #: Prompt parts under which servers end, each with the kind of its requests.
        self.crash_parts: dict[str, str] = {}
        #: When requests of the hot account were sent.
        self.hot_sent_s: dict[str, float] = {}
        #: Streams that came whole and whose end was that of their connection.
        self.unframed_streams_count = 0

    def complain(self, what: str) -> None:
        """Note a broken promise."""
        self.wrong.append(what)

    def note_hot(self, request_id: str) -> None:
        """Take in that a request of the hot account is sent."""
        self.hot_sent_s[request_id] = time.monotonic()

    def note_page(self, job: JobSeen, after: int, page: dict[str, Any]) -> None:
        """Take in a read of results; what stood at a position stays there."""
        if page['total'] != len(job.item_ids):
            self.complain(f'{job.job_id}: total {page["total"]} of {len(job.item_ids)}')
        for position, result in enumerate(page['results'], after):
            known = job.results.setdefault(position, result)
            if known != result:
                self.complain(f'{job.job_id}: position {position} changed')

    def judge(self, servers: Iterable[PlatformServer], left_s: dict[str, float]) -> list[str]:
        """Give all broken promises."""
        servers = list(servers)
        runs: dict[str, list[ServerRun]] = {}
        for server in servers:
            for run in server.runs:
                runs.setdefault(run.request_id, []).append(run)
            self._judge_leaving(server, left_s.get(server.server_id))
            self._judge_keys(server)
        self._judge_window(runs)
        for body in self.crash_bodies:
            runs_s = [run.began_s for server in servers for run in server.runs if run.body == body]
            self._judge_deadly(repr(body), runs_s, EXITS_LIMIT)
        for part, kind in self.crash_parts.items():
            self._judge_part(part, kind, servers)
        for asked in self.asked:
            self._judge_answer(asked, runs.get(asked.request_id, []))
        for job in self.jobs.values():
            self._judge_job(job, runs)
        self._judge_taken_up(runs)
        self._judge_sound_streams(runs)
        return self.wrong

    @property
    def begun_share(self) -> float:
        """Share of the new streams that servers began."""
        return _share_of_answers([each.reply for each in self.asked if each.kind == 'stream'])

    @property
    def went_on_share(self) -> float:
        """Share of the streams taken up that went on."""
        return _share_of_answers([each.reply for each in self.taken_up if each.could_go_on])

    def _judge_taken_up(self, runs: dict[str, list[ServerRun]]) -> None:
        for taken in self.taken_up:
            if not is_one_text(taken.events):
                self.complain(f'{taken.request_id} joined {taken.events}')
            if taken.reply.status in NOT_RUN and runs.get(taken.request_id):
                self.complain(f'{taken.request_id} was answered {taken.reply.status} and ran')
            if taken.reply.status == 200 and taken.reply.is_whole:
                self._judge_stream_end(
                    taken.request_id, taken.reply, taken.events, runs.get(taken.request_id, [])
                )
        counted = sum(each.could_go_on for each in self.taken_up)
        if counted >= TAKEN_UP_ENOUGH and self.went_on_share < self.begun_share / 2:
            self.complain(f'{self.went_on_share:.2f} of the streams taken up went on')

    def _judge_leaving(self, server: PlatformServer, left_s: float | None) -> None:
        if left_s is None:
            return
        late = [run for run in server.runs if run.began_s > left_s + LEAVE_S]
        if late:
            self.complain(f'{server.server_id} got {len(late)} requests after it left')

    def _judge_keys(self, server: PlatformServer) -> None:
        """A server learns whose request it is from the instances, and never a key."""
        for run in server.runs:
            kind = run.request_id.partition('-')[0]
            account = {'hot': b'hot', 'changing': b'changing'}.get(kind, b'steady')
            if run.headers and run.headers.get(b'tenant') != account:
                self.complain(f'{run.request_id} ran as {run.headers.get(b"tenant")!r}')
            if b'x-api-key' in run.headers:
                self.complain(f'the key of {run.request_id} went on to a server')
            if kind == 'nobodys':
                self.complain(f"{run.request_id} ran though its key is nobody's")

    def _judge_window(self, runs: dict[str, list[ServerRun]]) -> None:
        """Count what was sent and begun in each window that begins with a request."""
        begun = sorted(
            (sent_s, min(run.began_s for run in runs[request_id]))
            for request_id, sent_s in self.hot_sent_s.items()
            if runs.get(request_id)
        )
        for place, (from_s, _) in enumerate(begun):
            inside = sum(began_s <= from_s + WINDOW_S for _, began_s in begun[place:])
            if inside > HOT_ALLOWED:
                self.complain(f'{inside} requests of the hot account in a window')
                return

    def _judge_deadly(self, name: str, runs_s: list[float], limit: int) -> None:
        began_s = sorted(runs_s)
        if len(began_s) < limit:
            return
        late = [each for each in began_s if each > began_s[limit - 1] + NEWS_S]
        if len(late) > SENDS_BEYOND:
            self.complain(f'{name} was sent {len(late)} times more; it ran {len(began_s)} times')

    def _judge_part(self, part: str, kind: str, servers: list[PlatformServer]) -> None:
        """A part is found, and sound requests of the same kind and first part go on."""
        runs_s = sorted(
            run.began_s for server in servers for run in server.runs if part in run.shared_parts
        )
        self._judge_deadly(f'part {part}', runs_s, PART_EXITS_LIMIT)
        if not runs_s:
            return
        found_s = runs_s[:PART_EXITS_LIMIT][-1] + 2 * NEWS_S
        sound = [each for each in self.asked if each.kind == kind and each.sent_s]
        after = [each.reply for each in sound if each.sent_s > found_s]
        before = [each.reply for each in sound if each.sent_s < runs_s[0]]
        if min(len(after), len(before)) < SOUND_ENOUGH:
            return
        shares = [_share_of_answers(replies) for replies in (after, before)]
        if shares[0] < shares[1] / 2:
            self.complain(
                f'{shares[0]:.2f} of sound requests beside {part}, {shares[1]:.2f} before'
            )

    def _judge_answer(self, asked: Asked, runs: list[ServerRun]) -> None:
        reply, name = asked.reply, f'{asked.kind} {asked.request_id}'
        if asked.kind in ('order', 'stream-once') and len(runs) > 1:
            self.complain(f'{name} ran {len(runs)} times')
        if reply.status in NOT_RUN and runs:
            self.complain(f'{name} was answered {reply.status} and ran')
        if reply.status != 200 or not reply.is_whole:
            return
        if asked.kind.startswith('stream'):
            self._judge_stream_end(name, reply, events_of(reply.body), runs)
        elif reply.body != b'answer to ' + asked.body:
            self.complain(f'{name} has the body {reply.body[:80]!r}')
        if not reply.headers.get('response-seal'):
            self.complain(f'{name} is a success of no server')

    def _judge_stream_end(
        self, name: str, reply: Reply, events: list[StreamPart], runs: list[ServerRun]
    ) -> None:
        """A stream that came whole has all events of one text, and nothing else.

        One whose end is that of its connection may have fewer, if a server ended it so.
        """
        is_framed = 'content-length' in reply.headers or 'transfer-encoding' in reply.headers
        may_be_short = not is_framed and any(run.stream_fault in UNFRAMED_ENDS for run in runs)
        self.unframed_streams_count += not is_framed
        is_whole = len(events) == EVENTS or may_be_short
        if not (is_whole and is_one_text(events) and _has_only(reply.body, events)):
            ordered = sorted(runs, key=lambda run: run.began_s)
            ends = [(run.stream_fault or run.answer_mode).value for run in ordered]
            self.complain(f'{name} has the body {reply.body[:80]!r} after the runs {ends}')

    def _judge_sound_streams(self, runs: dict[str, list[ServerRun]]) -> None:
        """Streams of one run without a fault come whole."""
        sound = [
            each.reply
            for each in self.asked
            if each.kind.startswith('stream')
            and each.reply.status == 200
            and [(run.stream_fault, run.answer_mode) for run in runs.get(each.request_id, [])]
            == [(None, AnswerMode.SERVE)]
        ]
        whole_count = sum(reply.is_whole for reply in sound)
        if len(sound) >= SOUND_STREAMS_ENOUGH and whole_count < len(sound) / 2:
            self.complain(f'{whole_count} of {len(sound)} sound streams came whole')

    def _judge_job(self, job: JobSeen, runs: dict[str, list[ServerRun]]) -> None:
        if not job.is_accepted:
            self._judge_refused(job, runs)
            return
        if job.is_ended:
            return
        listed = [result['id'] for _, result in sorted(job.results.items())]
        missing = Counter(job.item_ids) - Counter(listed)
        missing.pop(job.harmful_id, None)
        if missing or Counter(listed) - Counter(job.item_ids):
            self.complain(f'{job.job_id}: listed {len(listed)} of {len(job.item_ids)} items')
        for result in job.results.values():
            ends = Counter(run.answer_mode for run in runs.get(result['id'], []))
            may_fail = ends[AnswerMode.FAIL] >= 3 or ends[AnswerMode.IMPOSSIBLE] > 0
            if result['state'] != 'completed' and not may_fail:
                self.complain(f'{job.job_id}: {result["id"]} is {result["state"]}')
            if result['state'] == 'completed' and not _is_whole_text(result['text']):
                self.complain(f'{job.job_id}: {result["id"]} has the text {result["text"]!r}')

    def _judge_refused(self, job: JobSeen, runs: dict[str, list[ServerRun]]) -> None:
        if not job.statuses or set(job.statuses) - NOT_RUN:
            return
        ran = [item_id for item_id in job.item_ids if runs.get(item_id)]
        if ran:
            self.complain(f'{job.job_id} was refused by {job.statuses} and {len(ran)} items ran')


def _is_whole_text(text: str) -> bool:
    events = [StreamPart(number, line) for number, line in enumerate(text.split('\n'), 1)]
    return len(events) == EVENTS and is_one_text(events)


def _has_only(body: bytes, events: list[StreamPart]) -> bool:
    """Tell whether a body has comments beside the last of some events, and nothing else."""
    found = events_of(body)
    text = b''.join(f'id: {event.id}\ndata: {event.text}\n\n'.encode() for event in found)
    return COMMENT_BLOCK.sub(b'', body) == text and events[len(events) - len(found) :] == found


def _share_of_answers(replies: list[Reply]) -> float:
    return sum(reply.status == 200 for reply in replies) / max(1, len(replies))
