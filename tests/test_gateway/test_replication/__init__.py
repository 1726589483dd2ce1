"""Tests of the gateway's replication."""
