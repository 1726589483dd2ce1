"""Callers: their connections, requests and responses."""
