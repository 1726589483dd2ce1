"""Batch jobs handed in as one request and read by position; without any I/O."""

from __future__ import annotations
