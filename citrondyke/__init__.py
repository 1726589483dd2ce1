"""Online and batch inference on a shared fleet of servers."""

from __future__ import annotations

__version__ = '0.1.0'
