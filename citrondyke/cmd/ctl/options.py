"""The options that commands share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter

__all__ = ('Options',)


@dataclass(frozen=True)
class Options:
    """Address of the instance, operator key and output format."""

    server: Annotated[
        str,
        Parameter(
            env_var='CITRONDYKE_SERVER', help='URL of an instance, such as http://10.0.0.7:8080'
        ),
    ] = 'http://127.0.0.1:8080'
    key: Annotated[str, Parameter(env_var='CITRONDYKE_KEY', help='key of the operator')] = ''
    json: Annotated[bool, Parameter(help='print JSON', negative='')] = False
