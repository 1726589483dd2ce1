"""Batch shares: how batch work uses the server capacity that online work leaves free."""

from __future__ import annotations
