"""Prints the result of a command."""

from __future__ import annotations

import sys
from typing import Any

import msgspec
from rich.console import Console

from citrondyke.cmd.ctl.options import Options

__all__ = ('console', 'show')

console = Console()


def show(options: Options, value: Any, draw: Any) -> None:
    """Print a value as JSON, or as the tables and lines that ``draw`` makes of it."""
    if options.json:
        sys.stdout.buffer.write(msgspec.json.format(msgspec.json.encode(value), indent=2) + b'\n')
        return
    for part in draw(value):
        console.print(part)
