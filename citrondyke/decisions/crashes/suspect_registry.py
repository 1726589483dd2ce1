"""Which requests are suspected of ending their servers, and what may be done with them."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.crashes.request_fingerprint import RequestFingerprint
from citrondyke.decisions.crashes.suspect import (
    BEGUN_WEIGHT,
    FRESH_WEIGHT,
    Suspect,
    SuspectRow,
)
from citrondyke.ids import ContentDigest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.decisions.core.context import Context

__all__ = ('SuspectRegistry', 'SuspectStatus')

#: Servers that may end under a request before it is stopped. With two, requests that stood beside
#: a culprit at its first two servers would be stopped with it; each one more costs everybody on
#: another server their answers.
EXITS_LIMIT = 3.0
#: Sends beyond the limit, one at a time in the whole fleet: who was there by chance is cleared by
#: the first; who is not stays stopped. More would lose a server each.
PROBES_LIMIT = 3
#: Pause between the last end and the first trial: servers start anew within seconds, and the loss
#: of one more hurts least when the others are back.
FIRST_PROBE_PAUSE_MS = 3_000.0
#: Pause before the second trial, doubled for the next: long enough for an operator to see why
#: servers end, and to change it.
PROBE_PAUSE_MS = 600_000.0
#: ... of a batch item, whose job must come to an end within its own time.
ITEM_PROBE_PAUSE_MS = 5_000.0
#: Trials that a full server turned away may be made up for so often.
REFUSED_LIMIT = 2
#: Others with the same work are asked back while a trial is under way for at most so long.
PROBE_TIMEOUT_MS = 3_000.0
#: What is known is forgotten after a day without another end or trial.
KEPT_MS = 86_400_000.0
#: Suspects that are remembered, some 400 bytes each; the least suspected go first.
SUSPECTS_LIMIT = 1_000
#: What is worth telling the store: one end alone is chance nearly always.
STORED_SCORE = 2.0


class SuspectStatus(Enum):
    """What may be done with a request."""

    FREE = 'free'
    #: It goes where few others and no other suspects are.
    SUSPECTED = 'suspected'
    #: It may be sent once if nobody else in the fleet does.
    PROBE_DUE = 'trial_due'
    #: Its trial is under way somewhere.
    PROBE_RUNNING = 'on_trial'
    STOPPED = 'stopped'


class SuspectRegistry:
    """Counts ends of servers by the content of the requests that were under way there.

    Answers a request that ends each server that runs it and comes again under new ids, at any
    instance: counted by attempt it would end as many servers as each attempt may be sent to. A
    crash takes everybody on the server along, so that being there is weak evidence: it counts
    once for a server, less for whom its answer had long begun, and a whole answer anywhere takes
    all of it back.
    """

    def __init__(self, context: Context) -> None:
        """Start without a suspect."""
        self._context = context
        self._by_digest: dict[ContentDigest, Suspect] = {}
        self._targets: Counter[int] = Counter()

    def __len__(self) -> int:
        """Count the suspects."""
        return len(self._by_digest)

    def contents(self) -> list[RequestFingerprint]:
        """List the suspects."""
        return [suspect.content for suspect in self._by_digest.values() if suspect.lives]

    def probes_count(self, content: RequestFingerprint) -> int:
        """Count the trials of a request."""
        suspect = self._by_digest.get(content.digest)
        return 0 if suspect is None else suspect.trials

    def has_suspects_for(self, target: int) -> bool:
        """Tell whether a request for a target may be a suspect."""
        return target in self._targets

    def score(self, content: RequestFingerprint) -> float:
        """Give the servers that have ended under a request, weighed."""
        suspect = self._by_digest.get(content.digest)
        return 0.0 if suspect is None else suspect.score

    def record_server_exit(
        self, content: RequestFingerprint, server: int, *, is_fresh: bool
    ) -> bool:
        """Count a server's end against a request; tell whether that is news.

        :param server: digest of the server's life.
        :param is_fresh: whether its answer had not come for long.
        """
        weight = FRESH_WEIGHT if is_fresh else BEGUN_WEIGHT
        return self._suspect(content).count(server, weight, self._context.epoch_ms())

    def record_survived(self, content: RequestFingerprint) -> bool:
        """Take in a whole answer; tell whether the request had been suspected."""
        suspect = self._by_digest.get(content.digest)
        if suspect is None or not suspect.lives:
            return False
        suspect.clear(self._context.epoch_ms())
        return True

    def merge(self, row: SuspectRow) -> bool:
        """Take in what another instance or the store knows; tell whether that is news."""
        if row.changed_epoch_ms < self._context.epoch_ms() - KEPT_MS:
            return False
        content = RequestFingerprint(ContentDigest(row.digest), row.target)
        return self._suspect(content).merge(row)

    def status_of(self, content: RequestFingerprint, *, is_item: bool = False) -> SuspectStatus:
        """Tell what may be done with a request."""
        suspect = self._by_digest.get(content.digest)
        if suspect is None or not suspect.lives:
            return SuspectStatus.FREE
        if suspect.score < EXITS_LIMIT:
            return SuspectStatus.SUSPECTED
        epoch_ms = self._context.epoch_ms()
        if _is_probe_due(suspect, epoch_ms, is_item=is_item):
            return SuspectStatus.PROBE_DUE
        is_undecided = suspect.score <= suspect.score_at_trial
        if is_undecided and epoch_ms < suspect.tried_epoch_ms + PROBE_TIMEOUT_MS:
            return SuspectStatus.PROBE_RUNNING
        return SuspectStatus.STOPPED

    def row(self, content: RequestFingerprint) -> SuspectRow | None:
        """Give what is known of a request."""
        suspect = self._by_digest.get(content.digest)
        return None if suspect is None else suspect.row()

    def probe_row(self, content: RequestFingerprint) -> SuspectRow:
        """Give what the store must hold before a trial begins."""
        suspect = self._suspect(content)
        return msgspec.structs.replace(
            suspect.row(),
            trials=suspect.trials + 1,
            tried_epoch_ms=self._context.epoch_ms(),
            score_at_trial=suspect.score,
            changed_epoch_ms=self._context.epoch_ms(),
            claim=self._context.new_write_id(),
        )

    def record_probe_refused(self, content: RequestFingerprint) -> None:
        """Take note that no server ran a trial."""
        suspect = self._by_digest.get(content.digest)
        if suspect is not None:
            suspect.refused += 1

    def stored_rows(self) -> list[SuspectRow]:
        """Give what a newcomer should know."""
        return [
            suspect.row()
            for suspect in self._by_digest.values()
            if suspect.score >= STORED_SCORE or suspect.era
        ]

    def forget_old(self) -> Iterable[ContentDigest]:
        """Forget what is a day old; give the names of what is gone."""
        oldest_ms = self._context.epoch_ms() - KEPT_MS
        gone = [
            digest
            for digest, suspect in self._by_digest.items()
            if suspect.changed_epoch_ms < oldest_ms
        ]
        for digest in gone:
            self._drop(digest)
        return gone

    def _suspect(self, content: RequestFingerprint) -> Suspect:
        suspect = self._by_digest.get(content.digest)
        if suspect is None:
            if len(self._by_digest) >= SUSPECTS_LIMIT:
                least = min(
                    self._by_digest.values(), key=lambda each: (each.score, each.changed_epoch_ms)
                )
                self._drop(least.content.digest)
            suspect = Suspect(content, {}, [])
            self._by_digest[content.digest] = suspect
            self._targets[content.target] += 1
        return suspect

    def _drop(self, digest: ContentDigest) -> None:
        target = self._by_digest.pop(digest).content.target
        self._targets[target] -= 1
        if not self._targets[target]:
            del self._targets[target]


def _is_probe_due(suspect: Suspect, epoch_ms: float, *, is_item: bool) -> bool:
    if suspect.trials >= PROBES_LIMIT + suspect.refused:
        return False
    ran = suspect.trials - suspect.refused
    if ran <= 0:
        is_retry_due = epoch_ms >= suspect.changed_epoch_ms + FIRST_PROBE_PAUSE_MS
        return is_retry_due and suspect.refused < REFUSED_LIMIT
    pause_ms = ITEM_PROBE_PAUSE_MS if is_item else PROBE_PAUSE_MS
    return epoch_ms >= suspect.tried_epoch_ms + pause_ms * 2.0 ** (ran - 1)
