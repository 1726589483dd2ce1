"""Execution of requests that must not be repeated: each runs at most once."""

from __future__ import annotations
