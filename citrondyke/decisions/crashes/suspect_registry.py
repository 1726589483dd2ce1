"""Registry of request contents and prompt parts suspected of crashing servers."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.crashes.probe_policy import FIRST_PROBE_PAUSE_MS, ONLINE_PROBES
from citrondyke.decisions.crashes.proven_parts import PROVEN_MS, ProvenParts
from citrondyke.decisions.crashes.suspect import (
    BEGUN_WEIGHT,
    EXITS_LIMIT,
    FRESH_WEIGHT,
    Suspect,
    SuspectRow,
)
from citrondyke.decisions.crashes.suspect_key import PART_TARGET, RequestKeys, SuspectKey
from citrondyke.ids import ContentDigest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.crashes.probe_policy import ProbePolicy

__all__ = ('SuspectRegistry', 'SuspectStatus', 'SuspectVerdict')

#: Exits within this time after the first one don't count against a prompt part that was answered
#: before: servers that exit for one cause do so within a second, and as long as others live, a
#: popular part is answered within one. An exit after it without an answer counts, and so do the
#: earlier ones: the part has turned harmful.
EXCUSED_MS = 1_500.0
#: Pause before the first probe of a request with several blocked parts. Requests with one of them
#: are probed earlier, since a probe with several doesn't show which part is harmful.
SHARED_PROBE_PAUSE_MS = 30_000.0
#: While a probe is in flight, identical requests get a retry time, for at most this long.
PROBE_TIMEOUT_MS = 3_000.0
#: Evidence expires after a day without another exit or probe.
EVIDENCE_EXPIRY_MS = 86_400_000.0
#: Suspects kept, about 400 bytes each; those with the lowest score are dropped first.
SUSPECTS_LIMIT = 1_000
#: Lowest score that is stored: a single exit is nearly always a coincidence.
STORED_SCORE = 2.0


class SuspectStatus(Enum):
    """Whether a request may be sent to a server; a later value outweighs an earlier one."""

    FREE = 'free'
    #: Sent to a server with few other requests and no other suspects.
    SUSPECTED = 'suspected'
    #: May be sent once, by the one instance that claims the probe.
    PROBE_DUE = 'trial_due'
    #: A probe of it is in flight at some instance.
    PROBE_RUNNING = 'on_trial'
    STOPPED = 'stopped'


class SuspectVerdict(msgspec.Struct, frozen=True):
    """Whether a request may be sent, and the key that decides it."""

    status: SuspectStatus = SuspectStatus.FREE
    #: ``None`` if no key of the request is a suspect.
    key: SuspectKey | None = None
    #: Whether a part of its prompt is a suspect.
    has_suspected_part: bool = False

    @property
    def is_blocked(self) -> bool:
        """Whether the request must not be sent now."""
        return self.status in (SuspectStatus.STOPPED, SuspectStatus.PROBE_RUNNING)


_FREE = SuspectVerdict()
_STATUS_ORDER = {status: order for order, status in enumerate(SuspectStatus)}


class SuspectRegistry:
    """Counts server exits by the keys of the requests that were in flight there.

    Handles a request that crashes every server that runs it and is retried under new ids through
    any instance, and requests that differ but share a prompt part that crashes servers: counted per
    attempt, each attempt would crash as many servers as its retry limit allows. A crash interrupts
    all requests on the server, so being in flight there is weak evidence: it counts once per
    server, less if the response had been streaming for a while, at first not at all for a prompt
    part that was answered lately, and one complete response at any instance clears all of it.
    """

    def __init__(self, context: Context) -> None:
        """Start without any suspects."""
        self._context = context
        self._proven_parts = ProvenParts(context)
        self._by_digest: dict[ContentDigest, Suspect] = {}
        self._targets: Counter[int] = Counter()

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._by_digest)

    def suspects(self) -> list[SuspectKey]:
        """List the keys of the current suspects."""
        return [suspect.key for suspect in self._by_digest.values() if suspect.score]

    def probes_count(self, key: SuspectKey) -> int:
        """Return how many probes of a suspect were claimed."""
        suspect = self._by_digest.get(key.digest)
        return 0 if suspect is None else suspect.trials

    def has_failed_probe(self, key: SuspectKey) -> bool:
        """Return whether a server exited under a probe of a suspect, too."""
        suspect = self._by_digest.get(key.digest)
        return (
            suspect is not None
            and suspect.trials > suspect.refused
            and suspect.score > suspect.score_at_trial
        )

    def has_suspects_for(self, target: int) -> bool:
        """Return whether a request for a target may be a suspect.

        :param target: target hash of the request's content.
        """
        return target in self._targets

    def score(self, key: SuspectKey) -> float:
        """Return the weighted number of servers that exited under a key."""
        suspect = self._by_digest.get(key.digest)
        return 0.0 if suspect is None else suspect.score

    def suspected_keys(self, keys: RequestKeys) -> list[SuspectKey]:
        """Return the keys of a request that are suspects; a body is digested only if it may be."""
        if not self._targets:
            return []
        found: list[SuspectKey] = []
        if keys.prompt_parts and self.has_suspects_for(PART_TARGET):
            found.extend(keys.parts)
        if self.has_suspects_for(keys.target):
            found.append(keys.content)
        return [key for key in found if self.score(key)]

    def verdict_on(self, keys: RequestKeys, policy: ProbePolicy = ONLINE_PROBES) -> SuspectVerdict:
        """Return whether a request may be sent: the worst verdict on any of its keys.

        Among equal ones the most specific key decides: the content, or else the last part.
        """
        found = self.suspected_keys(keys)
        if not found:
            return _FREE
        blocked_parts = [key for key in found if key.is_part and self.score(key) >= EXITS_LIMIT]
        first_pause_ms = SHARED_PROBE_PAUSE_MS if len(blocked_parts) > 1 else FIRST_PROBE_PAUSE_MS
        has_part = any(key.is_part for key in found)
        verdicts = [
            SuspectVerdict(self._status_of(key, first_pause_ms, policy), key, has_part)
            for key in found
        ]
        return max(reversed(verdicts), key=lambda each: _STATUS_ORDER[each.status])

    def record_answered(self, keys: RequestKeys) -> None:
        """Record that a server answered a request, which proves the parts of its prompt."""
        if not keys.prompt_parts:
            return
        self._proven_parts.record_answer(keys)
        if self.has_suspects_for(PART_TARGET):
            for key in keys.parts:
                suspect = self._by_digest.get(key.digest)
                if suspect is not None and not suspect.score:
                    suspect.discard_excused()

    def is_answered_now(self, key: SuspectKey) -> bool:
        """Return whether a key is a prompt part that was answered within ``EXCUSED_MS``."""
        return key.is_part and self._proven_parts.is_proven(key, EXCUSED_MS)

    def exits(self, key: SuspectKey) -> int:
        """Return the number of exits that count against a key."""
        suspect = self._by_digest.get(key.digest)
        return 0 if suspect is None else len(suspect.counted)

    def record_server_exit(
        self, key: SuspectKey, server: int, *, is_fresh: bool, is_reported: bool = False
    ) -> bool:
        """Count a server's exit against a key; return whether this changed the evidence.

        :param server: digest of the server's incarnation.
        :param is_fresh: whether the response had not started, or only a short time before.
        :param is_reported: whether a peer counts it, so that only a recent answer excuses it.
        """
        weight = FRESH_WEIGHT if is_fresh else BEGUN_WEIGHT
        suspect = self._suspect(key)
        if not suspect.count(server, weight, self._context.epoch_ms()):
            return False
        now_ms = self._context.now_ms()
        if suspect.first_ms is None:
            suspect.first_ms = now_ms
        within_ms = EXCUSED_MS if is_reported else PROVEN_MS
        is_excused = key.is_part and now_ms - suspect.first_ms < EXCUSED_MS
        if is_excused and self._proven_parts.is_proven(key, within_ms):
            suspect.excused.add(server)
            return False
        suspect.excused.clear()
        return True

    def record_survived(self, key: SuspectKey) -> bool:
        """Record a complete response; return whether the key was a suspect."""
        suspect = self._by_digest.get(key.digest)
        if suspect is None or not suspect.lives:
            return False
        suspect.clear(self._context.epoch_ms())
        return True

    def merge(self, row: SuspectRow) -> bool:
        """Merge a row from a peer or the store; return whether anything changed."""
        if row.changed_epoch_ms < self._context.epoch_ms() - EVIDENCE_EXPIRY_MS:
            return False
        key = SuspectKey(ContentDigest(row.digest), row.target)
        return self._suspect(key).merge(row)

    def status_of(self, key: SuspectKey, policy: ProbePolicy = ONLINE_PROBES) -> SuspectStatus:
        """Return whether a request may be sent that has no other suspected key."""
        return self._status_of(key, FIRST_PROBE_PAUSE_MS, policy)

    def _status_of(
        self, key: SuspectKey, first_pause_ms: float, policy: ProbePolicy
    ) -> SuspectStatus:
        suspect = self._by_digest.get(key.digest)
        if suspect is None or not suspect.score:
            return SuspectStatus.FREE
        if suspect.score < EXITS_LIMIT:
            return SuspectStatus.SUSPECTED
        epoch_ms = self._context.epoch_ms()
        if policy.is_due(suspect, epoch_ms, first_pause_ms):
            return SuspectStatus.PROBE_DUE
        is_undecided = suspect.score <= suspect.score_at_trial
        if is_undecided and epoch_ms < suspect.tried_epoch_ms + PROBE_TIMEOUT_MS:
            return SuspectStatus.PROBE_RUNNING
        return SuspectStatus.STOPPED

    def row(self, key: SuspectKey) -> SuspectRow | None:
        """Return the evidence against a key, if any."""
        suspect = self._by_digest.get(key.digest)
        return None if suspect is None else suspect.row()

    def probe_row(self, key: SuspectKey, policy: ProbePolicy = ONLINE_PROBES) -> SuspectRow:
        """Return the row that must be stored before a probe starts."""
        suspect = self._suspect(key)
        return msgspec.structs.replace(
            suspect.row(),
            trials=suspect.trials + policy.is_limited,
            tried_epoch_ms=self._context.epoch_ms(),
            score_at_trial=suspect.score,
            changed_epoch_ms=self._context.epoch_ms(),
            claim=self._context.new_write_id(),
        )

    def record_probe_refused(self, key: SuspectKey) -> None:
        """Record that no server ran a probe."""
        suspect = self._by_digest.get(key.digest)
        if suspect is not None:
            suspect.refused += 1

    def stored_rows(self) -> list[SuspectRow]:
        """Return the rows that a newly started instance needs."""
        return [
            suspect.row()
            for suspect in self._by_digest.values()
            if suspect.score >= STORED_SCORE or suspect.era
        ]

    def forget(self, digest: ContentDigest) -> bool:
        """Drop a suspect; return whether there was one."""
        if digest not in self._by_digest:
            return False
        self._drop(digest)
        return True

    def forget_old(self) -> Iterable[ContentDigest]:
        """Drop expired suspects; return their digests."""
        oldest_ms = self._context.epoch_ms() - EVIDENCE_EXPIRY_MS
        expired = [
            digest
            for digest, suspect in self._by_digest.items()
            if suspect.changed_epoch_ms < oldest_ms
        ]
        for digest in expired:
            self._drop(digest)
        return expired

    def _suspect(self, key: SuspectKey) -> Suspect:
        suspect = self._by_digest.get(key.digest)
        if suspect is None:
            if len(self._by_digest) >= SUSPECTS_LIMIT:
                weakest = min(
                    self._by_digest.values(), key=lambda each: (each.score, each.changed_epoch_ms)
                )
                self._drop(weakest.key.digest)
            suspect = Suspect(key, {}, [])
            self._by_digest[key.digest] = suspect
            self._targets[key.target] += 1
        return suspect

    def _drop(self, digest: ContentDigest) -> None:
        target = self._by_digest.pop(digest).key.target
        self._targets[target] -= 1
        if not self._targets[target]:
            del self._targets[target]
