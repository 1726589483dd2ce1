"""Whole-request forwarding: routes, the choice of server, repeats, limits; without any I/O."""

from __future__ import annotations
