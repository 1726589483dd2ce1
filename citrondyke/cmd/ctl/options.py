"""The options that all commands share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter

__all__ = ('Options',)


@dataclass(frozen=True)
class Options:
    """Where to ask, as whom, and how to print."""

    server: Annotated[
        str,
        Parameter(env_var='CITRONDYKE_SERVER', help='an instance, such as http://10.0.0.7:8080'),
    ] = 'http://127.0.0.1:8080'
    key: Annotated[str, Parameter(env_var='CITRONDYKE_KEY', help="the operator's key")] = ''
    json: Annotated[bool, Parameter(help='print JSON for programs', negative='')] = False
