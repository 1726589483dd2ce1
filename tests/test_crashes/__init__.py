"""Tests of the package ``crashes``."""
