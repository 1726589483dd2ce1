"""The way the users' platform speaks: names, formats and calls, and nothing that decides."""

from __future__ import annotations
