"""Drivers, which run the workflows of the decisions and carry out their operations."""

from __future__ import annotations
