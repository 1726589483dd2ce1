"""When a blocked request or item may be sent once more, to show whether it crashes servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from citrondyke.decisions.crashes.suspect import EXITS_LIMIT

if TYPE_CHECKING:
    from citrondyke.decisions.crashes.suspect import Suspect

__all__ = ('ITEM_PROBES', 'ONLINE_PROBES', 'OwedItemProbes', 'ProbePolicy', 'owed_item_probes')

#: Probes sent beyond the limit, one at a time in the whole fleet. The first one clears an innocent
#: request; a poison request stays blocked. Each additional probe would cost a server.
PROBES_LIMIT = 3
#: Pause between the last exit and the first probe: servers restart within seconds, and losing one
#: more does least harm when the others are back.
FIRST_PROBE_PAUSE_MS = 3_000.0
#: Pause before the second probe, doubled for each later one: long enough for an operator to find
#: out why servers exit, and to fix it.
PROBE_PAUSE_MS = 600_000.0
#: The same pause for a batch item, whose job must finish by its own deadline.
ITEM_PROBE_PAUSE_MS = 5_000.0
#: Probes rejected by a full server that may be repeated.
REFUSED_LIMIT = 2
#: Share of a job's target that an owed item may wait for its next probe, and bounds of that pause.
OWED_PAUSE_SHARE = 0.2
MIN_OWED_PAUSE_MS = 1_000.0
MAX_OWED_PAUSE_MS = 10_000.0
#: Longest pause of an owed item whose prompt part is blocked: all items with it would crash their
#: servers.
MAX_OWED_PART_PAUSE_MS = 15_000.0


class ProbePolicy(ABC):
    """Decides whether a blocked suspect may be probed now."""

    #: Whether its probes count towards the limit on their number.
    is_limited = True

    @abstractmethod
    def is_due(self, suspect: Suspect, epoch_ms: float, first_pause_ms: float) -> bool:
        """Return whether a probe is due.

        :param first_pause_ms: pause between the last exit and the first probe.
        """


class _LimitedProbes(ProbePolicy):
    """A few probes with long pauses: whoever is blocked after them needs an operator."""

    def __init__(self, pause_ms: float) -> None:
        """Initialize.

        :param pause_ms: pause before the second probe, doubled for each later one.
        """
        self._pause_ms = pause_ms

    def is_due(self, suspect: Suspect, epoch_ms: float, first_pause_ms: float) -> bool:
        """Return whether a probe is due, of a limited number."""
        if suspect.trials >= PROBES_LIMIT + suspect.refused:
            return False
        ran = suspect.trials - suspect.refused
        if ran <= 0:
            is_retry_due = epoch_ms >= suspect.changed_epoch_ms + first_pause_ms
            return is_retry_due and suspect.refused < REFUSED_LIMIT
        return epoch_ms >= suspect.tried_epoch_ms + self._pause_ms * 2.0 ** (ran - 1)


class OwedItemProbes(ProbePolicy):
    """Probes of an accepted item, which is owed until it has a result.

    Handles servers that crash one after the other, for another cause, under one sound item. A limit
    on the number of probes would leave it waiting beside free servers until it is given up. The
    pauses grow with the exits, but only to a bound, so that after the crashes the item is soon run
    again. Its probes don't count: online requests with the same prompt part have their own.
    """

    is_limited = False

    def __init__(self, content_pause_ms: float) -> None:
        """Initialize.

        :param content_pause_ms: longest pause if only the item itself is blocked.
        """
        self._content_pause_ms = content_pause_ms

    def is_due(self, suspect: Suspect, epoch_ms: float, first_pause_ms: float) -> bool:
        """Return whether a probe is due; it always is after a bounded pause."""
        longest_ms = MAX_OWED_PART_PAUSE_MS if suspect.key.is_part else self._content_pause_ms
        further_exits = max(0.0, suspect.score - EXITS_LIMIT)
        pause_ms = min(longest_ms, first_pause_ms * float(2.0 ** min(further_exits, 10.0)))
        return epoch_ms >= max(suspect.changed_epoch_ms, suspect.tried_epoch_ms) + pause_ms


def owed_item_probes(target_ms: float) -> OwedItemProbes:
    """Return the policy for the items of a job.

    :param target_ms: time from the acceptance of the job until all results are due.
    """
    pause_ms = min(MAX_OWED_PAUSE_MS, OWED_PAUSE_SHARE * target_ms)
    return OwedItemProbes(max(MIN_OWED_PAUSE_MS, pause_ms))


ONLINE_PROBES = _LimitedProbes(PROBE_PAUSE_MS)
#: For items that are given up after a few attempts anyway.
ITEM_PROBES = _LimitedProbes(ITEM_PROBE_PAUSE_MS)
