"""The doors for callers and operators: HTTP in the published shapes."""

from __future__ import annotations
