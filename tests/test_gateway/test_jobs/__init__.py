"""Tests of the gateway's jobs."""
