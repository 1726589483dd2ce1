"""What can be shown afterwards: outcome records, chained, in the object store."""

from __future__ import annotations
