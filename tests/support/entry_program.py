"""A process that responds with a long answer whose engine has stated no length."""

from __future__ import annotations

import sys
from types import SimpleNamespace
from typing import Any

import bottle

from citrondyke.decisions.core.server_call import ReplyKind, ServerReply
from citrondyke.decisions.online.request import OnlineResult, OnlineResultKind
from citrondyke.entry.online_endpoint import OnlineEndpoint
from citrondyke.entry.server import entry_server

#: More than the sockets on the way hold.
BODY_BYTES = 20_000_000


def main(port: int) -> None:
    """Serve the answer on a port."""
    context: Any = SimpleNamespace()
    reply = ServerReply(
        kind=ReplyKind.COMPLETE, status=200, body=b'x' * BODY_BYTES, ends_with_connection=True
    )
    result = OnlineResult(kind=OnlineResultKind.ANSWERED, reply=reply)
    app = bottle.Bottle()
    app.get('/', callback=lambda: OnlineEndpoint(context).respond(result))
    entry_server('127.0.0.1', port, app, 10, {}).serve_forever()


if __name__ == '__main__':
    main(int(sys.argv[1]))
