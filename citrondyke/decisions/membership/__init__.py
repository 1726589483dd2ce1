"""Membership: live instances, their leases, and the stewards of backend servers."""

from __future__ import annotations
