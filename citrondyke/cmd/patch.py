"""Patches the standard library for gevent; must be imported before any other module."""

from __future__ import annotations

import os

# Pins the event loop to libev over epoll, so that no later gevent version switches to io_uring.
os.environ.setdefault('GEVENT_LOOP', 'libev-cext')
os.environ.setdefault('GEVENT_BACKEND', 'epoll')
# All addresses are numeric, so no thread pool is needed to resolve names.
os.environ.setdefault('GEVENT_RESOLVER', 'block')

from gevent import monkey

monkey.patch_all()
