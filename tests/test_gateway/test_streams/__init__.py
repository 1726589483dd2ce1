"""Tests of the gateway's callers."""
