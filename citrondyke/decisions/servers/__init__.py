"""Health and speed of backend servers as the whole fleet observes them."""

from __future__ import annotations
