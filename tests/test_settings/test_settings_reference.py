"""The settings reference is up to date with the settings classes."""

from __future__ import annotations

import runpy
from pathlib import Path

DOCS = Path(__file__).parents[2] / 'docs'


def test_reference_matches_the_settings_classes() -> None:
    generated = runpy.run_path(str(DOCS / 'settings_page.py'))['settings_page']()
    assert (DOCS / 'settings_reference.md').read_text() == generated + '\n'
    rows = [line for line in generated.splitlines() if line.startswith('| `')]
    assert [row for row in rows if row.endswith('|  |')] == [], 'keys without a description'
