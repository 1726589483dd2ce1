"""A failure of the operators' tool."""

from __future__ import annotations

from citrondyke.cmd.ctl.exit_code import ExitCode

__all__ = ('CtlError',)


class CtlError(Exception):
    """Ends the tool with a message and an exit code."""

    def __init__(self, exit_code: ExitCode, message: str) -> None:
        """Build the failure."""
        super().__init__(message)
        self.exit_code = exit_code
        self.message = message
