"""Tests of the byte budget."""
