"""Batch jobs from uploaded files: acceptance, segments, items and outcomes."""

from __future__ import annotations
