"""Makes the standard library cooperate with gevent; imported before anything else."""

from __future__ import annotations

import os

# Never io_uring, whatever the library would choose.
os.environ.setdefault('GEVENT_LOOP', 'libev-cext')
os.environ.setdefault('GEVENT_RESOLVER', 'block')

from gevent import config, monkey

config.libev_backend = 'epoll' if hasattr(config, 'libev_backend') else None
monkey.patch_all()
