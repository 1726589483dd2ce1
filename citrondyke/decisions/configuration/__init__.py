"""What operators set: classes, tenants, services, operators; versioned and never going back."""

from __future__ import annotations
