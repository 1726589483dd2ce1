"""How the pages are built."""

from __future__ import annotations

import citrondyke

project = 'citrondyke'
author = 'the citrondyke maintainers'
version = release = citrondyke.__version__
extensions = ['myst_parser']
myst_enable_extensions = ['colon_fence']
myst_heading_anchors = 3
source_suffix = {'.md': 'markdown'}
html_theme = 'alabaster'
exclude_patterns = ['_build', 'capacity_slopes.md', 'settings_reference.md']
