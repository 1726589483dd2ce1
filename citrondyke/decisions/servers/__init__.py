"""What the fleet knows of backend servers: who fails, and how long work takes there."""

from __future__ import annotations
