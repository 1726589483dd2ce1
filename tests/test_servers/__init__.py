"""Tests of the health and speed of backend servers as the fleet observes them."""

from __future__ import annotations
