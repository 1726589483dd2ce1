"""Callers: their connections, requests and answers."""
