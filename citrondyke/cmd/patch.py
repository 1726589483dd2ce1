"""Makes the standard library cooperate with gevent; imported before anything else."""

from __future__ import annotations

import os

# The loop is pinned: libev over epoll, never io_uring, whatever a later library would choose.
os.environ.setdefault('GEVENT_LOOP', 'libev-cext')
os.environ.setdefault('GEVENT_BACKEND', 'epoll')
# Addresses are numbers here, so no thread pool is needed to look names up.
os.environ.setdefault('GEVENT_RESOLVER', 'block')

from gevent import monkey

monkey.patch_all()
