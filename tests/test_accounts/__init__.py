"""Tests of client accounts and their limits."""
