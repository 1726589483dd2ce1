"""Wire names of the platform are used in its adapter only."""

from __future__ import annotations

import re
from pathlib import Path

import citrondyke

ROOT = Path(citrondyke.__file__).parent
#: The stand-ins imitate the platform; all other packages use the product's own terms.
ALLOWED = ('platform', 'standin')
NAMES = re.compile(
    r'attempt-id|deadline-ms|prefix-hash|response-seal|expect-instance|not-executed'
    r'|instance-load|instance-id\b|token-usage|wait-ms|weight-versions|expect-version'
    r'|rows-tx|rows-get|rows-feed|rows-parts|blob-put|blob-get|blob-drop|blob-list|/-/'
    r'|expected_rev|path_prefix|max_attempts|slo_ms|completion_slo_ms|max_wait_s'
    r'|non_idempotent|header_timeout_ms|idle_timeout_ms|max_header_bytes|max_body_bytes'
    r'|x-api-key|api_keys|quota_window_s|quota_overshoot|quota_slack|revoke_ms'
    r'|internal_ports|heartbeat_ms|control_plane|node_file|cold_left_ms|next_lot|\blots\b',
    re.IGNORECASE,
)


def test_names_of_the_platform_are_used_in_its_adapter_only() -> None:
    # A port to another platform replaces the adapter only. A name that is used elsewhere would
    # spread such a change over the whole tree.
    leaks = []
    for file in sorted(ROOT.rglob('*.py')):
        if file.relative_to(ROOT).parts[0] in ALLOWED:
            continue
        for number, line in enumerate(file.read_text().splitlines(), 1):
            if NAMES.search(line):
                leaks.append(f'{file.relative_to(ROOT)}:{number}: {line.strip()}')
    assert not leaks


def test_adapter_contains_no_decisions() -> None:
    # Timers, retries and randomness are decisions. They belong where they can be tested without
    # a network.
    for file in sorted((ROOT / 'platform').rglob('*.py')):
        text = file.read_text()
        assert not re.search(r'\bsleep\(|\bspawn\(|\brandom\b|now_ms\(', text), file
