"""``citrondykectl config``, ``class`` and ``tenant``."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from cyclopts import App, Parameter

from citrondyke.cmd.ctl import tables
from citrondyke.cmd.ctl.client import OperatorClient
from citrondyke.cmd.ctl.exit_code import ExitCode
from citrondyke.cmd.ctl.failure import CtlError
from citrondyke.cmd.ctl.options import Options
from citrondyke.cmd.ctl.show import console, show
from citrondyke.decisions.configuration.configuration import ConfigSnapshot
from citrondyke.decisions.configuration.entries import (
    ClassEntry,
    ClassKind,
    ConfigEntry,
    TenantEntry,
    entry_name,
)
from citrondyke.ids import ClassName, TenantId
from citrondyke.util.hashing import key_hash

__all__ = ('class_app', 'config_app', 'tenant_app')

config_app = App(name='config', help='Show and change the configuration.')
class_app = App(name='class', help='Create, change and remove classes of work.')
tenant_app = App(name='tenant', help='Create, change and remove tenants.')
Shared = Annotated[Options, Parameter(name='*')]


@config_app.command
def get(options: Shared = Options()) -> None:  # noqa: B008
    """Show all entries. Example: ``citrondykectl config get --json > config.json``."""
    client = OperatorClient(options)
    show(options, client.config(), tables.config_table)


@config_app.command
def diff(file: Path, *, options: Shared = Options()) -> None:  # noqa: B008
    """Show what ``apply FILE`` would change."""
    current = OperatorClient(options).config()
    edits = _edits_between(current, _read_entries(file))
    show(options, edits, tables.edits_table)


@config_app.command
def apply(file: Path, *, expect: int, options: Shared = Options()) -> None:  # noqa: B008
    """Replace the entries with those in FILE, based on version EXPECT.

    FILE is the edited output of ``config get --json``. Fails with exit code 3 if another operator
    has changed the configuration since EXPECT; the message names the changes and the operator.
    """
    client = OperatorClient(options)
    edits = _edits_between(client.config(), _read_entries(file))
    if not edits:
        console.print('nothing to change')
        return
    _show_accepted(options, client.propose(expect, edits))


@config_app.command
def history(*, after: int = 0, options: Shared = Options()) -> None:  # noqa: B008
    """Show each change after a version: who, when, before and after."""
    show(options, OperatorClient(options).history(after), tables.history_table)


@class_app.command(name='set')
def class_set(
    name: str,
    *,
    kind: ClassKind,
    first_token_ms: float = 620.0,
    token_gap_ms: float = 42.0,
    finish_within_ms: float = 86_400_000.0,
    finish_by_minute_utc: int | None = None,
    options: Shared = Options(),  # noqa: B008
) -> None:
    """Create or change a class.

    Example: ``citrondykectl class set dispatch --kind online --first-token-ms 400``.
    """
    entry = ClassEntry(
        name=ClassName(name),
        kind=kind,
        first_token_target_ms=first_token_ms,
        token_gap_target_ms=token_gap_ms,
        finish_within_ms=finish_within_ms,
        finish_by_minute_utc=finish_by_minute_utc,
    )
    _propose_entry(options, entry)


@class_app.command(name='remove')
def class_remove(name: str, *, options: Shared = Options()) -> None:  # noqa: B008
    """Remove a class that no tenant uses."""
    _propose_removal(options, f'class/{name}')


@tenant_app.command(name='set')
def tenant_set(
    tenant_id: str,
    *,
    online_class: str,
    batch_class: str,
    tenant_key: list[str],
    options: Shared = Options(),  # noqa: B008
) -> None:
    """Create or change a tenant; repeat --tenant-key for each valid key.

    To rotate a key, first set both the old and the new key, and later only the new one. Only the
    digests of the keys are sent.
    """
    entry = TenantEntry(
        id=TenantId(tenant_id),
        key_hashes=tuple(key_hash(each) for each in tenant_key),
        online_class=ClassName(online_class),
        batch_class=ClassName(batch_class),
    )
    _propose_entry(options, entry)


@tenant_app.command(name='remove')
def tenant_remove(tenant_id: str, *, options: Shared = Options()) -> None:  # noqa: B008
    """Remove a tenant; its keys become invalid."""
    _propose_removal(options, f'tenant/{tenant_id}')


def _propose_entry(options: Options, entry: ConfigEntry) -> None:
    client = OperatorClient(options)
    current = client.config()
    edit = {'name': entry_name(entry), 'after': msgspec.to_builtins(entry)}
    _show_accepted(options, client.propose(current.version, [edit]))


def _propose_removal(options: Options, name: str) -> None:
    client = OperatorClient(options)
    current = client.config()
    _show_accepted(options, client.propose(current.version, [{'name': name, 'after': None}]))


def _show_accepted(options: Options, change: Any) -> None:
    show(options, change, lambda body: [f'version {body["version"]} accepted'])


def _read_entries(file: Path) -> dict[str, ConfigEntry]:
    try:
        snapshot = msgspec.json.decode(file.read_bytes(), type=ConfigSnapshot)
    except OSError as error:
        raise CtlError(ExitCode.WRONG_CALL, f'{file}: {error.strerror}') from error
    except msgspec.DecodeError as error:
        raise CtlError(ExitCode.WRONG_CALL, f'{file}: {error}') from error
    return {entry_name(entry): entry for entry in snapshot.entries}


def _edits_between(current: ConfigSnapshot, wanted: dict[str, ConfigEntry]) -> list[dict[str, Any]]:
    """Return the edits that turn the current configuration into the wanted one."""
    current_entries = {entry_name(entry): entry for entry in current.entries}
    changed = [name for name, entry in wanted.items() if current_entries.get(name) != entry]
    removed = [name for name in current_entries if name not in wanted]
    edits = [{'name': name, 'after': msgspec.to_builtins(wanted[name])} for name in changed]
    return edits + [{'name': name, 'after': None} for name in removed]
