"""Bytes that an instance holds for callers and servers."""
