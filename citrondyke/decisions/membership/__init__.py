"""Which instances live, whose leases stand, who looks after which backend server."""

from __future__ import annotations
