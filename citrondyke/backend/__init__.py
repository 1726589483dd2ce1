"""Client for backend servers: model engines and plain services."""

from __future__ import annotations
