"""Online requests: admission, choice of the backend server, and retries."""

from __future__ import annotations
