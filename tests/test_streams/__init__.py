"""Tests of the package ``decisions.streams``."""
