"""Hosts whole instances in virtual time, for benchmarks, replay and models of failures.

Kept small on purpose: engines, the platform and the wires are fakes at the interfaces, and the
decisions are the very ones that the daemon hosts.
"""

from __future__ import annotations
