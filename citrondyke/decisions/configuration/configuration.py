"""The configuration at one version, with look-ups."""

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
    """Returned instead of a result: an entry refers to another one that does not exist."""

    name: str
    missing: str

    def __bool__(self) -> bool:
        """Return ``False``, as there is no result."""
        return False


class ConfigSnapshot(msgspec.Struct, frozen=True):
    """All entries at one version, as stored."""

    version: ConfigVersion
    entries: tuple[ConfigEntry, ...]


class Configuration:
    """All entries, indexed for requests; changed only by ``apply`` and ``restore``."""

    def __init__(self) -> None:
        """Start empty, at version 0."""
        self.version = ConfigVersion(0)
        self._entries: dict[str, ConfigEntry] = {}
        self._tenant_keys: KeyIndex[TenantEntry] = KeyIndex()
        self._operator_keys: KeyIndex[OperatorEntry] = KeyIndex()

    def restore(self, snapshot: ConfigSnapshot) -> None:
        """Replace all entries by those of a snapshot, if it is newer."""
        if snapshot.version <= self.version:
            return
        self._entries.clear()
        self._tenant_keys.clear()
        self._operator_keys.clear()
        for entry in snapshot.entries:
            self._put(entry_name(entry), entry)
        self.version = snapshot.version

    def apply(self, change: ConfigChange) -> bool:
        """Apply the next version; any other is rejected, so that versions never decrease."""
        if change.version != self.version + 1:
            return False
        for edit in change.edits:
            self._put(edit.name, edit.after)
        self.version = change.version
        return True

    def snapshot(self) -> ConfigSnapshot:
        """Return all entries as a snapshot to store."""
        return ConfigSnapshot(self.version, tuple(self._entries.values()))

    def entry(self, name: str) -> ConfigEntry | None:
        """Return an entry by its name, such as ``class/dispatch``."""
        return self._entries.get(name)

    def entries(self) -> dict[str, ConfigEntry]:
        """Return all entries by name."""
        return dict(self._entries)

    def class_entry(self, name: ClassName) -> ClassEntry | None:
        """Return a class by name."""
        found = self._entries.get(f'class/{name}')
        return found if isinstance(found, ClassEntry) else None

    def service_entry(self, name: str) -> ServiceEntry | None:
        """Return a service by name."""
        found = self._entries.get(f'service/{name}')
        return found if isinstance(found, ServiceEntry) else None

    def tenant_of_key(self, secret: str) -> TenantEntry | None:
        """Return the tenant that an API key belongs to."""
        return self._tenant_keys.find(key_hash(secret))

    def operator_of_key(self, secret: str) -> OperatorEntry | None:
        """Return the operator that an API key belongs to."""
        return self._operator_keys.find(key_hash(secret))

    def online_classes(self) -> list[ClassEntry]:
        """List the online classes."""
        return [
            entry
            for entry in self._entries.values()
            if isinstance(entry, ClassEntry) and entry.kind is ClassKind.ONLINE
        ]

    def missing_reference(self, entry: ConfigEntry) -> UnknownReference | None:
        """Return a class that a tenant refers to and that is missing or of the wrong kind."""
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
