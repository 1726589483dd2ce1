"""Decisions on batch jobs submitted in one request and read by position; performs no I/O."""

from __future__ import annotations
