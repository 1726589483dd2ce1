"""Parts of the operators' tool."""

from __future__ import annotations
