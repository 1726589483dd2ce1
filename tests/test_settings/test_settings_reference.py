"""The settings reference says what the settings classes say."""

from __future__ import annotations

import runpy
from pathlib import Path

DOCS = Path(__file__).parents[2] / 'docs'


def test_reference_is_of_the_classes_as_they_are() -> None:
    made = runpy.run_path(str(DOCS / 'settings_page.py'))['settings_page']()
    assert (DOCS / 'settings_reference.md').read_text() == made + '\n'
    rows = [line for line in made.splitlines() if line.startswith('| `')]
    assert [row for row in rows if row.endswith('|  |')] == [], 'a key without its meaning'
