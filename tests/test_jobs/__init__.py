"""Tests of batch jobs."""

from __future__ import annotations
