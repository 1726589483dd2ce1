"""Messages between instances, in Cap'n Proto over authenticated datagrams and streams."""

from __future__ import annotations
