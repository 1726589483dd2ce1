"""Helpers that know nothing of serving."""

from __future__ import annotations
