"""Batch jobs: acceptance, segments, items, outcomes."""

from __future__ import annotations
