"""Online and batch inference on one fleet."""

from __future__ import annotations

__version__ = '0.1.0'
