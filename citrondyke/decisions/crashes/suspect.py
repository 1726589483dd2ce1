"""What is known of one request under which servers have ended."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.crashes.request_fingerprint import RequestFingerprint

__all__ = ('BEGUN_WEIGHT', 'FRESH_WEIGHT', 'Suspect', 'SuspectRow')

#: What a server's end counts against a request that it had just begun, or not answered yet.
FRESH_WEIGHT = 1.0
#: ... and against one whose answer had been coming for a while: a request that ends its server
#: does so on what it brings, with few exceptions, and eight others were there at each crash.
BEGUN_WEIGHT = 0.25
#: Ends of servers that a success has made good are remembered, as reports of them may come late.
CLEARED_LIMIT = 64


class SuspectRow(msgspec.Struct, frozen=True):
    """A suspect as instances tell each other and the store of it."""

    digest: str
    target: int
    #: By the digest of the server's life: the weight of its end.
    lives: dict[int, float] = {}
    cleared: list[int] = []
    #: Successes so far; what was counted before the last one counts no more.
    era: int = 0
    trials: int = 0
    refused: int = 0
    tried_epoch_ms: float = 0.0
    score_at_trial: float = 0.0
    changed_epoch_ms: float = 0.0
    #: Names the write that claimed a trial; two claims of the same moment are otherwise alike.
    claim: str = ''


class Suspect(msgspec.Struct):
    """One request's evidence since it was last answered well, and its trials.

    Joining two of them gives the same whoever's comes first, so that reports, rows of the store
    and what a peer hands over may arrive in any order and more than once.
    """

    content: RequestFingerprint
    lives: dict[int, float]
    cleared: list[int]
    era: int = 0
    #: Sends that were allowed beyond the limit, and those of them that no server ran.
    trials: int = 0
    refused: int = 0
    tried_epoch_ms: float = 0.0
    score_at_trial: float = 0.0
    changed_epoch_ms: float = 0.0

    @property
    def score(self) -> float:
        """Add up the ends of servers, each once whoever reports it."""
        return sum(self.lives.values())

    def count(self, server: int, weight: float, epoch_ms: float) -> bool:
        """Count a server's end; tell whether that is news."""
        if server in self.cleared or self.lives.get(server, 0.0) >= weight:
            return False
        self.lives[server] = weight
        self.changed_epoch_ms = max(self.changed_epoch_ms, epoch_ms)
        return True

    def clear(self, epoch_ms: float) -> None:
        """Begin anew after a success."""
        self.cleared = (self.cleared + list(self.lives))[-CLEARED_LIMIT:]
        self.lives = {}
        self.era += 1
        self.trials = self.refused = 0
        self.tried_epoch_ms = self.score_at_trial = 0.0
        self.changed_epoch_ms = max(self.changed_epoch_ms, epoch_ms)

    def merge(self, row: SuspectRow) -> bool:
        """Take in what another instance knows; tell whether that changed anything."""
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
        """Give it as others are told of it."""
        return SuspectRow(
            digest=self.content.digest,
            target=self.content.target,
            lives=dict(self.lives),
            cleared=list(self.cleared),
            era=self.era,
            trials=self.trials,
            refused=self.refused,
            tried_epoch_ms=self.tried_epoch_ms,
            score_at_trial=self.score_at_trial,
            changed_epoch_ms=self.changed_epoch_ms,
        )
