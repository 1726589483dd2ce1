"""How batch work uses what online work leaves of a backend server."""

from __future__ import annotations
