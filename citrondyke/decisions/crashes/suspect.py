"""Evidence against one key of requests under which servers exited."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.crashes.suspect_key import SuspectKey

__all__ = ('BEGUN_WEIGHT', 'EXITS_LIMIT', 'FRESH_WEIGHT', 'Suspect', 'SuspectRow')

#: Weighted server exits after which a request is blocked. With two, requests that ran beside a
#: poison request on its first two servers would be blocked with it; each additional exit costs all
#: requests on one more server their responses.
EXITS_LIMIT = 3.0
#: Weight of a server's exit for a request whose response had just started, or not yet.
FRESH_WEIGHT = 1.0
#: Weight for a request whose response had been streaming for a while. A poison request crashes its
#: server while its input is processed, with few exceptions, and about eight innocent requests are
#: in flight at each crash.
BEGUN_WEIGHT = 0.25
#: Exits cleared by a success that are remembered, as reports of them may arrive late.
CLEARED_LIMIT = 64


class SuspectRow(msgspec.Struct, frozen=True):
    """A suspect as it is stored and exchanged between instances."""

    digest: str
    target: int
    #: Weight of each server's exit, by the digest of its incarnation.
    lives: dict[int, float] = {}
    cleared: list[int] = []
    #: Number of successes so far; evidence of an earlier number is void.
    era: int = 0
    trials: int = 0
    refused: int = 0
    tried_epoch_ms: float = 0.0
    score_at_trial: float = 0.0
    changed_epoch_ms: float = 0.0
    #: Identifies the write that claimed a probe; simultaneous claims would otherwise be equal.
    claim: str = ''


class Suspect(msgspec.Struct):
    """Evidence against one key since its last success, and its probes.

    Merging is commutative and idempotent, so that reports, stored rows and rows from peers may
    arrive in any order and more than once. The other fields are those of ``SuspectRow``.
    """

    key: SuspectKey
    lives: dict[int, float]
    cleared: list[int]
    era: int = 0
    #: Probes allowed beyond the exit limit, and those of them that no server ran.
    trials: int = 0
    refused: int = 0
    tried_epoch_ms: float = 0.0
    score_at_trial: float = 0.0
    changed_epoch_ms: float = 0.0
    #: Exits that this instance does not count, since the key was answered shortly before.
    excused: set[int] = msgspec.field(default_factory=set)
    #: When this instance learned of the first exit, by its monotonic clock.
    first_ms: float | None = None

    @property
    def score(self) -> float:
        """Return the sum of the exit weights; each exit counts once."""
        return sum(self.counted.values())

    @property
    def counted(self) -> dict[int, float]:
        """Return the weights of the exits that are not excused."""
        if not self.excused:
            return self.lives
        return {each: weight for each, weight in self.lives.items() if each not in self.excused}

    def count(self, server: int, weight: float, epoch_ms: float) -> bool:
        """Count a server's exit; return whether this changed the evidence."""
        if server in self.cleared or self.lives.get(server, 0.0) >= weight:
            return False
        self.lives[server] = weight
        self.changed_epoch_ms = max(self.changed_epoch_ms, epoch_ms)
        return True

    def clear(self, epoch_ms: float) -> None:
        """Discard the evidence after a success."""
        self.discard_excused()
        self.era += 1
        self.trials = self.refused = 0
        self.tried_epoch_ms = self.score_at_trial = 0.0
        self.changed_epoch_ms = max(self.changed_epoch_ms, epoch_ms)

    def discard_excused(self) -> None:
        """Discard evidence that nobody else knows, after a success."""
        self.cleared = (self.cleared + list(self.lives))[-CLEARED_LIMIT:]
        self.lives = {}
        self.excused = set()
        self.first_ms = None

    def merge(self, row: SuspectRow) -> bool:
        """Merge another instance's evidence; return whether anything changed."""
        before = self.row()
        if row.era > self.era:
            self.clear(row.changed_epoch_ms)
            self.era = row.era
        self.cleared = list(dict.fromkeys([*self.cleared, *row.cleared]))[-CLEARED_LIMIT:]
        if row.era == self.era:
            for server, weight in row.lives.items():
                self.count(server, weight, row.changed_epoch_ms)
            if row.trials >= self.trials:
                self.trials = row.trials
                self.score_at_trial = max(self.score_at_trial, row.score_at_trial)
            self.refused = max(self.refused, row.refused)
            self.tried_epoch_ms = max(self.tried_epoch_ms, row.tried_epoch_ms)
        self.lives = {each: self.lives[each] for each in self.lives if each not in self.cleared}
        self.changed_epoch_ms = max(self.changed_epoch_ms, row.changed_epoch_ms)
        return self.row() != before

    def row(self) -> SuspectRow:
        """Return the row to store and to send to peers."""
        return SuspectRow(
            digest=self.key.digest,
            target=self.key.target,
            lives=dict(self.counted),
            cleared=list(self.cleared),
            era=self.era,
            trials=self.trials,
            refused=self.refused,
            tried_epoch_ms=self.tried_epoch_ms,
            score_at_trial=self.score_at_trial,
            changed_epoch_ms=self.changed_epoch_ms,
        )
