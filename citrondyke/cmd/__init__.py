"""Command line programs."""

from __future__ import annotations
