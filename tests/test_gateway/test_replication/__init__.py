"""Tests of how an instance follows the store's tables."""
