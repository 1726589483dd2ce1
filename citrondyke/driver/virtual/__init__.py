"""Runs whole instances in virtual time, for benchmarks, trace replay and failure models.

Only the backend servers, the platform and the network are simulated, each behind its interface.
The decisions are the same code that the daemon runs.
"""

from __future__ import annotations
