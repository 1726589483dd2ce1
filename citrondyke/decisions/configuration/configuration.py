"""The configuration at one version."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.accounts.key_index import KeyIndex
from citrondyke.decisions.configuration.entries import (
    ClassEntry,
    ClassKind,
    ConfigEntry,
    OperatorEntry,
    ServiceEntry,
    TenantEntry,
    entry_name,
)
from citrondyke.ids import ClassName, ConfigVersion
from citrondyke.util.hashing import key_hash

if TYPE_CHECKING:
    from citrondyke.decisions.configuration.change import ConfigChange

__all__ = ('ConfigSnapshot', 'Configuration', 'UnknownReference')


class UnknownReference(msgspec.Struct, frozen=True):
    """Stands in the place of a result: an entry names another that does not exist."""

    name: str
    missing: str

    def __bool__(self) -> bool:
        """Count as no result."""
        return False


class ConfigSnapshot(msgspec.Struct, frozen=True):
    """All entries at one version, as stored."""

    version: ConfigVersion
    entries: tuple[ConfigEntry, ...]


class Configuration:
    """All entries, with the look-ups that requests need; changed only by ``apply``."""

    def __init__(self) -> None:
        """Start empty, at version 0."""
        self.version = ConfigVersion(0)
        self._entries: dict[str, ConfigEntry] = {}
        self._tenant_keys: KeyIndex[TenantEntry] = KeyIndex()
        self._operator_keys: KeyIndex[OperatorEntry] = KeyIndex()

    def restore(self, snapshot: ConfigSnapshot) -> None:
        """Take the place of a snapshot, if it is newer."""
        if snapshot.version <= self.version:
            return
        self._entries.clear()
        self._tenant_keys.clear()
        self._operator_keys.clear()
        for entry in snapshot.entries:
            self._put(entry_name(entry), entry)
        self.version = snapshot.version

    def apply(self, change: ConfigChange) -> bool:
        """Take the next version; any other is refused, so that no version goes back."""
        if change.version != self.version + 1:
            return False
        for edit in change.edits:
            self._put(edit.name, edit.after)
        self.version = change.version
        return True

    def snapshot(self) -> ConfigSnapshot:
        """Give all entries as stored."""
        return ConfigSnapshot(self.version, tuple(self._entries.values()))

    def entry(self, name: str) -> ConfigEntry | None:
        """Find an entry by its name, such as ``class/dispatch``."""
        return self._entries.get(name)

    def entries(self) -> dict[str, ConfigEntry]:
        """Give all entries by name."""
        return dict(self._entries)

    def class_entry(self, name: ClassName) -> ClassEntry | None:
        """Find a class."""
        found = self._entries.get(f'class/{name}')
        return found if isinstance(found, ClassEntry) else None

    def service_entry(self, name: str) -> ServiceEntry | None:
        """Find a service."""
        found = self._entries.get(f'service/{name}')
        return found if isinstance(found, ServiceEntry) else None

    def tenant_of_key(self, secret: str) -> TenantEntry | None:
        """Find whose key this is."""
        return self._tenant_keys.find(key_hash(secret))

    def operator_of_key(self, secret: str) -> OperatorEntry | None:
        """Find which operator's key this is."""
        return self._operator_keys.find(key_hash(secret))

    def online_classes(self) -> list[ClassEntry]:
        """List the classes with an online target."""
        return [
            entry
            for entry in self._entries.values()
            if isinstance(entry, ClassEntry) and entry.kind is ClassKind.ONLINE
        ]

    def missing_reference(self, entry: ConfigEntry) -> UnknownReference | None:
        """Find a class that a tenant names and that does not exist or is of the other kind."""
        if not isinstance(entry, TenantEntry):
            return None
        for name, kind in (
            (entry.online_class, ClassKind.ONLINE),
            (entry.batch_class, ClassKind.BATCH),
        ):
            found = self.class_entry(name)
            if found is None or found.kind is not kind:
                return UnknownReference(entry_name(entry), f'{kind.value} class {name}')
        return None

    def _put(self, name: str, entry: ConfigEntry | None) -> None:
        before = self._entries.pop(name, None)
        if isinstance(before, TenantEntry):
            self._tenant_keys.drop(before.key_hashes)
        if isinstance(before, OperatorEntry):
            self._operator_keys.drop(before.key_hashes)
        if entry is None:
            return
        self._entries[name] = entry
        if isinstance(entry, TenantEntry):
            self._tenant_keys.add(entry, entry.key_hashes)
        if isinstance(entry, OperatorEntry):
            self._operator_keys.add(entry, entry.key_hashes)
