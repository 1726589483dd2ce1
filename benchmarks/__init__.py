"""Benchmarks with regression bounds, all in virtual time or on loopback."""

from __future__ import annotations
