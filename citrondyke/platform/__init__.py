"""Adapter to the users' platform: names, formats and calls, without any decisions."""

from __future__ import annotations
