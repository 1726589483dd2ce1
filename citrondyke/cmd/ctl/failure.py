"""The error that ends ``citrondykectl``."""

from __future__ import annotations

from citrondyke.cmd.ctl.exit_code import ExitCode

__all__ = ('CtlError',)


class CtlError(Exception):
    """Failure that ends the tool with a message and an exit code."""

    def __init__(self, exit_code: ExitCode, message: str) -> None:
        """Create an error with an exit code and a message."""
        super().__init__(message)
        self.exit_code = exit_code
        self.message = message
