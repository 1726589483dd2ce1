"""Stand-ins for the platform and the backend servers, with injectable faults."""

from __future__ import annotations
