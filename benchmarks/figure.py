"""One measured figure and the bound it is held to."""

from __future__ import annotations

from enum import Enum

import msgspec

__all__ = ('Figure', 'Relation')


class Relation(Enum):
    """How a value must stand to its bound."""

    AT_LEAST = '>='
    AT_MOST = '<='
    #: Shown for comparison only.
    NONE = ''


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """A result; all bounds are on ratios within one run."""

    name: str
    value: float
    unit: str = 'ratio'
    #: What the value is compared with, where it is not itself a ratio.
    baseline: float | None = None
    #: Regression bound: what this version reaches, with room for the seed.
    bound: float | None = None
    #: What the issue asks for, where that is more.
    goal: float | None = None
    relation: Relation = Relation.NONE

    @property
    def holds(self) -> bool:
        """Tell whether the bound is kept."""
        return self._meets(self.bound)

    @property
    def meets_goal(self) -> bool:
        """Tell whether the goal is reached."""
        return self._meets(self.goal)

    def _meets(self, limit: float | None) -> bool:
        if limit is None or self.relation is Relation.NONE:
            return True
        if self.relation is Relation.AT_LEAST:
            return self.value >= limit
        return self.value <= limit
