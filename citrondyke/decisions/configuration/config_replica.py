"""One instance's replica of the configuration log in the table service."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from citrondyke.decisions.configuration.change import (
    LOG_PREFIX,
    ConfigChange,
    EntryEdit,
    log_row_key,
)
from citrondyke.decisions.configuration.configuration import ConfigSnapshot, Configuration
from citrondyke.decisions.configuration.entries import TenantEntry, entry_name
from citrondyke.decisions.configuration.proposal import (
    ConfigConflict,
    ConfigProposal,
    ConfigRejection,
)
from citrondyke.decisions.core.commit import CommitFailure, commit, transaction
from citrondyke.decisions.core.ops import (
    get_object,
    put_object,
    read_rows,
    scan_rows,
    sleep_until,
)
from citrondyke.decisions.core.signal import Signal
from citrondyke.ids import ConfigVersion, ObjectKey, RowKey
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.table_service import Conflict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.storage.table_service import Row

__all__ = ('ConfigReplica', 'ProposalResult', 'SnapshotRow')

SNAPSHOT_ROW = RowKey('config/snapshot')
#: Changes between two snapshots; a starting instance reads up to this many after a snapshot.
SNAPSHOT_EVERY = 200
#: Changes kept in memory for peers that pull.
RECENT_CHANGES = 256
SCAN_LIMIT = 500
#: Time after which a proposal is reported to the operator as uncertain.
PROPOSAL_TIMEOUT_MS = 5000.0

ProposalResult: TypeAlias = ConfigChange | ConfigConflict | ConfigRejection | CommitFailure


class SnapshotRow(msgspec.Struct, frozen=True):
    """Location of the newest snapshot."""

    version: ConfigVersion
    object_key: ObjectKey


class ConfigReplica:
    """The configuration in force on this instance; it follows the log of accepted changes."""

    def __init__(self, context: Context, poll_every_ms: float) -> None:
        """Start with an empty configuration; nothing is served before ``is_loaded``.

        :param poll_every_ms: pause between two polls of the log.
        """
        self.current = Configuration()
        self.is_loaded = False
        #: Fires at the next change, and is then replaced by a new signal.
        self.changed: Signal[None] = Signal()
        self._context = context
        self._poll_every_ms = poll_every_ms
        self._recent: deque[ConfigChange] = deque(maxlen=RECENT_CHANGES)
        self._out_of_order: dict[ConfigVersion, ConfigChange] = {}

    def merge_changes(self, changes: Iterable[ConfigChange]) -> bool:
        """Merge changes from the log or from peers; return whether any was applied.

        A change that arrives before its predecessor waits for it.
        """
        for change in changes:
            if change.version > self.current.version and len(self._out_of_order) < RECENT_CHANGES:
                self._out_of_order[change.version] = change
        applied = False
        while True:
            next_change = self._out_of_order.pop(ConfigVersion(self.current.version + 1), None)
            if next_change is None:
                break
            self.current.apply(next_change)
            self._recent.append(next_change)
            applied = True
        if applied:
            self._notify_changed()
        return applied

    def changes_after(self, version: ConfigVersion) -> list[ConfigChange]:
        """Return the changes after ``version``; empty if the next one is no longer in memory."""
        found = [change for change in self._recent if change.version > version]
        if found and found[0].version != version + 1:
            return []
        return found

    def run(self) -> Workflow[None]:
        """Load the configuration, then follow the log until the instance stops.

        It is loaded from the table service only: a peer may have an older version than this
        instance served before a restart, and versions must not decrease.
        """
        while not self.is_loaded:
            self.is_loaded = yield from self._load()
            if not self.is_loaded:
                yield from self._pause()
        self._notify_changed()
        while True:
            yield from self._pause()
            yield from self.catch_up()

    def catch_up(self) -> Workflow[bool]:
        """Read the log after the current version; return whether its end was reached."""
        while True:
            after = log_row_key(self.current.version)
            rows = yield from scan_rows(LOG_PREFIX, after, SCAN_LIMIT)
            if isinstance(rows, PlatformFailure):
                return False
            changes = _decode_readable(rows)
            self.merge_changes(changes)
            if len(changes) < len(rows):
                return False
            if len(rows) < SCAN_LIMIT:
                return True

    def propose(self, proposal: ConfigProposal, who: str) -> Workflow[ProposalResult]:
        """Accept a change by compare-and-set on the version, or return why it was not accepted.

        The row of the next version can be written only once, so of two concurrent proposals one
        gets a conflict that contains the other.
        """
        reached = yield from self.catch_up()
        if proposal.expect_version != self.current.version:
            return self._conflict(proposal.expect_version)
        rejection = self._find_error(proposal)
        if rejection is not None:
            return rejection
        change = self._change(proposal, who)
        key = log_row_key(change.version)
        until_ms = self._context.now_ms() + (PROPOSAL_TIMEOUT_MS if reached else 0.0)
        txn = transaction(self._context, [(key, None)], [(key, change)])
        result = yield from commit(self._context, txn, until_ms)
        if isinstance(result, CommitFailure):
            return result
        if isinstance(result, Conflict):
            yield from self.catch_up()
            return self._conflict(proposal.expect_version)
        self.merge_changes([change])
        if change.version % SNAPSHOT_EVERY == 0:
            yield from self._store_snapshot()
        return change

    def history(self, after: ConfigVersion, limit: int) -> Workflow[list[ConfigChange] | None]:
        """Read accepted changes; ``None`` if the table service is unavailable."""
        rows = yield from scan_rows(LOG_PREFIX, log_row_key(after), limit)
        if isinstance(rows, PlatformFailure):
            return None
        return _decode_readable(rows)

    def _load(self) -> Workflow[bool]:
        found = yield from read_rows(SNAPSHOT_ROW)
        if isinstance(found, PlatformFailure):
            return False
        row = found.get(SNAPSHOT_ROW)
        if row is not None:
            pointer = msgspec.json.decode(row.value, type=SnapshotRow)
            body = yield from get_object(pointer.object_key)
            if isinstance(body, PlatformFailure):
                return False
            self.current.restore(msgspec.json.decode(body, type=ConfigSnapshot))
        reached = yield from self.catch_up()
        return reached

    def _store_snapshot(self) -> Workflow[None]:
        """Store a snapshot; after a failure a later snapshot replaces it."""
        snapshot = self.current.snapshot()
        key = ObjectKey(f'config/snapshot/{snapshot.version:012d}')
        failure = yield from put_object(key, msgspec.json.encode(snapshot))
        if failure is not None:
            return
        found = yield from read_rows(SNAPSHOT_ROW)
        if isinstance(found, PlatformFailure):
            return
        row = found.get(SNAPSHOT_ROW)
        if row is not None:
            stored = msgspec.json.decode(row.value, type=SnapshotRow)
            if stored.version >= snapshot.version:
                return
        version = None if row is None else row.version
        pointer = SnapshotRow(snapshot.version, key)
        txn = transaction(self._context, [(SNAPSHOT_ROW, version)], [(SNAPSHOT_ROW, pointer)])
        yield from commit(self._context, txn, self._context.now_ms() + PROPOSAL_TIMEOUT_MS)

    def _pause(self) -> Workflow[None]:
        pause_ms = self._context.jittered_ms(self._poll_every_ms)
        yield from sleep_until(self._context.now_ms() + pause_ms)

    def _notify_changed(self) -> None:
        fired, self.changed = self.changed, Signal()
        fired.fire(None)

    def _conflict(self, expected: ConfigVersion) -> ConfigConflict:
        return ConfigConflict(self.current.version, tuple(self.changes_after(expected)))

    def _find_error(self, proposal: ConfigProposal) -> ConfigRejection | None:
        if not proposal.edits:
            return ConfigRejection('edits', 'at least one edit')
        future = Configuration()
        future.restore(ConfigSnapshot(ConfigVersion(1), tuple(self.current.entries().values())))
        for edit in proposal.edits:
            if edit.after is not None and entry_name(edit.after) != edit.name:
                return ConfigRejection(edit.name, f'the name {entry_name(edit.after)}')
            if edit.after is None and self.current.entry(edit.name) is None:
                return ConfigRejection(edit.name, 'the name of an entry that exists')
        edits = tuple(EntryEdit(edit.name, None, edit.after) for edit in proposal.edits)
        future.apply(
            ConfigChange(
                version=ConfigVersion(future.version + 1),
                edits=edits,
                who='',
                accepted_at_epoch_ms=0.0,
            )
        )
        return _find_conflict(future)

    def _change(self, proposal: ConfigProposal, who: str) -> ConfigChange:
        edits = tuple(
            EntryEdit(edit.name, self.current.entry(edit.name), edit.after)
            for edit in proposal.edits
        )
        return ConfigChange(
            version=ConfigVersion(self.current.version + 1),
            edits=edits,
            who=who,
            accepted_at_epoch_ms=self._context.epoch_ms(),
        )


def _decode_readable(rows: Iterable[Row]) -> list[ConfigChange]:
    """Decode changes up to the first one that this software version cannot read.

    During an upgrade a newer instance may accept a change with an entry type that older instances
    do not know. They stay at the previous configuration version; exiting with an error would stop
    all of them.
    """
    changes: list[ConfigChange] = []
    for row in rows:
        try:
            changes.append(msgspec.json.decode(row.value, type=ConfigChange))
        except msgspec.DecodeError:
            break
    return changes


def _find_conflict(future: Configuration) -> ConfigRejection | None:
    owner_by_key: dict[str, str] = {}
    for name, entry in future.entries().items():
        missing = future.missing_reference(entry)
        if missing is not None:
            return ConfigRejection(missing.name, f'an existing {missing.missing}')
        if not isinstance(entry, TenantEntry):
            continue
        for digest in entry.key_hashes:
            if owner_by_key.setdefault(digest, name) != name:
                return ConfigRejection(name, f'a key that {owner_by_key[digest]} does not have')
    return None
