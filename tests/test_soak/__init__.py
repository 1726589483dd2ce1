"""The real gateway programs under faults from outside, and the promises that hold meanwhile."""

from __future__ import annotations
