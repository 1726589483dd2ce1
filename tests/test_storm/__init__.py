"""Faults together and twice."""

from __future__ import annotations
